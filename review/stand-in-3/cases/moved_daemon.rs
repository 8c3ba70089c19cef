//! A machine is removed while its upstream runs requests, and a machine with the same roles is added at a new address under
//! the same name.

use std::{collections::BTreeMap, io, thread, time::Duration};

use super::{Verdict, config};
use crate::site::{Record, Site, request};

/// Number of unsafe requests that are under way when the machine is removed.
const N_REQUESTS: usize = 6;
/// Time from the requests to the removal.
const REMOVAL_DELAY: Duration = Duration::from_millis(500);
/// Time from the removal to the start of the other machine.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(500);

pub fn play(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let services = ["tracker", "booking", "booking"];
    let config = config(1, &["booking", "tracker"], 5_000);
    let mut site = Site::start(&services, &config, record)?;
    let caller = site.machines[0].addresses.caller;
    thread::sleep(Duration::from_secs(1));
    let clients: Vec<_> = (0..N_REQUESTS)
        .map(|idx| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("w-{idx}");
                record.line(&format!("client sends {id} to sidecar-kolkata-1 (unsafe)"));
                let answer =
                    request(caller, "POST", "/booking-write/2000/x", &id, 5_000, b"slot=1");
                let status = answer.map_or("none".to_string(), |it| it.status.to_string());
                record.line(&format!("client gets {status} for {id}"));
                (id, status)
            })
        })
        .collect();
    thread::sleep(REMOVAL_DELAY);
    let busiest = site.busiest_machine("w-");
    if has_trouble {
        site.remove_machine(busiest)?;
        thread::sleep(REPLACEMENT_DELAY);
        let name = site.machines[busiest].name.clone();
        site.add_machine(9, &name, "booking")?;
    }
    let answers: Vec<(String, String)> =
        clients.into_iter().filter_map(|it| it.join().ok()).collect();
    thread::sleep(Duration::from_secs(3));
    let mut n_runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in site.runs.lock().unwrap().iter().filter(|it| it.id.starts_with("w-")) {
        *n_runs.entry(run.id.clone()).or_default() += 1;
    }
    let twice: Vec<&String> = n_runs.iter().filter(|(_, n)| 1 < **n).map(|(id, _)| id).collect();
    let text = format!(
        "{} of {N_REQUESTS} unsafe requests ran more than once ({twice:?}); answers {answers:?}",
        twice.len(),
    );
    Ok(Verdict::new(!twice.is_empty(), text))
}
