//! Simulates the distributed quota and two simple alternatives without sockets, and prints JSON lines. The alternatives
//! are a static split of the rate between the daemons, and a single owner that is asked for each request.
//!
//! Except in the overload case, callers send only requests that an ideal token bucket with the account's rate and burst
//! would admit.

mod driver;

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use self::driver::{QuotaDriver, random_delay_us};

const N_RUNS: u64 = 3;
const RUN_END_US: u64 = 60_000_000;
const WARM_UP_US: u64 = 2_000_000;
/// Time at which the owner of share 0 fails, and the single owner of the baseline.
const OUTAGE_START_US: u64 = 20_000_000;
/// Time without an owner until a successor takes over.
const OWNER_TAKEOVER_US: u64 = 3_000_000;
/// Time without an owner when no successor can take over.
const LONG_OUTAGE_US: u64 = 30_000_000;
/// Time for which a rotating caller stays at one entry.
const ROTATION_US: u64 = 1_000_000;
const MICROS_PER_S: f64 = 1e6;

struct QuotaCase {
    name: &'static str,
    rate: f64,
    burst: f64,
    /// Request rate relative to the account's rate; 0 sends a full burst at once every few seconds.
    load: f64,
    n_entries: usize,
    pick_entry: fn(u64, usize, &mut StdRng) -> usize,
    /// Time without an owner of share 0 after its failure; 0 for no failure.
    owner_outage_us: u64,
}

#[derive(Default)]
struct RunResult {
    n_sent: usize,
    n_refused: usize,
    /// Times at which requests were admitted.
    admitted_us: Vec<u64>,
    waits_us: Vec<u64>,
    n_token_requests: usize,
    n_bytes: usize,
    n_expired: u64,
    /// Elapsed time of the simulation.
    elapsed: Duration,
}

/// A token bucket that is refilled in continuous time.
struct IdealBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_us: u64,
}

impl IdealBucket {
    fn new(rate: f64, burst: f64) -> IdealBucket {
        IdealBucket { rate, burst, tokens: burst, refilled_us: 0 }
    }

    fn try_acquire(&mut self, at_us: u64) -> bool {
        let refill = self.rate * at_us.saturating_sub(self.refilled_us) as f64 / MICROS_PER_S;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_us = self.refilled_us.max(at_us);
        let is_admitted = 1.0 <= self.tokens;
        self.tokens -= f64::from(u8::from(is_admitted));
        is_admitted
    }
}

fn random_entry(_: u64, n_entries: usize, rng: &mut StdRng) -> usize {
    rng.random_range(0..n_entries)
}

fn first_entry(_: u64, _: usize, _: &mut StdRng) -> usize {
    0
}

fn rotating_entry(at_us: u64, n_entries: usize, _: &mut StdRng) -> usize {
    (at_us / ROTATION_US) as usize % n_entries
}

fn cases() -> Vec<QuotaCase> {
    let base = |name, load, pick_entry, owner_outage_us| QuotaCase {
        name,
        rate: 300.0,
        burst: 300.0,
        load,
        n_entries: 12,
        pick_entry,
        owner_outage_us,
    };
    vec![
        base("even", 0.9, random_entry, 0),
        base("one-daemon", 0.9, first_entry, 0),
        base("moving", 0.9, rotating_entry, 0),
        base("even-at-rate", 1.0, random_entry, 0),
        base("bursts", 0.0, first_entry, 0),
        base("home-death-at-80-percent", 0.8, random_entry, OWNER_TAKEOVER_US),
        base("home-death-at-90-percent", 0.9, random_entry, OWNER_TAKEOVER_US),
        base("home-death-in-outage-at-60-percent", 0.6, random_entry, LONG_OUTAGE_US),
        QuotaCase { rate: 10.0, burst: 10.0, ..base("small-account", 0.9, random_entry, 0) },
        QuotaCase {
            rate: 10.0,
            burst: 10.0,
            ..base("small-account-at-70-percent", 0.7, random_entry, 0)
        },
        QuotaCase {
            rate: 10.0,
            burst: 10.0,
            ..base("small-account-home-death", 0.7, random_entry, OWNER_TAKEOVER_US)
        },
        QuotaCase { rate: 3_000.0, burst: 600.0, ..base("large-account", 0.9, random_entry, 0) },
        base("overload", 5.0, random_entry, 0),
    ]
}

/// Returns the arrival time and entry of each request.
fn requests(case: &QuotaCase, rng: &mut StdRng) -> Vec<(u64, usize)> {
    const BURST_INTERVAL_US: u64 = 5_000_000;
    let mut ideal = IdealBucket::new(case.rate, case.burst);
    let mut requests = Vec::new();
    let mut at_us = WARM_UP_US;
    let mut n_in_burst = 0.0;
    while at_us < RUN_END_US {
        if 1.0 < case.load || ideal.try_acquire(at_us) {
            requests.push((at_us, (case.pick_entry)(at_us, case.n_entries, rng)));
        }
        n_in_burst += 1.0;
        at_us += match case.load {
            0.0 if n_in_burst < case.burst => 0,
            0.0 => {
                n_in_burst = 0.0;
                BURST_INTERVAL_US
            }
            load => (-(1.0 - rng.random::<f64>()).ln() / (case.rate * load) * MICROS_PER_S) as u64,
        };
    }
    requests
}

/// Runs the baseline in which each entry has an equal part of the rate and the burst.
fn run_static_split(case: &QuotaCase, requests: &[(u64, usize)]) -> RunResult {
    let n_entries = case.n_entries as f64;
    let bucket = || IdealBucket::new(case.rate / n_entries, case.burst / n_entries);
    let mut buckets: Vec<IdealBucket> = (0..case.n_entries).map(|_| bucket()).collect();
    let mut result = RunResult { n_sent: requests.len(), ..RunResult::default() };
    for (at_us, entry) in requests {
        if buckets[*entry].try_acquire(*at_us) {
            result.admitted_us.push(*at_us);
        } else {
            result.n_refused += 1;
        }
    }
    result
}

/// Runs the baseline in which each entry asks a single owner for every request.
fn run_one_owner(case: &QuotaCase, requests: &[(u64, usize)], rng: &mut StdRng) -> RunResult {
    let mut owner = IdealBucket::new(case.rate, case.burst);
    let mut result = RunResult { n_sent: requests.len(), ..RunResult::default() };
    for (at_us, _) in requests {
        let is_down = (OUTAGE_START_US..OUTAGE_START_US + case.owner_outage_us).contains(at_us);
        let arrival_us = at_us + random_delay_us(rng);
        if !is_down && owner.try_acquire(arrival_us) {
            result.admitted_us.push(arrival_us + random_delay_us(rng));
        } else {
            result.n_refused += 1;
        }
    }
    result.admitted_us.sort_unstable();
    result
}

/// Returns by how many requests the admissions of any window exceed `rate * window + burst`.
fn overrun(admitted_us: &[u64], case: &QuotaCase) -> f64 {
    let excesses = admitted_us
        .iter()
        .enumerate()
        .map(|(idx, at_us)| idx as f64 - case.rate * *at_us as f64 / MICROS_PER_S);
    let mut min_excess = f64::INFINITY;
    let mut worst = 0.0_f64;
    for excess in excesses {
        min_excess = min_excess.min(excess);
        worst = worst.max(excess - min_excess + 1.0 - case.burst);
    }
    // Less than a thousandth of a request is a rounding error of the floating-point sums.
    if worst < 1e-3 { 0.0 } else { worst }
}

fn print(measure: &str, case: &str, value: f64, unit: &str, baseline: Option<f64>) {
    let baseline = baseline.map_or("null".to_string(), |it| format!("{it:.5}"));
    println!(
        r#"{{"measure":"{measure}","case":"{case}","value":{value:.5},"unit":"{unit}","baseline":{baseline},"runs":{N_RUNS}}}"#
    );
}

fn print_case(case: &QuotaCase, results: &[RunResult], baselines: &[(&str, Vec<RunResult>)]) {
    let refused = |it: &[RunResult]| {
        it.iter().map(|it| it.n_refused).sum::<usize>() as f64
            / it.iter().map(|it| it.n_sent).sum::<usize>() as f64
    };
    let worst =
        |it: &[RunResult]| it.iter().map(|it| overrun(&it.admitted_us, case)).fold(0.0, f64::max);
    let refusal_measure = if 1.0 < case.load { "refused_of_all" } else { "refused_within_rate" };
    for (name, baseline) in baselines {
        let label = format!("{} vs {name}", case.name);
        print(refusal_measure, &label, refused(results), "share", Some(refused(baseline)));
        print("quota_overrun", &label, worst(results), "requests", Some(worst(baseline)));
    }
    let n_sent = results.iter().map(|it| it.n_sent).sum::<usize>() as f64;
    let mut waits: Vec<u64> = results.iter().flat_map(|it| it.waits_us.clone()).collect();
    waits.sort_unstable();
    let n_waited = waits.iter().filter(|it| 0 < **it).count() as f64;
    let percentile_ms = |it: f64| waits[((waits.len() - 1) as f64 * it) as usize] as f64 / 1e3;
    print("quota_waited", case.name, n_waited / waits.len() as f64, "share", None);
    print("quota_wait_p50", case.name, percentile_ms(0.5), "ms", None);
    print("quota_wait_p99", case.name, percentile_ms(0.99), "ms", None);
    print("quota_wait_max", case.name, percentile_ms(1.0), "ms", None);
    let sum = |it: fn(&RunResult) -> usize| results.iter().map(it).sum::<usize>() as f64;
    print(
        "quota_asks_per_request",
        case.name,
        sum(|it| it.n_token_requests) / n_sent,
        "asks",
        None,
    );
    print("quota_bytes_per_request", case.name, sum(|it| it.n_bytes) / n_sent, "bytes", None);
    print(
        "quota_lapsed",
        case.name,
        sum(|it| it.n_expired as usize) / n_sent,
        "tokens/request",
        None,
    );
    let elapsed: Duration = results.iter().map(|it| it.elapsed).sum();
    print(
        "quota_cpu_per_request",
        case.name,
        elapsed.as_secs_f64() * MICROS_PER_S / n_sent,
        "us with driver",
        None,
    );
    let allowed = case.rate * (RUN_END_US - WARM_UP_US) as f64 / MICROS_PER_S * N_RUNS as f64;
    print("quota_used", case.name, sum(|it| it.admitted_us.len()) / allowed, "share of rate", None);
}

fn main() {
    for case in cases() {
        let mut results = Vec::new();
        let mut baselines = vec![("rate/n per daemon", Vec::new()), ("one owner", Vec::new())];
        for seed in 0..N_RUNS {
            let mut rng = StdRng::seed_from_u64(seed);
            let requests = requests(&case, &mut rng);
            baselines[0].1.push(run_static_split(&case, &requests));
            baselines[1].1.push(run_one_owner(&case, &requests, &mut rng));
            let start = Instant::now();
            let result = QuotaDriver::new(&case, &requests, seed + 100).run();
            results.push(RunResult { elapsed: start.elapsed(), ..result });
        }
        print_case(&case, &results, &baselines);
    }
}
