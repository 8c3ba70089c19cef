//! Runs the fake backend server as a program.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::Result;
use gumdrop::Options;
use ivytrail_fakes::backend::{BackendFake, BackendSettings, CrashMode, NestedCall};

#[derive(Debug, Options)]
struct BackendOptions {
    #[options(help = "prints this help")]
    help: bool,
    #[options(required, no_short, meta = "IP:PORT", help = "address to listen on")]
    address: Option<SocketAddr>,
    #[options(no_short, meta = "IP:PORT", help = "local address of the server's daemon")]
    daemon: Option<SocketAddr>,
    #[options(required, no_short, meta = "NAME", help = "name of the service")]
    service: String,
    #[options(no_short, meta = "N", help = "concurrent requests at full speed", default = "16")]
    slots: u32,
    #[options(no_short, meta = "X", help = "multiple of the slots to shed above", default = "2")]
    shed_multiple: f64,
    #[options(no_short, meta = "MS", help = "mean request duration", default = "5")]
    service_time_ms: u64,
    #[options(
        no_short,
        meta = "SHARE",
        help = "random share of the service time",
        default = "0.5"
    )]
    jitter: f64,
    #[options(no_short, meta = "MS", help = "startup time without requests", default = "0")]
    start_ms: u64,
    #[options(no_short, meta = "MS", help = "warm-up time with slower requests", default = "0")]
    cold_start_ms: u64,
    #[options(no_short, meta = "'METHOD /path'", help = "nested call; may be repeated")]
    calls: Vec<NestedCall>,
    #[options(no_short, meta = "N", help = "response payload in bytes", default = "256")]
    answer_bytes: usize,
    #[options(no_short, meta = "FILE", help = "file for the serials of effects")]
    effects_file: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options = BackendOptions::parse_args_default_or_exit();
    let Some(address) = options.address else { anyhow::bail!("missing option --address") };
    let settings = BackendSettings {
        address,
        daemon: options.daemon,
        service: options.service,
        slots: options.slots,
        shed_multiple: options.shed_multiple,
        service_time: Duration::from_millis(options.service_time_ms),
        jitter: options.jitter,
        startup_time: Duration::from_millis(options.start_ms),
        warmup_time: Duration::from_millis(options.cold_start_ms),
        nested_calls: options.calls,
        response_bytes: options.answer_bytes,
        effects_file: options.effects_file,
        crash_mode: CrashMode::ExitProcess,
    };
    let mut backend = BackendFake::start(settings).await?;
    println!("{}", backend.address());
    backend.join().await;
    Ok(())
}
