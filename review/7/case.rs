//! Two of a zone's three daemons get SIGTERM while clients without a key go on sending on open connections. Checked: no
//! connection on which a request was passed on ends without an answer.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::{
    process::ExitCode,
    sync::{
        Arc, Barrier,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use stand::{
    Daemon, Folder, Machine, Record, ask, configuration, has_trouble,
    http::Connection,
    request_head,
    server::{Runs, Server},
    table::Table,
    verdict,
};

/// The bound `grace` of the site, in seconds.
const GRACE_S: u32 = 10;
/// `timeout` of the routes.
const TIMEOUT_MS: u64 = 8_000;
const DEADLINE_MS: u64 = 15_000;
/// Time for which the upstream works on a request.
const WORK_MS: u64 = 5_000;
/// Times after the SIGTERM at which clients send, in milliseconds.
const SENT_MS: [u64; 5] = [2_000, 3_500, 4_500, 5_500, 6_500];

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Answered { status: u16 },
    /// The connection could not be used any more when the request was to be sent.
    NotSent,
    /// The connection ended without an answer.
    Cut,
}

/// Sends a request on a connection that was used before.
fn send(record: &Record, machine: &Machine, prefix: &str, id: &str, work_ms: u64, wait: &dyn Fn()) -> Outcome {
    let Ok(mut connection) = Connection::open(machine.callers) else { return Outcome::NotSent };
    let _ = connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 1_000)));
    let first = request_head("POST", &format!("/{prefix}/work-1"), &format!("{id}-first"), DEADLINE_MS, 0);
    if connection.write(&first, &[]).and_then(|()| connection.read_message()).is_err() {
        return Outcome::NotSent;
    }
    wait();
    let head = request_head("POST", &format!("/{prefix}/work-{work_ms}"), id, DEADLINE_MS, 0);
    record.write(&format!("sent request={id} on a kept connection of {}", machine.name));
    let answered = connection.write(&head, &[]).and_then(|()| connection.read_message());
    record.write(&format!(
        "ended request={id} status={:?}",
        answered.as_ref().map(|it| it.status()).map_err(|it| it.to_string())
    ));
    match answered {
        Ok(answer) => Outcome::Answered { status: answer.status() },
        Err(_) => Outcome::Cut,
    }
}

fn main() -> ExitCode {
    let (record, folder, runs) = (Record::create(), Folder::create("7"), Runs::default());
    let table = Table::start();
    let routes =
        [("order", "unsafe public", "quoting"), ("keyed", "unsafe", "quoting"), ("desk", "safe", "desk")];
    table.write_as_operator("config", &configuration(7, &routes, TIMEOUT_MS));
    let machines = [
        Machine::new("sidecar-kolkata-1", "desk", "127.0.0.21").with_grace(GRACE_S),
        Machine::new("sidecar-kolkata-2", "desk", "127.0.0.22").with_grace(GRACE_S),
        Machine::new("sidecar-kolkata-3", "quoting", "127.0.0.23").with_grace(GRACE_S),
    ];
    let mut daemons: Vec<Daemon> =
        machines.iter().map(|it| Daemon::start(it, &table, &folder, &record)).collect();
    let _servers: Vec<Server> = machines
        .iter()
        .map(|it| Server::start(it.server_options(&format!("i-{}", it.name)), &runs, &record))
        .collect();
    if !daemons.iter().all(Daemon::wait_ready) {
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_millis(4_500));
    if ask(&record, machines[0].callers, "POST", "/order/work-5", "warm", DEADLINE_MS) != 200 {
        return ExitCode::from(2);
    }

    let (barrier, term_ms) = (Arc::new(Barrier::new(2 * 2 * SENT_MS.len() + 1)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for machine in &machines[..2] {
        for prefix in ["order", "keyed"] {
            for sent_ms in SENT_MS {
                let id = format!("{prefix}-{sent_ms}-{}", machine.name);
                let (record, machine, barrier, term_ms) =
                    (record.clone(), machine.clone(), Arc::clone(&barrier), Arc::clone(&term_ms));
                clients.push(thread::spawn(move || {
                    let wait = || {
                        barrier.wait();
                        barrier.wait();
                        let at = term_ms.load(Ordering::SeqCst) + sent_ms;
                        thread::sleep(Duration::from_millis(at.saturating_sub(record.elapsed_ms())));
                    };
                    let outcome = send(&record, &machine, prefix, &id, WORK_MS, &wait);
                    (id, sent_ms, outcome)
                }));
            }
        }
    }
    barrier.wait();
    let term_at = Instant::now();
    term_ms.store(record.elapsed_ms(), Ordering::SeqCst);
    if has_trouble() {
        daemons[0].terminate();
        daemons[1].terminate();
    }
    barrier.wait();
    if has_trouble() {
        for daemon in &mut daemons[..2] {
            daemon.wait(Duration::from_secs(12));
            record.write(&format!("{} ms after the SIGTERM", term_at.elapsed().as_millis()));
        }
    }
    let ended: Vec<_> = clients.into_iter().map(|it| it.join().expect("client")).collect();

    // Not counted: a request sent up to 3 s after the SIGTERM at which the upstream was still at work.
    let runs = runs.lock().expect("runs").clone();
    let mut n_cut = 0;
    for (id, sent_ms, outcome) in &ended {
        let has_run = runs.iter().any(|it| it.request == *id);
        let is_counted = *outcome == Outcome::Cut && has_run && 3_000 < *sent_ms;
        record.write(&format!("request={id} outcome={outcome:?} run={has_run} counted={is_counted}"));
        n_cut += usize::from(is_counted);
    }
    verdict(&record, 0 < n_cut, &format!("{n_cut} requests were passed on and their connections cut"))
}
