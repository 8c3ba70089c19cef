//! Measures admission alone: prints one JSON object a line for each decision, with it and without it.
//!
//! Run it with `cargo run --release --example measure_admission`; an argument selects the measures that contain it. Seeds are 1 to [`N_SEEDS`]; values are medians.

use std::time::Duration;

use ivytrail::admission::{AdmissionOptions, GateOptions};
use serde_json::json;

use crate::chain::{ChainCase, ChainModel, ChainResult, N_ACCOUNTS, WARM_UP_S};

mod chain;

const N_SEEDS: u64 = 5;
const SECONDS: f64 = 8.0;
const SLOW: (f64, f64) = (4.0, 7.0);
const RECOVERY_SECONDS: f64 = 20.0;

fn main() {
    let all = case(AdmissionOptions::default(), GateOptions::default(), Duration::from_millis(50));
    let no_gate = GateOptions { thresholds: false, fair: false };
    let none = case(naive_options(), no_gate, Duration::from_millis(250));
    for depth in [1, 3, 6] {
        for load in [1.0, 2.0, 4.0, 10.0] {
            let name = format!("chain {depth}, load {load}x");
            let shape = |case: &ChainCase| ChainCase { depth, load, ..case.clone() };
            print("goodput_ratio", &name, "ratio", &shape(&all), &shape(&none), goodput);
            if load == 4.0 {
                print("wasted_work", &name, "ratio", &shape(&all), &shape(&none), wasted);
                print(
                    "critical_share",
                    &name,
                    "ratio",
                    &shape(&all),
                    &shape(&none),
                    critical_share,
                );
            }
        }
    }
    measure_single_decisions(&all);
    for depth in [1, 3, 6] {
        let shape = |case: &ChainCase| ChainCase {
            depth,
            load: 0.8,
            slow: Some(SLOW),
            resend: true,
            seconds: RECOVERY_SECONDS,
            ..case.clone()
        };
        let name = format!("chain {depth}, load 0.8x, tenfold slowdown for 3 s, resends");
        print("recovery_ms", &name, "ms", &shape(&all), &shape(&none), recovery_ms);
    }
}

/// Measures each decision against the same module with only that decision off.
fn measure_single_decisions(all: &ChainCase) {
    let options = AdmissionOptions::default;
    let without = |options| ChainCase { options, ..all.clone() };
    let fair_off = ChainCase {
        gate: GateOptions { fair: false, ..all.gate },
        ..without(AdmissionOptions { fair: false, ..options() })
    };
    for depth in [1, 3] {
        let shape = |case: &ChainCase| ChainCase {
            depth,
            load: 0.8,
            loud: 8.0,
            one_class: true,
            ..case.clone()
        };
        let name = format!("chain {depth}, load 0.8x, one class, one account at 8x");
        print("worst_account_ratio", &name, "ratio", &shape(all), &shape(&fair_off), worst_account);
    }
    let priority_off = without(AdmissionOptions { priority: false, ..options() });
    let shape = |case: &ChainCase| ChainCase { load: 4.0, ..case.clone() };
    let name = "chain 1, load 4x, priority alone off";
    print("critical_share", name, "ratio", &shape(all), &shape(&priority_off), critical_share);
    let adaptive_off = without(AdmissionOptions { adaptive: false, ..options() });
    for load in [1.0, 4.0, 10.0] {
        let shape = |case: &ChainCase| ChainCase { load, overstated: 32, ..case.clone() };
        let name = format!("chain 1, load {load}x, slots overstated 32x, adaptive alone off");
        print("goodput_ratio", &name, "ratio", &shape(all), &shape(&adaptive_off), goodput);
    }
    let consistent_off = ChainCase {
        gate: GateOptions { thresholds: false, ..all.gate },
        ..without(AdmissionOptions { consistent: false, ..options() })
    };
    for depth in [3, 6] {
        let shape = |case: &ChainCase| ChainCase { depth, load: 4.0, ..case.clone() };
        let name = format!("chain {depth}, load 4x, levels and gate alone off");
        print("wasted_work", &name, "ratio", &shape(all), &shape(&consistent_off), wasted);
        print("goodput_ratio", &name, "ratio", &shape(all), &shape(&consistent_off), goodput);
    }
    let deadline_off = without(AdmissionOptions { deadline_aware: false, ..options() });
    let shape = |case: &ChainCase| ChainCase { load: 4.0, depth: 3, ..case.clone() };
    let name = "chain 3, load 4x, deadline alone off";
    print("goodput_ratio", name, "ratio", &shape(all), &shape(&deadline_off), goodput);
}

fn case(options: AdmissionOptions, gate: GateOptions, max_wait: Duration) -> ChainCase {
    ChainCase {
        depth: 1,
        load: 1.0,
        loud: 1.0,
        one_class: false,
        options,
        gate,
        max_wait,
        slow: None,
        resend: false,
        overstated: 1,
        seconds: SECONDS,
    }
}

fn naive_options() -> AdmissionOptions {
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

fn print<F>(measure: &str, name: &str, unit: &str, case: &ChainCase, baseline: &ChainCase, value: F)
where
    F: Fn(&ChainResult) -> f64,
{
    let line = format!("{measure}: {name}");
    if std::env::args().nth(1).is_some_and(|part| !line.contains(&part)) {
        return;
    }
    let (value, baseline) = (median(case, &value), median(baseline, &value));
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

/// Returns the least, the median and the greatest value over the seeds.
fn median<F>(case: &ChainCase, value: &F) -> (f64, f64, f64)
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
    result.goodput(WARM_UP_S, SECONDS)
}

fn wasted(result: &ChainResult) -> f64 {
    result.wasted_s / (result.wasted_s + result.useful_s)
}

fn critical_share(result: &ChainResult) -> f64 {
    f64::from(result.whole_by_class[0]) / f64::from(result.offered_by_class[0])
}

/// Returns the least share of whole answers over the accounts that are not loud.
fn worst_account(result: &ChainResult) -> f64 {
    (1..N_ACCOUNTS)
        .map(|account| {
            f64::from(result.whole_by_account[account])
                / f64::from(result.offered_by_account[account])
        })
        .fold(1.0, f64::min)
}

/// Returns the milliseconds from the end of the slowdown until goodput is back at 95 % for half a second.
fn recovery_ms(result: &ChainResult) -> f64 {
    let before = result.goodput(WARM_UP_S, SLOW.0);
    let mut time = SLOW.1;
    while time + 0.5 < RECOVERY_SECONDS && result.goodput(time, time + 0.5) < 0.95 * before {
        time += 0.1;
    }
    (time - SLOW.1) * 1_000.0
}
