//! Clients of one machine read large answers slowly, while others go on with their small requests.

use std::{
    io::{self, Read},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use super::{Verdict, config, small_clients::SmallClients};
use crate::{
    client::Connection,
    site::{MAX_MEMORY, Record, Site, send},
};

/// Size of a large answer, in bytes.
const ANSWER: usize = 16_000_000;
/// Number of clients that read large answers.
const N_READERS: usize = 20;
/// Time between the requests of two such clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Bytes that a slow client reads at a time.
const READ_SIZE: usize = 16 << 10;
/// Time between two reads of a slow client.
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(5_000);
/// Number of times that the clients ask for their large answers.
const N_ROUNDS: usize = 3;
/// Time from one round to the next.
const ROUND_INTERVAL: Duration = Duration::from_secs(12);
/// Number of requests that a machine may lose.
const MAX_LOST: usize = 3;

pub fn play(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let services = ["tracker", "booking", "booking"];
    let mut site = Site::start(&services, &config(1, &["booking", "tracker"], 8_000), record)?;
    let caller = site.machines[0].addresses.caller;
    let clients = SmallClients::start(caller, record);
    let mut n_ends = 0;
    let mut peak = 0;
    for round in 0..N_ROUNDS {
        thread::sleep(Duration::from_secs(1));
        let readers: Vec<_> = (0..N_READERS)
            .map(|client| {
                let record = record.clone();
                thread::spawn(move || {
                    thread::sleep(REQUEST_INTERVAL * client as u32);
                    read_answer(caller, &format!("r-{round}-{client}"), has_trouble, &record)
                })
            })
            .collect();
        let round_end = Instant::now() + ROUND_INTERVAL;
        while Instant::now() < round_end {
            thread::sleep(Duration::from_millis(5));
            let (use_now, ended) = site.enforce_memory()?;
            peak = peak.max(use_now);
            n_ends += ended;
        }
        readers.into_iter().for_each(|it| drop(it.join()));
    }
    let (n_sent, n_lost) = clients.finish(&site);
    let text = format!(
        "daemons were ended {n_ends} times for their memory, greatest use {} MiB of {} MiB; of {n_sent} small unsafe requests on kept connections {n_lost} were passed on to an upstream and got no answer",
        peak >> 20,
        MAX_MEMORY >> 20,
    );
    Ok(Verdict::new(MAX_LOST < n_lost, text))
}

/// Asks for a large answer and reads it, slowly or as fast as it comes.
fn read_answer(caller: SocketAddr, id: &str, is_slow: bool, record: &Record) -> Option<()> {
    let mut connection = Connection::open(caller).ok()?;
    let path = format!("/booking-read/answer-{ANSWER}/10/x");
    let sent_at = Instant::now();
    send(&mut connection, "GET", &path, id, DEADLINE.as_millis() as u64, b"").ok()?;
    let mut n_read = 0;
    let mut buffer = vec![0; READ_SIZE];
    while n_read < ANSWER && sent_at.elapsed() < DEADLINE {
        match connection.0.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n_bytes) => n_read += n_bytes,
        }
        if is_slow {
            thread::sleep(READ_INTERVAL);
        }
    }
    record.line(&format!("client has read {n_read} bytes of the answer to {id}"));
    Some(())
}
