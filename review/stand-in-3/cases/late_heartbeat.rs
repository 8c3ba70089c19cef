//! All daemons are killed just after one of them has acknowledged that an upstream leaves. A heartbeat that the upstream
//! had made before arrives seconds late.

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
    upstream::Upstream,
};

/// Time for which an upstream that leaves may get requests after the acknowledgement.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time without disruption after which a machine is in touch.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which the daemons are down.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Time by which the heartbeat is late.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(4_000);
/// Time from the acknowledgement to the end of the upstream.
const LEAVE_TIME: Duration = Duration::from_millis(9_000);
/// Interval between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

pub fn play(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let services = ["tracker", "booking", "booking"];
    let mut site = Site::start(&services, &config(1, &["booking", "tracker"], 5_000), record)?;
    let caller = site.machines[0].addresses.caller;
    let is_over = Arc::new(AtomicBool::new(false));
    let client = {
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
                    let sent_at = Instant::now();
                    let answer = request(caller, "POST", "/booking-write/400/x", &id, 3_000, b"s");
                    let status = answer.map_or("none".to_string(), |it| it.status.to_string());
                    record.line(&format!("client gets {status} for {id}"));
                    (id, sent_at, status)
                }));
                thread::sleep(REQUEST_INTERVAL);
            }
            requests.into_iter().filter_map(|it| it.join().ok()).collect::<Vec<_>>()
        })
    };
    thread::sleep(Duration::from_secs(2));
    let leaving = site.machines[2].upstream.clone();
    let control = site.machines[2].addresses.local;
    wait_for_heartbeat(&leaving);
    let late = leaving.next_heartbeat();
    let made_at = Instant::now();
    record.line(&format!("{} makes a heartbeat that will be late: {late}", leaving.id));
    let status = leaving.deregister(control);
    let acknowledged_at = Instant::now();
    record.line(&format!("{} deregisters and gets {status:?}", leaving.id));
    if status != Some(200) {
        return Err(io::Error::other("the leave was not acknowledged"));
    }
    if has_trouble {
        (0..services.len()).try_for_each(|idx| site.kill_daemon(idx))?;
        thread::sleep(DOWN_TIME);
        (0..services.len()).try_for_each(|idx| site.start_daemon(idx))?;
    }
    let started_at = Instant::now();
    thread::sleep(HEARTBEAT_DELAY.saturating_sub(made_at.elapsed()));
    let status = leaving.send_heartbeat(control, &late);
    record.line(&format!("the late heartbeat of {} arrives and gets {status:?}", leaving.id));
    thread::sleep(LEAVE_TIME.saturating_sub(acknowledged_at.elapsed()));
    record.line(&format!("{} exits", leaving.id));
    leaving.end();
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    let answers = client.join().map_err(|_| io::Error::other("the client failed"))?;
    let in_touch_at = (started_at + STABILITY_WINDOW).max(acknowledged_at + DRAIN);
    let is_counted =
        |id: &str| answers.iter().any(|(it, sent_at, _)| it == id && in_touch_at <= *sent_at);
    let runs = site.runs.lock().unwrap();
    let late_runs: Vec<&str> = runs
        .iter()
        .filter(|it| it.upstream == leaving.id && acknowledged_at + DRAIN < it.at)
        .map(|it| it.id.as_str())
        .filter(|id| is_counted(id))
        .collect();
    let n_lost = answers
        .iter()
        .filter(|(id, _, status)| late_runs.contains(&id.as_str()) && status != "200")
        .count();
    let text = format!(
        "{} requests from machines in touch reached {} later than {DRAIN:?} after the acknowledgement that it leaves; {n_lost} of them were cut off by its end",
        late_runs.len(),
        leaving.id
    );
    Ok(Verdict::new(!late_runs.is_empty(), text))
}

/// Waits until an upstream has just sent a heartbeat.
fn wait_for_heartbeat(upstream: &Upstream) {
    let before = upstream.sequence.load(Ordering::SeqCst);
    while upstream.sequence.load(Ordering::SeqCst) == before {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(50));
}
