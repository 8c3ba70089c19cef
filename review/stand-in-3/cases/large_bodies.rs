//! Clients of one machine send bodies of the size that the limits allow, while others go on with their small requests.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use super::{
    Verdict, config,
    small_clients::{SMALL_BODY, SmallClients},
};
use crate::{
    client::Connection,
    site::{MAX_MEMORY, Record, Site, send},
};

/// Size of a large body, in bytes; the limit is 1,048,576.
const LARGE_BODY: usize = 1_000_000;
/// Number of clients with large bodies.
const N_UPLOADS: usize = 300;
/// Number of times that the clients send their large bodies.
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
    let size = if has_trouble { LARGE_BODY } else { SMALL_BODY };
    for round in 0..N_ROUNDS {
        thread::sleep(Duration::from_secs(1));
        let uploads: Vec<_> = (0..N_UPLOADS)
            .map(|client| {
                let record = record.clone();
                thread::spawn(move || upload(caller, &format!("l-{round}-{client}"), size, &record))
            })
            .collect();
        let round_end = Instant::now() + ROUND_INTERVAL;
        while Instant::now() < round_end {
            thread::sleep(Duration::from_millis(5));
            let (use_now, ended) = site.enforce_memory()?;
            peak = peak.max(use_now);
            n_ends += ended;
        }
        uploads.into_iter().for_each(|it| drop(it.join()));
    }
    let (n_sent, n_lost) = clients.finish(&site);
    let text = format!(
        "daemons were ended {n_ends} times for their memory, greatest use {} MiB of {} MiB; of {n_sent} small unsafe requests on kept connections {n_lost} were passed on to an upstream and got no answer",
        peak >> 20,
        MAX_MEMORY >> 20,
    );
    Ok(Verdict::new(MAX_LOST < n_lost, text))
}

/// Sends a request with a body of `size` bytes.
fn upload(caller: SocketAddr, id: &str, size: usize, record: &Record) {
    let body = vec![b'l'; size];
    record.line(&format!("client sends {id} with {size} bytes (unsafe)"));
    let Ok(mut connection) = Connection::open(caller) else { return };
    let is_sent = send(&mut connection, "POST", "/booking-write/100/x", id, 8_000, &body);
    let answer = is_sent.ok().and_then(|()| connection.receive());
    let status = answer.map_or("no answer".to_string(), |it| it.status.to_string());
    record.line(&format!("client gets {status} for {id}"));
}
