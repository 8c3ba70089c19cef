//! Command line options of the daemon.

use std::path::PathBuf;

use gumdrop::Options;
use ivytrail::{
    error::Findings, mesh::settings_file::MeshSettings, settings::file::DaemonSettings,
};

/// Exit status for bad input: an unreadable or invalid settings file, or invalid arguments.
const BAD_INPUT_EXIT_CODE: u8 = 2;

/// Command line of `ivytraild`.
#[derive(Debug, Options)]
pub struct DaemonOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(meta = "FILE", help = "run with this settings file")]
    settings: Option<String>,
    #[options(
        no_short,
        meta = "FILE",
        help = "run with this settings file on a platform with a table"
    )]
    mesh: Option<String>,
    #[options(meta = "FILE", help = "check this settings file and exit")]
    check: Option<String>,
}

/// Action selected by the command line.
#[derive(Debug)]
pub enum StartMode {
    /// Exit without starting the daemon.
    Exit {
        /// Exit status.
        code: u8,
    },
    /// Run the daemon on a platform without a table.
    Run(Box<DaemonSettings>),
    /// Run the mesh daemon on a platform with a table.
    RunMesh {
        /// Path of the settings file, which is reloaded at run time.
        path: PathBuf,
        /// Settings parsed from the file.
        settings: Box<MeshSettings>,
    },
}

impl DaemonOptions {
    /// Parses the process's arguments. Prints help, version, check results and errors.
    pub fn from_arguments() -> StartMode {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        match DaemonOptions::parse_args_default(&arguments) {
            Ok(options) => options.start_mode(),
            Err(cause) => {
                eprintln!("ivytraild: {cause}; see ivytraild --help");
                StartMode::Exit { code: BAD_INPUT_EXIT_CODE }
            }
        }
    }

    fn start_mode(&self) -> StartMode {
        match (&self.check, self.settings.as_ref().or(self.mesh.as_ref())) {
            _ if self.help => {
                println!(
                    "Usage: ivytraild --settings FILE | --mesh FILE\n\nThe ivytrail daemon, one beside each backend server.\n"
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
            (Some(path), _) => match check_file(path) {
                Ok(()) => {
                    println!("{path}: no findings");
                    StartMode::Exit { code: 0 }
                }
                Err(code) => StartMode::Exit { code },
            },
            (None, Some(path)) if self.settings.is_none() => {
                match read_settings(path, MeshSettings::parse) {
                    Ok(settings) => StartMode::RunMesh {
                        path: PathBuf::from(path),
                        settings: Box::new(settings),
                    },
                    Err(code) => StartMode::Exit { code },
                }
            }
            (None, Some(path)) => match read_settings(path, DaemonSettings::parse) {
                Ok(settings) => StartMode::Run(Box::new(settings)),
                Err(code) => StartMode::Exit { code },
            },
            (None, None) => {
                eprintln!("ivytraild: --settings FILE is missing; see ivytraild --help");
                StartMode::Exit { code: BAD_INPUT_EXIT_CODE }
            }
        }
    }
}

/// Field that only the settings of the mesh daemon have.
const MESH_ONLY_FIELD: &str = "\"table_address\"";

/// Checks a settings file of the mesh daemon or of the daemon without a table.
fn check_file(path: &str) -> Result<(), u8> {
    let is_mesh = std::fs::read_to_string(path).is_ok_and(|text| text.contains(MESH_ONLY_FIELD));
    match is_mesh {
        true => read_settings(path, MeshSettings::parse).map(drop),
        false => read_settings(path, DaemonSettings::parse).map(drop),
    }
}

fn read_settings<S, P>(path: &str, parse: P) -> Result<S, u8>
where
    P: FnOnce(&str) -> Result<S, Findings>,
{
    let text = std::fs::read_to_string(path).map_err(|cause| {
        eprintln!("ivytraild: {path}: {cause}");
        BAD_INPUT_EXIT_CODE
    })?;
    parse(&text).map_err(|findings| {
        for finding in findings.iter() {
            eprintln!("{path}: {finding}");
        }
        BAD_INPUT_EXIT_CODE
    })
}
