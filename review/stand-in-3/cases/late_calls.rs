//! A daemon alone is asked to stop while the upstream beside it goes on making calls for the requests that it runs.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{Verdict, config};
use crate::{
    site::{Record, Site, request},
    upstream::EndedCall,
};

/// Time that a process has after SIGTERM, in seconds.
const GRACE_S: u64 = 10;
/// Slots of each upstream.
const SLOTS: u32 = 64;
/// Interval between two requests of the clients of machine 1.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Usual duration of a call, in milliseconds.
const CALL_MS: u32 = 200;
/// Duration of one call of [`LONG_CALL_PERIOD`], in milliseconds.
const LONG_CALL_MS: u32 = 3_400;
const LONG_CALL_PERIOD: usize = 16;
/// Time for which a client waits for its answer, in milliseconds; the routes' timeout is the same.
const DEADLINE_MS: u64 = 8_000;
/// Time from the start of the requests to the signal.
const STOP_DELAY: Duration = Duration::from_secs(8);
/// Time from the signal to a longer request of a client of machine 2, and the time that its work takes, in milliseconds.
const LONG_REQUEST: (Duration, u32) = (Duration::from_millis(500), 7_000);
/// Requests that were sent up to this time after the signal may be cut off if their upstreams work on them until late.
const EXCUSED_TIME: Duration = Duration::from_secs(3);

pub fn play(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let services = ["tracker", "booking", "tracker"];
    let config = config(1, &["booking", "tracker"], DEADLINE_MS);
    let mut site = Site::start_with_grace(&services, &config, SLOTS, GRACE_S, record)?;
    let callers = [site.machines[0].addresses.caller, site.machines[1].addresses.caller];
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut requests = Vec::new();
            for serial in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let record = record.clone();
                requests.push(thread::spawn(move || {
                    let id = format!("w-{serial}");
                    let call_ms =
                        if serial % LONG_CALL_PERIOD == 0 { LONG_CALL_MS } else { CALL_MS };
                    let path = format!("/booking-write/call-{call_ms}/20/x");
                    let answer = request(callers[0], "POST", &path, &id, DEADLINE_MS, b"s");
                    let status = answer.map_or("none".to_string(), |it| it.status.to_string());
                    record.line(&format!("client gets {status} for {id}"));
                }));
                thread::sleep(REQUEST_INTERVAL);
            }
            requests.into_iter().for_each(|it| drop(it.join()));
        })
    };
    thread::sleep(STOP_DELAY);
    let stopped_at = Instant::now();
    if has_trouble {
        site.signal(1, "TERM")?;
    }
    thread::sleep(LONG_REQUEST.0);
    let path = format!("/booking-write/{}/x", LONG_REQUEST.1);
    let long = thread::spawn(move || request(callers[1], "POST", &path, "long", DEADLINE_MS, b"s"));
    let grace = Duration::from_secs(GRACE_S);
    while stopped_at.elapsed() < grace && !site.has_ended(1)? {
        thread::sleep(Duration::from_millis(20));
    }
    let took = stopped_at.elapsed();
    record.line(&format!("{} ms after the signal: the wait for machine 2 ends", took.as_millis()));
    is_over.store(true, Ordering::SeqCst);
    let _ = clients.join();
    let status = long.join().ok().flatten().map(|it| it.status);
    record.line(&format!("the longer request at machine 2 gets {status:?}"));
    let calls = site.machines[1].upstream.calls.lock().unwrap();
    let runs = site.runs.lock().unwrap();
    let is_run = |id: &str| runs.iter().any(|it| it.id == id);
    let cut: Vec<&EndedCall> = calls
        .iter()
        .filter(|it| it.status.is_none() && stopped_at + EXCUSED_TIME < it.sent_at)
        .filter(|it| it.ended_at - it.sent_at < Duration::from_millis(DEADLINE_MS))
        .filter(|it| is_run(&it.id))
        .collect();
    let sent: Vec<u128> = cut.iter().map(|it| (it.sent_at - stopped_at).as_millis()).collect();
    let text = format!(
        "{} of {} calls of the upstream of machine 2 were passed on, run and cut off without an answer; they were sent {sent:?} ms after the signal",
        cut.len(),
        calls.len(),
    );
    Ok(Verdict::new(!cut.is_empty(), text))
}
