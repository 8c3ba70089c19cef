//! A daemon gets SIGTERM while clients read long answers slowly. Checked: each answer arrives whole before the end of the
//! grace period.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::{
    io::Read,
    net::SocketAddr,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use stand::{
    Daemon, Folder, Machine, Record, ask, configuration, connect_with_small_buffer, has_trouble,
    http::Connection,
    request_head,
    server::{Runs, Server},
    table::Table,
    verdict,
};

const N_CLIENTS: usize = 4;
/// Size of each answer.
const N_BYTES: usize = 6 << 20;
/// Rate at which a client reads. It has the answer 4 s after it has asked, 4.3 s after the SIGTERM.
const BYTES_PER_S: f64 = 1.5 * (1 << 20) as f64;
/// Receive buffer of a client, in bytes.
const RECEIVE_BUFFER_BYTES: i32 = 16 << 10;
/// Largest segment that a client accepts, in bytes, as on an Ethernet link.
const SEGMENT_BYTES: i32 = 1_460;
const DEADLINE_MS: u64 = 8_000;

/// How one client's request ended.
struct Outcome {
    n_read: usize,
    took_ms: u64,
    is_whole: bool,
}

/// Sends a request on a kept connection and reads its answer slowly.
fn read_slowly(record: &Record, address: SocketAddr, id: &str, is_sent: &dyn Fn()) -> std::io::Result<Outcome> {
    let mut connection = Connection::new(connect_with_small_buffer(address, RECEIVE_BUFFER_BYTES, SEGMENT_BYTES)?);
    connection.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    connection.write(&request_head("GET", "/track/bytes-10", &format!("{id}-first"), DEADLINE_MS, 0), &[])?;
    connection.read_message()?;
    is_sent();
    record.write(&format!("sent request={id} on a kept connection"));
    let path = format!("/track/bytes-{N_BYTES}");
    connection.write(&request_head("GET", &path, id, DEADLINE_MS, 0), &[])?;
    let sent_at = Instant::now();
    let head = connection.read_head()?;
    let n_expected: usize = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    record.write(&format!("head request={id} status={} content-length={n_expected}", head.status()));
    let mut n_read = connection.take_buffered().len();
    let mut chunk = vec![0_u8; 8 << 10];
    while n_read < n_expected {
        let due = Duration::from_secs_f64(n_read as f64 / BYTES_PER_S);
        thread::sleep(due.saturating_sub(sent_at.elapsed()));
        match connection.stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(n_bytes) => n_read += n_bytes,
            Err(cause) => {
                record.write(&format!("read failed request={id} cause={cause}"));
                break;
            }
        }
    }
    let took_ms = sent_at.elapsed().as_millis() as u64;
    let is_whole = head.status() == 200 && n_read == N_BYTES;
    Ok(Outcome { n_read, took_ms, is_whole })
}

fn main() -> ExitCode {
    let (record, folder, runs) = (Record::create(), Folder::create("7"), Runs::default());
    let table = Table::start();
    let routes = [("track", "safe", "tracker"), ("desk", "safe", "desk")];
    table.write_as_operator("config", &configuration(7, &routes, DEADLINE_MS));
    let desk = Machine::new("sidecar-kolkata-1", "desk", "127.0.0.21");
    let tracker = Machine::new("sidecar-kolkata-2", "tracker", "127.0.0.22");
    let mut entry = Daemon::start(&desk, &table, &folder, &record);
    let guard = Daemon::start(&tracker, &table, &folder, &record);
    let _desk_server = Server::start(desk.server_options("i-desk"), &runs, &record);
    let _tracker_server = Server::start(tracker.server_options("i-tracker"), &runs, &record);
    if !entry.wait_ready() || !guard.wait_ready() {
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_millis(2_500));
    if ask(&record, desk.callers, "GET", "/track/bytes-10", "warm", DEADLINE_MS) != 200 {
        return ExitCode::from(2);
    }

    let barrier = std::sync::Arc::new(std::sync::Barrier::new(N_CLIENTS + 1));
    let clients: Vec<_> = (0..N_CLIENTS)
        .map(|n| {
            let (record, address, barrier) = (record.clone(), desk.callers, std::sync::Arc::clone(&barrier));
            thread::spawn(move || {
                let id = format!("track{n}");
                let wait = || {
                    barrier.wait();
                    thread::sleep(Duration::from_millis(300));
                };
                let outcome = read_slowly(&record, address, &id, &wait);
                match &outcome {
                    Ok(it) => record.write(&format!(
                        "ended request={id} whole={} read={} of {N_BYTES} bytes after {} ms",
                        it.is_whole, it.n_read, it.took_ms
                    )),
                    Err(cause) => record.write(&format!("failed request={id} cause={cause}")),
                }
                outcome
            })
        })
        .collect();
    barrier.wait();
    let term_at = Instant::now();
    if has_trouble() {
        entry.terminate();
        entry.wait(Duration::from_secs(7));
        record.write(&format!("{} ms after the SIGTERM", term_at.elapsed().as_millis()));
    }
    let outcomes: Vec<_> = clients.into_iter().map(|it| it.join().expect("client")).collect();
    let n_cut = outcomes
        .iter()
        .filter(|it| match it {
            Ok(outcome) => !outcome.is_whole && outcome.took_ms < DEADLINE_MS,
            Err(_) => true,
        })
        .count();
    let what = format!("{n_cut} of {N_CLIENTS} answers ended early");
    verdict(&record, 0 < n_cut, &what)
}
