//! The upstream beside a daemon falls silent, and its address goes to an upstream of another service. The settings file of
//! the daemon changes with it.

use std::{io, thread, time::Duration};

use super::{Verdict, config};
use crate::{
    client::Connection,
    site::{HOST, Record, Site},
    upstream::Upstream,
};

/// Slots of the upstream that falls silent; the daemon uses 95 of 100.
const SLOTS: u32 = 54;
/// Slots of the upstream that gets the address.
const OTHER_SLOTS: u32 = 188;
/// Number of calls that fill the slots.
const N_FILLING: usize = 51;
/// Number of calls that wait for a slot.
const N_WAITING: usize = 8;
/// Work of the calls that fill the slots, in milliseconds.
const FILLING_MS: u32 = 700;
/// Work of the calls that wait, in milliseconds.
const WAITING_MS: u32 = 30;
/// Time after which an address may be assigned to another service.
const REUSE_AFTER: Duration = Duration::from_millis(2_000);

pub fn play(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let services = ["tracker", "quoting", "tracker"];
    let config = config(1, &["quoting", "tracker"], 5_000);
    let mut site = Site::start_with(&services, &config, SLOTS, record)?;
    let caller = site.machines[0].addresses.caller;
    thread::sleep(Duration::from_secs(1));
    let silent = site.machines[1].upstream.clone();
    let call = |id: String, work_ms: u32| {
        let record = record.clone();
        thread::spawn(move || {
            let Ok(mut connection) = Connection::open(caller) else { return };
            // Upstreams send their calls without a key.
            let headers = [
                ("Host", HOST),
                ("X-Ivytrail-Request-Id", id.as_str()),
                ("X-Ivytrail-Deadline-Ms", "5000"),
            ];
            let path = format!("/quoting-call/{work_ms}/x");
            let is_sent = connection.send("GET", &path, &headers, b"");
            let answer = is_sent.ok().and_then(|()| connection.receive());
            let status = answer.map_or("none".to_string(), |it| it.status.to_string());
            record.line(&format!("the call {id} gets {status}"));
        })
    };
    let mut calls: Vec<_> =
        (0..N_FILLING).map(|idx| call(format!("f-{idx}"), FILLING_MS)).collect();
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        silent.fall_silent();
    }
    calls.extend((0..N_WAITING).map(|idx| call(format!("q-{idx}"), WAITING_MS)));
    thread::sleep(REUSE_AFTER);
    if has_trouble {
        let other = Upstream::start(
            "i-other",
            "tracker",
            OTHER_SLOTS,
            silent.address,
            None,
            &site.runs,
            record,
        )?;
        site.machines[1].upstream = other.clone();
        site.write_settings(1)?;
        site.signal(1, "HUP")?;
        record.line("the address goes to i-other, of the service tracker");
        other.announce(site.machines[1].addresses.local);
    }
    calls.into_iter().for_each(|it| drop(it.join()));
    // Requests that begin at the machine name its service.
    thread::sleep(Duration::from_secs(1));
    site.request(1, "GET", "/tracker-read/1/x", "own", 3_000, b"");
    let machine_service = site.machines[1].upstream.service.clone();
    silent.end();
    let runs = site.runs.lock().unwrap();
    let misrouted: Vec<&str> = runs
        .iter()
        .filter(|it| {
            (it.id.starts_with("q-") || it.id.starts_with("f-")) && it.service != "quoting"
        })
        .map(|it| it.id.as_str())
        .collect();
    let misnamed: Vec<&str> = runs
        .iter()
        .filter(|it| it.id == "own" && it.caller != machine_service)
        .map(|it| it.caller.as_str())
        .collect();
    let text = format!(
        "{} calls for quoting were run by an upstream of tracker ({misrouted:?}); a request from the machine, whose service is {machine_service}, named as its caller {misnamed:?}",
        misrouted.len()
    );
    Ok(Verdict::new(!misrouted.is_empty(), text))
}
