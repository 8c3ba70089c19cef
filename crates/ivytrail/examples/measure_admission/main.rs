//! Simulates admission with its mechanisms enabled and disabled, and prints each measure as a JSON line.
//!
//! Run it with `cargo run --release --example measure_admission`. An argument selects the measures whose name or case
//! contains it. Seeds are 1 to [`N_SEEDS`]; values are medians.

use std::time::Duration;

use ivytrail::admission::{AdmissionOptions, GateOptions};
use serde_json::json;

use crate::chain::{ChainCase, ChainModel, ChainResult, N_ACCOUNTS, WARM_UP_S};

mod chain;

const N_SEEDS: u64 = 5;
const DURATION_S: f64 = 8.0;
const SLOWDOWN_S: (f64, f64) = (4.0, 7.0);
const RECOVERY_DURATION_S: f64 = 20.0;

fn main() {
    let all_on =
        case(AdmissionOptions::default(), GateOptions::default(), Duration::from_millis(50));
    let gate_off = GateOptions { thresholds: false, fair: false };
    let all_off = case(baseline_options(), gate_off, Duration::from_millis(250));
    for depth in [1, 3, 6] {
        for load in [1.0, 2.0, 4.0, 10.0] {
            let name = format!("chain {depth}, load {load}x");
            let vary = |case: &ChainCase| ChainCase { depth, load, ..case.clone() };
            compare("goodput_ratio", &name, "ratio", &vary(&all_on), &vary(&all_off), goodput);
            if load == 4.0 {
                compare(
                    "wasted_work",
                    &name,
                    "ratio",
                    &vary(&all_on),
                    &vary(&all_off),
                    wasted_share,
                );
                compare(
                    "critical_share",
                    &name,
                    "ratio",
                    &vary(&all_on),
                    &vary(&all_off),
                    critical_share,
                );
            }
        }
    }
    measure_each_mechanism(&all_on);
    for depth in [1, 3, 6] {
        let vary = |case: &ChainCase| ChainCase {
            depth,
            load: 0.8,
            slowdown_s: Some(SLOWDOWN_S),
            retries_failures: true,
            duration_s: RECOVERY_DURATION_S,
            ..case.clone()
        };
        let name = format!("chain {depth}, load 0.8x, tenfold slowdown for 3 s, resends");
        compare("recovery_ms", &name, "ms", &vary(&all_on), &vary(&all_off), recovery_ms);
    }
}

/// Compares each mechanism with a baseline in which only that mechanism is disabled.
fn measure_each_mechanism(all_on: &ChainCase) {
    let options = AdmissionOptions::default;
    let without = |options| ChainCase { options, ..all_on.clone() };
    let fair_off = ChainCase {
        gate: GateOptions { fair: false, ..all_on.gate },
        ..without(AdmissionOptions { fair: false, ..options() })
    };
    for depth in [1, 3] {
        let vary = |case: &ChainCase| ChainCase {
            depth,
            load: 0.8,
            hot_account_factor: 8.0,
            is_single_class: true,
            ..case.clone()
        };
        let name = format!("chain {depth}, load 0.8x, one class, one account at 8x");
        compare(
            "worst_account_ratio",
            &name,
            "ratio",
            &vary(all_on),
            &vary(&fair_off),
            worst_share,
        );
    }
    let priority_off = without(AdmissionOptions { priority: false, ..options() });
    let vary = |case: &ChainCase| ChainCase { load: 4.0, ..case.clone() };
    let name = "chain 1, load 4x, priority alone off";
    compare("critical_share", name, "ratio", &vary(all_on), &vary(&priority_off), critical_share);
    let adaptive_off = without(AdmissionOptions { adaptive: false, ..options() });
    for load in [1.0, 4.0, 10.0] {
        let vary = |case: &ChainCase| ChainCase { load, slot_overstatement: 32, ..case.clone() };
        let name = format!("chain 1, load {load}x, slots overstated 32x, adaptive alone off");
        compare("goodput_ratio", &name, "ratio", &vary(all_on), &vary(&adaptive_off), goodput);
    }
    let consistent_off = ChainCase {
        gate: GateOptions { thresholds: false, ..all_on.gate },
        ..without(AdmissionOptions { consistent: false, ..options() })
    };
    for depth in [3, 6] {
        let vary = |case: &ChainCase| ChainCase { depth, load: 4.0, ..case.clone() };
        let name = format!("chain {depth}, load 4x, levels and gate alone off");
        compare("wasted_work", &name, "ratio", &vary(all_on), &vary(&consistent_off), wasted_share);
        compare("goodput_ratio", &name, "ratio", &vary(all_on), &vary(&consistent_off), goodput);
    }
    let deadline_off = without(AdmissionOptions { deadline_aware: false, ..options() });
    let vary = |case: &ChainCase| ChainCase { load: 4.0, depth: 3, ..case.clone() };
    let name = "chain 3, load 4x, deadline alone off";
    compare("goodput_ratio", name, "ratio", &vary(all_on), &vary(&deadline_off), goodput);
}

fn case(options: AdmissionOptions, gate: GateOptions, max_wait: Duration) -> ChainCase {
    ChainCase {
        depth: 1,
        load: 1.0,
        hot_account_factor: 1.0,
        is_single_class: false,
        options,
        gate,
        max_wait,
        slowdown_s: None,
        retries_failures: false,
        slot_overstatement: 1,
        duration_s: DURATION_S,
    }
}

fn baseline_options() -> AdmissionOptions {
    AdmissionOptions {
        adaptive: false,
        fair: false,
        priority: false,
        consistent: false,
        deadline_aware: false,
        max_queue: 100_000,
        ..AdmissionOptions::default()
    }
}

/// Prints a measure of `case` and of `baseline`, unless the argument leaves it out.
fn compare<F>(
    measure: &str,
    name: &str,
    unit: &str,
    case: &ChainCase,
    baseline: &ChainCase,
    value: F,
) where
    F: Fn(&ChainResult) -> f64,
{
    let line = format!("{measure}: {name}");
    if std::env::args().nth(1).is_some_and(|filter| !line.contains(&filter)) {
        return;
    }
    let (value, baseline) = (measure_range(case, &value), measure_range(baseline, &value));
    let line = json!({
        "measure": measure,
        "case": name,
        "value": value.1,
        "unit": unit,
        "baseline": baseline.1,
        "runs": N_SEEDS,
        "spread": [value.0, value.2],
    });
    println!("{line}");
}

/// Returns the minimum, median and maximum of a measure over the seeds.
fn measure_range<F>(case: &ChainCase, value: &F) -> (f64, f64, f64)
where
    F: Fn(&ChainResult) -> f64,
{
    let mut values: Vec<f64> =
        (1..=N_SEEDS).map(|seed| value(&ChainModel::run(case.clone(), seed))).collect();
    values.sort_by(f64::total_cmp);
    let round = |it: f64| (it * 1e4).round() / 1e4;
    (round(values[0]), round(values[values.len() / 2]), round(values[values.len() - 1]))
}

fn goodput(result: &ChainResult) -> f64 {
    result.goodput(WARM_UP_S, DURATION_S)
}

fn wasted_share(result: &ChainResult) -> f64 {
    result.wasted_slot_s / (result.wasted_slot_s + result.useful_slot_s)
}

fn critical_share(result: &ChainResult) -> f64 {
    f64::from(result.completed_by_class[0]) / f64::from(result.offered_by_class[0])
}

/// Returns the lowest ratio of completed to offered calls over the accounts with the normal request rate.
fn worst_share(result: &ChainResult) -> f64 {
    (1..N_ACCOUNTS)
        .map(|account| {
            f64::from(result.completed_by_account[account])
                / f64::from(result.offered_by_account[account])
        })
        .fold(1.0, f64::min)
}

/// Returns the milliseconds from the end of the slowdown until goodput is back at 95 % of its initial value for 0.5 s.
fn recovery_ms(result: &ChainResult) -> f64 {
    let initial_goodput = result.goodput(WARM_UP_S, SLOWDOWN_S.0);
    let mut start_s = SLOWDOWN_S.1;
    while start_s + 0.5 < RECOVERY_DURATION_S
        && result.goodput(start_s, start_s + 0.5) < 0.95 * initial_goodput
    {
        start_s += 0.1;
    }
    (start_s - SLOWDOWN_S.1) * 1_000.0
}
