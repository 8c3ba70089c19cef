//! Stand-ins for the scripts of this review: the platform's store, upstreams with their heartbeats, clients, and the
//! platform's supervision of the daemons, which run as separate processes. Uses the standard library only.
//!
//! `stand-in CASE FOLDER` plays a case and writes `FOLDER/record.txt`. It exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case couldn't run. With `TROUBLE=0` in the environment it leaves out the disruption.

mod cases;
mod client;
mod json;
mod site;
mod store;
mod upstream;

use std::{path::Path, process::ExitCode, thread, time::Duration};

/// Time after which a case is given up. Its daemons end with this process.
const MAX_DURATION: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = match site::Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(cause) => {
            eprintln!("the record can't be written: {cause}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(MAX_DURATION);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    match cases::play(case, has_trouble, &record) {
        Ok(verdict) => {
            record.line(&format!("verdict: {}", verdict.text));
            println!("case {case}, trouble {has_trouble}: {}", verdict.text);
            ExitCode::from(u8::from(verdict.is_broken))
        }
        Err(cause) => {
            record.line(&format!("the case couldn't run: {cause}"));
            eprintln!("case {case} couldn't run: {cause}");
            ExitCode::from(2)
        }
    }
}
