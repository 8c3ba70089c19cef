//! The daemon of a machine is asked to stop while clients read answers slowly.

use std::{
    io::{self, Read},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use super::{Verdict, config};
use crate::{
    client::Connection,
    site::{Record, Site, send},
};

/// Size of an answer, in bytes.
const ANSWER: usize = 16_000_000;
/// Number of clients.
const N_READERS: usize = 6;
/// Bytes that a client reads at a time.
const READ_SIZE: usize = 40_000;
/// Time between two reads; an answer takes 4 s.
const READ_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(8_000);
/// Time from the requests to the signal.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// Time that a process has after SIGTERM.
const GRACE: Duration = Duration::from_secs(6);

/// End of an answer.
#[derive(Debug)]
struct AnswerEnd {
    id: String,
    n_read: usize,
    is_complete: bool,
    took: Duration,
}

pub fn play(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let services = ["tracker", "booking", "booking"];
    let mut site = Site::start(&services, &config(1, &["booking", "tracker"], 8_000), record)?;
    let caller = site.machines[0].addresses.caller;
    // Machines are in touch after this time without disruption.
    thread::sleep(Duration::from_secs(4));
    let readers: Vec<_> = (0..N_READERS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || read_answer(caller, format!("r-{client}"), &record))
        })
        .collect();
    thread::sleep(STOP_DELAY);
    let stopped_at = Instant::now();
    if has_trouble {
        site.signal(0, "TERM")?;
        while stopped_at.elapsed() < GRACE && !site.has_ended(0)? {
            thread::sleep(Duration::from_millis(20));
        }
    }
    let end = match stopped_at.elapsed() {
        _ if !has_trouble => "it was not stopped".to_string(),
        took if took < GRACE => format!("it exited {} ms after SIGTERM", took.as_millis()),
        _ => "it ran until the end of its grace".to_string(),
    };
    record.line(&format!("the daemon of machine 1: {end}"));
    let ends: Vec<AnswerEnd> = readers.into_iter().filter_map(|it| it.join().ok()).collect();
    let runs = site.runs.lock().unwrap();
    let cut: Vec<&AnswerEnd> = ends
        .iter()
        .filter(|it| {
            !it.is_complete && it.took < DEADLINE && runs.iter().any(|run| run.id == it.id)
        })
        .collect();
    let text = format!(
        "{} of {N_READERS} answers were cut off before their end and their deadline; {end}; bytes of {ANSWER} read: {:?}",
        cut.len(),
        ends.iter().map(|it| it.n_read).collect::<Vec<usize>>(),
    );
    Ok(Verdict::new(!cut.is_empty(), text))
}

/// Asks for an answer and reads it slowly.
fn read_answer(caller: SocketAddr, id: String, record: &Record) -> AnswerEnd {
    let sent_at = Instant::now();
    let n_read = read_body(caller, &id, sent_at).unwrap_or(0);
    let took = sent_at.elapsed();
    let millis = took.as_millis();
    record.line(&format!("client has read {n_read} of {ANSWER} bytes for {id} after {millis} ms"));
    AnswerEnd { id, n_read, is_complete: ANSWER <= n_read, took }
}

/// Returns the number of bytes of the body that arrived before the connection ended or the deadline was reached.
fn read_body(caller: SocketAddr, id: &str, sent_at: Instant) -> Option<usize> {
    let mut connection = Connection::open(caller).ok()?;
    let path = format!("/booking-read/answer-{ANSWER}/10/x");
    send(&mut connection, "GET", &path, id, DEADLINE.as_millis() as u64, b"").ok()?;
    connection.receive_head()?;
    let mut n_read = 0;
    let mut buffer = vec![0; READ_SIZE];
    while n_read < ANSWER && sent_at.elapsed() < DEADLINE {
        match connection.0.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n_bytes) => n_read += n_bytes,
        }
        thread::sleep(READ_INTERVAL);
    }
    Some(n_read)
}
