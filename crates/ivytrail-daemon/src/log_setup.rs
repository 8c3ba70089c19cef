//! Logs: one line of key=value pairs for each event, on standard error.

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Starts logging. `IVYTRAIL_LOG` sets the level: `error`, `warn`, `info` (default), `debug`.
pub fn start() {
    let level = std::env::var("IVYTRAIL_LOG")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("ivytraild")
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    // A second logger in the same process is refused; the first one stays.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
