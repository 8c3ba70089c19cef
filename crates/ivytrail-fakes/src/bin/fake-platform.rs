//! Runs the fake platform as a program.

use std::net::SocketAddr;

use anyhow::Result;
use gumdrop::Options;
use ivytrail_fakes::platform::{PlatformFake, PlatformRates};

#[derive(Debug, Options)]
struct PlatformOptions {
    #[options(help = "prints this help")]
    help: bool,
    #[options(required, no_short, meta = "IP:PORT", help = "address to listen on")]
    address: Option<SocketAddr>,
    #[options(no_short, meta = "N", help = "maximum writes per second", default = "500")]
    writes_per_s: u32,
    #[options(no_short, meta = "N", help = "maximum reads per second", default = "2000")]
    reads_per_s: u32,
}

#[tokio::main]
async fn main() -> Result<()> {
    let options = PlatformOptions::parse_args_default_or_exit();
    let Some(address) = options.address else { anyhow::bail!("missing option --address") };
    let rates =
        PlatformRates { writes_per_s: options.writes_per_s, reads_per_s: options.reads_per_s };
    let mut platform = PlatformFake::start(address, rates).await?;
    println!("{}", platform.address());
    platform.join().await;
    Ok(())
}
