//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Lines pass through a bounded channel to a thread of their own, so that a reader that stalls never holds a request
//! up. Lines that find the channel full are dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Lines that may wait to be written.
const MAX_WAITING_LINES: usize = 1_024;
/// Longest wait of an exiting process for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines that found the channel full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Lines that are not written yet.
static WAITING_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts logging. `IVYTRAIL_LOG` sets the level: `error`, `warn`, `info` (default), `debug`.
pub fn start() {
    let level = std::env::var("IVYTRAIL_LOG")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("ivytraild")
        .add_filter_allow_str("ivytrail_daemon")
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let (sender, receiver) = sync_channel(MAX_WAITING_LINES);
    thread::spawn(move || write_lines(&receiver));
    // A second logger in the same process is refused; the first one stays.
    let _ = WriteLogger::init(level, config, LineWriter { sender, line: Vec::new() });
}

/// Waits until the lines so far are written.
pub fn flush() {
    const STEP: Duration = Duration::from_millis(5);
    let mut waited = Duration::ZERO;
    while 0 < WAITING_LINES.load(Ordering::Relaxed) && waited < FLUSH_TIMEOUT {
        thread::sleep(STEP);
        waited += STEP;
    }
}

/// Collects a line and hands it to the thread that writes.
struct LineWriter {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            WAITING_LINES.fetch_add(1, Ordering::Relaxed);
            match self.sender.try_send(std::mem::take(&mut self.line)) {
                Ok(()) => {}
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                    WAITING_LINES.fetch_sub(1, Ordering::Relaxed);
                    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(mut lines) = receiver.recv() {
        let mut n_lines = 1;
        while let Ok(more) = receiver.try_recv() {
            lines.extend_from_slice(&more);
            n_lines += 1;
        }
        let n_dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if 0 < n_dropped {
            let note = format!("event=log_lines_dropped cause=output-stalled count={n_dropped}\n");
            lines.extend_from_slice(note.as_bytes());
        }
        // Without an output there is nowhere to report the failure.
        let _ = output.write_all(&lines);
        let _ = output.flush();
        WAITING_LINES.fetch_sub(n_lines, Ordering::Relaxed);
    }
}
