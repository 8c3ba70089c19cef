//! Simulates heavy loads on a fleet of 95 reducers in one process, without a network.
//!
//! Run it with `cargo run --release --example measure_heavy_days`. An argument selects the loads whose name contains it.
//! Each load prints what was served by class, the slot time that was spent on unserved root requests, and a bound on what
//! could be served with the same slots by someone who knows all arrivals and rejections in advance.

use serde_json::json;

use crate::{
    fleet::HeavyFleet,
    load::{CLASSES, HeavyLoad, ROOTS},
};

mod fleet;
mod load;
mod topology;

const SEED: u64 = 1;

fn main() {
    let filter = std::env::args().nth(1).unwrap_or_default();
    for load in HeavyLoad::all().into_iter().filter(|it| it.name.contains(&filter)) {
        let bound = load.bound_by_class();
        let result = HeavyFleet::play(load.clone(), SEED);
        for (idx, class) in ROOTS.iter().map(|idx| (*idx, &CLASSES[*idx])) {
            let counts = &result.classes[idx];
            let n_offered = f64::from(counts.n_offered.max(1));
            let line = json!({
                "load": load.name,
                "class": class.name,
                "offered": counts.n_offered,
                "in_target": f64::from(counts.n_in_target) / n_offered,
                "late": f64::from(counts.n_late) / n_offered,
                "refused": f64::from(counts.n_refused) / n_offered,
                "failed": f64::from(counts.n_failed) / n_offered,
                "bound": bound[idx],
                "wasted_slot_share": counts.wasted_slot_s
                    / (counts.wasted_slot_s + counts.useful_slot_s).max(f64::MIN_POSITIVE),
            });
            println!("{line}");
        }
    }
}
