//! Measures the quota modules against two simple ways, without sockets: prints one JSON line per figure.
//!
//! Callers send only what an ideal bucket of the account's rate and burst would pass, except in the overload case.

mod driver;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use self::driver::{QuotaDriver, delay_us};

const N_RUNS: u64 = 3;
const SPAN_US: u64 = 60_000_000;
const WARM_UP_US: u64 = 2_000_000;
const DEATH_US: u64 = 20_000_000;
const TAKEOVER_US: u64 = 3_000_000;
const OUTAGE_US: u64 = 30_000_000;
const MOVE_US: u64 = 1_000_000;
const MICROS: f64 = 1e6;

struct QuotaCase {
    name: &'static str,
    rate: f64,
    burst: f64,
    /// Requests sent, as a part of the rate; 0 sends a whole burst at once every few seconds.
    load: f64,
    n_entries: usize,
    entry_at: fn(u64, usize, &mut StdRng) -> usize,
    /// Time without an owner after the death of a home; 0 for no death.
    death_us: u64,
}

#[derive(Default)]
struct RunOutcome {
    n_sent: usize,
    n_refused: usize,
    uses: Vec<u64>,
    waits_us: Vec<u64>,
    n_asks: usize,
    n_bytes: usize,
    n_lapsed: u64,
}

/// A bucket that is filled in continuous time.
struct IdealBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_us: u64,
}

impl IdealBucket {
    fn new(rate: f64, burst: f64) -> IdealBucket {
        IdealBucket { rate, burst, tokens: burst, filled_us: 0 }
    }

    fn take(&mut self, at_us: u64) -> bool {
        let earned = self.rate * at_us.saturating_sub(self.filled_us) as f64 / MICROS;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.filled_us = self.filled_us.max(at_us);
        let passes = 1.0 <= self.tokens;
        self.tokens -= f64::from(u8::from(passes));
        passes
    }
}

fn evenly(_: u64, n_entries: usize, rng: &mut StdRng) -> usize {
    rng.random_range(0..n_entries)
}

fn all_on_one(_: u64, _: usize, _: &mut StdRng) -> usize {
    0
}

fn moving(at_us: u64, n_entries: usize, _: &mut StdRng) -> usize {
    (at_us / MOVE_US) as usize % n_entries
}

fn cases() -> Vec<QuotaCase> {
    let base = |name, load, entry_at, death_us| QuotaCase {
        name,
        rate: 300.0,
        burst: 300.0,
        load,
        n_entries: 12,
        entry_at,
        death_us,
    };
    vec![
        base("even", 0.9, evenly, 0),
        base("one-daemon", 0.9, all_on_one, 0),
        base("moving", 0.9, moving, 0),
        base("even-at-rate", 1.0, evenly, 0),
        base("bursts", 0.0, all_on_one, 0),
        base("home-death-at-80-percent", 0.8, evenly, TAKEOVER_US),
        base("home-death-at-90-percent", 0.9, evenly, TAKEOVER_US),
        base("home-death-in-outage-at-60-percent", 0.6, evenly, OUTAGE_US),
        QuotaCase { rate: 10.0, burst: 10.0, ..base("small-account", 0.9, evenly, 0) },
        QuotaCase { rate: 3_000.0, burst: 600.0, ..base("large-account", 0.9, evenly, 0) },
        base("overload", 5.0, evenly, 0),
    ]
}

/// Returns the true times and entries of the requests.
fn requests(case: &QuotaCase, rng: &mut StdRng) -> Vec<(u64, usize)> {
    const BURST_EVERY_US: u64 = 5_000_000;
    let mut ideal = IdealBucket::new(case.rate, case.burst);
    let mut requests = Vec::new();
    let mut at_us = WARM_UP_US;
    let mut n_in_burst = 0.0;
    while at_us < SPAN_US {
        if 1.0 < case.load || ideal.take(at_us) {
            requests.push((at_us, (case.entry_at)(at_us, case.n_entries, rng)));
        }
        n_in_burst += 1.0;
        at_us += match case.load {
            0.0 if n_in_burst < case.burst => 0,
            0.0 => {
                n_in_burst = 0.0;
                BURST_EVERY_US
            }
            load => (-(1.0 - rng.random::<f64>()).ln() / (case.rate * load) * MICROS) as u64,
        };
    }
    requests
}

fn run_split(case: &QuotaCase, requests: &[(u64, usize)]) -> RunOutcome {
    let n_entries = case.n_entries as f64;
    let bucket = || IdealBucket::new(case.rate / n_entries, case.burst / n_entries);
    let mut buckets: Vec<IdealBucket> = (0..case.n_entries).map(|_| bucket()).collect();
    let mut outcome = RunOutcome { n_sent: requests.len(), ..RunOutcome::default() };
    for (at_us, entry) in requests {
        if buckets[*entry].take(*at_us) {
            outcome.uses.push(*at_us);
        } else {
            outcome.n_refused += 1;
        }
    }
    outcome
}

fn run_one_owner(case: &QuotaCase, requests: &[(u64, usize)], rng: &mut StdRng) -> RunOutcome {
    let mut owner = IdealBucket::new(case.rate, case.burst);
    let mut outcome = RunOutcome { n_sent: requests.len(), ..RunOutcome::default() };
    for (at_us, _) in requests {
        let is_dead = (DEATH_US..DEATH_US + case.death_us).contains(at_us);
        let arrival_us = at_us + delay_us(rng);
        if !is_dead && owner.take(arrival_us) {
            outcome.uses.push(arrival_us + delay_us(rng));
        } else {
            outcome.n_refused += 1;
        }
    }
    outcome.uses.sort_unstable();
    outcome
}

fn overrun(uses: &[u64], case: &QuotaCase) -> f64 {
    let heights =
        uses.iter().enumerate().map(|(idx, at_us)| idx as f64 - case.rate * *at_us as f64 / MICROS);
    let mut lowest = f64::INFINITY;
    let mut worst = 0.0_f64;
    for height in heights {
        lowest = lowest.min(height);
        worst = worst.max(height - lowest + 1.0 - case.burst);
    }
    // Sums of floating point numbers; anything below a thousandth of a request is rounding.
    if worst < 1e-3 { 0.0 } else { worst }
}

fn print(measure: &str, case: &str, value: f64, unit: &str, baseline: Option<f64>) {
    let baseline = baseline.map_or("null".to_string(), |it| format!("{it:.5}"));
    println!(
        r#"{{"measure":"{measure}","case":"{case}","value":{value:.5},"unit":"{unit}","baseline":{baseline},"runs":{N_RUNS}}}"#
    );
}

fn report(case: &QuotaCase, ours: &[RunOutcome], others: &[(&str, Vec<RunOutcome>)]) {
    let refused = |it: &[RunOutcome]| {
        it.iter().map(|it| it.n_refused).sum::<usize>() as f64
            / it.iter().map(|it| it.n_sent).sum::<usize>() as f64
    };
    let worst = |it: &[RunOutcome]| it.iter().map(|it| overrun(&it.uses, case)).fold(0.0, f64::max);
    let share = if 1.0 < case.load { "refused_of_all" } else { "refused_within_rate" };
    for (name, outcomes) in others {
        let label = format!("{} vs {name}", case.name);
        print(share, &label, refused(ours), "share", Some(refused(outcomes)));
        print("quota_overrun", &label, worst(ours), "requests", Some(worst(outcomes)));
    }
    let n_sent = ours.iter().map(|it| it.n_sent).sum::<usize>() as f64;
    let mut waits: Vec<u64> = ours.iter().flat_map(|it| it.waits_us.clone()).collect();
    waits.sort_unstable();
    let n_waited = waits.iter().filter(|it| 0 < **it).count() as f64;
    let percentile = |it: f64| waits[((waits.len() - 1) as f64 * it) as usize] as f64 / 1e3;
    print("quota_waited", case.name, n_waited / waits.len() as f64, "share", None);
    print("quota_wait_p50", case.name, percentile(0.5), "ms", None);
    print("quota_wait_p99", case.name, percentile(0.99), "ms", None);
    print("quota_wait_max", case.name, percentile(1.0), "ms", None);
    let sum = |it: fn(&RunOutcome) -> usize| ours.iter().map(it).sum::<usize>() as f64;
    print("quota_asks_per_request", case.name, sum(|it| it.n_asks) / n_sent, "asks", None);
    print("quota_bytes_per_request", case.name, sum(|it| it.n_bytes) / n_sent, "bytes", None);
    print(
        "quota_lapsed",
        case.name,
        sum(|it| it.n_lapsed as usize) / n_sent,
        "tokens/request",
        None,
    );
    let allowed = case.rate * (SPAN_US - WARM_UP_US) as f64 / MICROS * N_RUNS as f64;
    print("quota_used", case.name, sum(|it| it.uses.len()) / allowed, "share of rate", None);
}

fn main() {
    for case in cases() {
        let mut ours = Vec::new();
        let mut others = vec![("rate/n per daemon", Vec::new()), ("one owner", Vec::new())];
        for seed in 0..N_RUNS {
            let mut rng = StdRng::seed_from_u64(seed);
            let requests = requests(&case, &mut rng);
            others[0].1.push(run_split(&case, &requests));
            others[1].1.push(run_one_owner(&case, &requests, &mut rng));
            ours.push(QuotaDriver::new(&case, &requests, seed + 100).run());
        }
        report(&case, &ours, &others);
    }
}
