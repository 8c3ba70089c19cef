//! A machine is lost while its server runs a booking; another machine takes its place and its name.

#[path = "../stand/mod.rs"]
mod stand;

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use stand::{
    CaseContext, DaemonProcess, DaemonSettings, HOST, InstanceAddresses, RunHandler,
    UpstreamServer, client_headers, http, table::Table, wait_until_served,
};

const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// Time for which a server works on a booking.
const WORK: Duration = Duration::from_millis(1_200);
/// Time from the sending of the bookings to the loss of the machine.
const LOSS_DELAY: Duration = Duration::from_millis(500);
/// Time from the loss of the machine to the start of the one that replaces it.
const REPLACE_DELAY: Duration = Duration::from_millis(1_000);
const N_BOOKINGS: usize = 12;
const DEADLINE_MS: u64 = 5_000;

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","timeout":{DEADLINE_MS},"target_latency":1500,"priority":0,"service":"{service}","max_attempts":2,"public":false}}"#
        )
    };
    let routes = [route("book", "unsafe", "booking"), route("track", "safe", "tracker")].join(",");
    format!(
        r#"{{"version":7,"routes":[{routes}],"services":[{{"name":"booking","health_path":"/healthz","max_connections":1228,"protocol":"h1","tls":false}},{{"name":"tracker","health_path":"/healthz","max_connections":1228,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":3000,"idle_timeout":15000}},"tenants":[{{"name":"pulo780","api_keys":["{KEY}"],"priority":1,"rate_per_s":180,"burst":180}}]}}"#
    )
}

fn main() {
    let context = CaseContext::from_arguments();
    let table = Table::start(&config());
    let instance = |name: &str, service: &str, zone: &str| DaemonSettings {
        name: name.to_string(),
        zone: zone.to_string(),
        service: service.to_string(),
        addresses: InstanceAddresses::pick(),
        table: table.address,
        advertised: None,
    };
    let entry = instance("sidecar-kolkata-1", "tracker", "kolkata");
    let bookers = [
        instance("sidecar-durgapur-1", "booking", "durgapur"),
        instance("sidecar-siliguri-1", "booking", "siliguri"),
    ];
    let handler: RunHandler = Arc::new(|request, _| {
        if request.path.starts_with("/book/slot") {
            thread::sleep(WORK);
        }
        (200, b"held".to_vec())
    });
    let start_server = |id: &str, it: &DaemonSettings| {
        UpstreamServer::start(&context, id, it, 188, true, Arc::clone(&handler))
    };
    let servers = [
        start_server("i-1", &entry),
        start_server("i-2", &bookers[0]),
        start_server("i-3", &bookers[1]),
    ];
    let _entry_daemon = DaemonProcess::start(&context, entry.clone());
    let mut daemons =
        [&bookers[0], &bookers[1]].map(|it| DaemonProcess::start(&context, it.clone()));
    let key = Some(KEY.to_string());
    let probes: Vec<_> = [&entry, &bookers[0], &bookers[1]]
        .iter()
        .flat_map(|it| {
            let address = it.addresses.outbound;
            [(address, "/book/probe".into(), key.clone()), (address, "/track/probe".into(), key.clone())]
        })
        .collect();
    wait_until_served(&context, &probes);
    thread::sleep(Duration::from_secs(4));

    let answers: Arc<Mutex<Vec<(String, Option<u16>)>>> = Arc::default();
    let clients: Vec<_> = (0..N_BOOKINGS)
        .map(|number| {
            let (record, answers) = (Arc::clone(&context.record), Arc::clone(&answers));
            let address = entry.addresses.outbound;
            thread::spawn(move || {
                let id = format!("b{number:02}");
                let path = format!("/book/slot{number}");
                let request = http::ClientRequest {
                    method: "POST",
                    path: &path,
                    headers: client_headers(&id, Some(KEY), DEADLINE_MS),
                    body: b"{\"slot\":1}".to_vec(),
                };
                let started = Instant::now();
                record.line(format!("client sends {id}"));
                let status = http::send(address, &request, Duration::from_secs(6))
                    .ok()
                    .map(|it| it.status);
                record.line(format!(
                    "client got {status:?} for {id} after {} ms",
                    started.elapsed().as_millis()
                ));
                answers.lock().unwrap().push((id, status));
            })
        })
        .collect();
    let mut replacement = None;
    if context.has_trouble {
        thread::sleep(LOSS_DELAY);
        // The machine whose server runs most of the bookings.
        let n_running = |idx: usize| servers[idx + 1].n_running.load(Ordering::Relaxed);
        let lost = usize::from(n_running(0) < n_running(1));
        context.record.tell(format!("the machine {} is lost", bookers[lost].name));
        daemons[lost].kill();
        servers[lost + 1].stop();
        thread::sleep(REPLACE_DELAY);
        context.record.tell("another machine starts in its place, at another address");
        let settings =
            DaemonSettings { addresses: InstanceAddresses::pick(), ..bookers[lost].clone() };
        let server = start_server("i-4", &settings);
        replacement = Some((server, DaemonProcess::start(&context, settings)));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(2));
    let mut runs: Vec<(String, String)> = Vec::new();
    let extra = replacement.as_ref().map(|(server, _)| server);
    for server in servers.iter().chain(extra) {
        for (_, _, id) in server.runs.lock().unwrap().iter() {
            runs.push((id.clone(), server.id.clone()));
        }
    }
    let answers = answers.lock().unwrap();
    let mut n_twice = 0;
    for (id, status) in answers.iter() {
        let at: Vec<&str> =
            runs.iter().filter(|(run, _)| run == id).map(|(_, it)| it.as_str()).collect();
        n_twice += u32::from(1 < at.len());
        context.record.line(format!("{id}: runs at {at:?}, answer {status:?}"));
    }
    context.record.tell(format!(
        "{n_twice} of {N_BOOKINGS} bookings ran more than once; answers with 200: {}",
        answers.iter().filter(|(_, status)| *status == Some(200)).count()
    ));
    stand::finish(&context.record, "TWICE", 0 < n_twice);
}
