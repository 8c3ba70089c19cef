//! The daemon's command line.

use gumdrop::Options;
use ivytrail::settings::file::DaemonSettings;

/// Exit status for bad input: an unreadable or wrong settings file, or unknown arguments.
const BAD_INPUT: u8 = 2;

/// Command line of `ivytraild`.
#[derive(Debug, Options)]
pub struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(meta = "FILE", help = "start with these settings")]
    settings: Option<String>,
    #[options(meta = "FILE", help = "check these settings and exit")]
    check: Option<String>,
}

/// What the command line asks for.
#[derive(Debug)]
pub enum StartMode {
    /// Everything is done.
    Exit {
        /// Exit status.
        code: u8,
    },
    /// Run the daemon.
    Run(Box<DaemonSettings>),
}

impl DaemonOptions {
    /// Reads the process's arguments; prints what they ask for.
    pub fn from_arguments() -> StartMode {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        match DaemonOptions::parse_args_default(&arguments) {
            Ok(options) => options.start_mode(),
            Err(cause) => {
                eprintln!("ivytraild: {cause}; see ivytraild --help");
                StartMode::Exit { code: BAD_INPUT }
            }
        }
    }

    fn start_mode(&self) -> StartMode {
        match (&self.check, &self.settings) {
            _ if self.help => {
                println!(
                    "Usage: ivytraild --settings FILE\n\nThe ivytrail daemon, one beside each backend server.\n"
                );
                println!(
                    "{}\n\nIVYTRAIL_LOG=error|warn|info|debug sets the log level.",
                    DaemonOptions::usage()
                );
                StartMode::Exit { code: 0 }
            }
            _ if self.version => {
                println!("ivytraild {}", env!("CARGO_PKG_VERSION"));
                StartMode::Exit { code: 0 }
            }
            (Some(path), _) => match read_settings(path) {
                Ok(_) => {
                    println!("{path}: no findings");
                    StartMode::Exit { code: 0 }
                }
                Err(code) => StartMode::Exit { code },
            },
            (None, Some(path)) => match read_settings(path) {
                Ok(settings) => StartMode::Run(Box::new(settings)),
                Err(code) => StartMode::Exit { code },
            },
            (None, None) => {
                eprintln!("ivytraild: --settings FILE is missing; see ivytraild --help");
                StartMode::Exit { code: BAD_INPUT }
            }
        }
    }
}

fn read_settings(path: &str) -> Result<DaemonSettings, u8> {
    let text = std::fs::read_to_string(path).map_err(|cause| {
        eprintln!("ivytraild: {path}: {cause}");
        BAD_INPUT
    })?;
    DaemonSettings::parse(&text).map_err(|findings| {
        for finding in findings.iter() {
            eprintln!("{path}: {finding}");
        }
        BAD_INPUT
    })
}
