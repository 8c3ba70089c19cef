//! Logging to standard output, one line of `key=value` pairs per event.
//!
//! Lines are passed through a bounded channel to a writer thread, so that a stalled reader of the output never blocks a
//! request. Lines are dropped and counted while the channel is full.

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

/// Capacity of the channel, in lines.
const MAX_QUEUED_LINES: usize = 1_024;
/// Maximum time for which an exiting process waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines dropped since the last report.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Queued lines that have not been written yet.
static UNWRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// Installs the logger. The environment variable `IVYTRAIL_LOG` sets the level: `error`, `warn`, `info` (default) or
/// `debug`.
pub fn start() {
    let level = std::env::var("IVYTRAIL_LOG")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("ivytraild")
        .add_filter_allow_str("ivytrail_daemon")
        .add_filter_allow_str("ivytrail_platform")
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    thread::spawn(move || write_lines(&receiver));
    // Initialization fails if the process already has a logger, which then stays in use.
    let _ = WriteLogger::init(level, config, LineWriter { sender, line: Vec::new() });
}

/// Waits until all queued lines are written, with a timeout so that a stalled reader does not block the exit.
pub fn flush() {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    let mut waited = Duration::ZERO;
    while 0 < UNWRITTEN_LINES.load(Ordering::Relaxed) && waited < FLUSH_TIMEOUT {
        thread::sleep(POLL_INTERVAL);
        waited += POLL_INTERVAL;
    }
}

/// Collects the parts of a line and sends complete lines to the writer thread.
struct LineWriter {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            UNWRITTEN_LINES.fetch_add(1, Ordering::Relaxed);
            match self.sender.try_send(std::mem::take(&mut self.line)) {
                Ok(()) => {}
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                    UNWRITTEN_LINES.fetch_sub(1, Ordering::Relaxed);
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
    while let Ok(mut text) = receiver.recv() {
        let mut n_written = 1;
        while let Ok(line) = receiver.try_recv() {
            text.extend_from_slice(&line);
            n_written += 1;
        }
        let n_dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if 0 < n_dropped {
            let note = format!("event=log_lines_dropped cause=output-stalled count={n_dropped}\n");
            text.extend_from_slice(note.as_bytes());
        }
        // Errors are ignored: there is no other output on which to report them.
        let _ = output.write_all(&text);
        let _ = output.flush();
        UNWRITTEN_LINES.fetch_sub(n_written, Ordering::Relaxed);
    }
}
