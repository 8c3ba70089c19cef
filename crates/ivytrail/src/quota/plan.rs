//! How an account's rate and burst are divided into shares, capacity and hold time.

use std::time::Duration;

use super::MAX_SHARES;

/// Upper bound on the rounding of all time points on the way of a token.
const ROUNDING: Duration = Duration::from_micros(10);

/// Hold times by which the clocks of entry and home can drift apart on the way of a token: one for the hold time, and
/// twice the drift of both clocks over the wait for a promised token, which is at most two hold times.
const DRIFTING_HOLDS: f64 = 9.0;

/// Tokens that a share can save up at least, when there is more than one. With less, requests that meet an empty share
/// while another one overflows cost the account too much of its burst.
const MIN_SHARE_CAPACITY: f64 = 4.0;

/// Nanoseconds per second.
const NANOS_PER_S: f64 = 1e9;

/// Parts per million.
const PPM: f64 = 1e-6;

/// Time that a waiting request has beyond the promises of a home: for the way there and back, and for one home that
/// does not answer.
const TRANSIT_TIME: Duration = Duration::from_millis(40);

/// Bounds within which an account's plan is made.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaOptions {
    /// Shortest hold time. It must cover the way to a home and back.
    pub min_token_ttl: Duration,
    /// Longest hold time.
    pub max_token_ttl: Duration,
    /// Part of the burst that may go into the hold time.
    pub ttl_burst_fraction: f64,
    /// Greatest difference between the speeds of a daemon's clock and true time, in parts per million.
    pub clock_drift_ppm: f64,
    /// Time after which an ask counts as lost.
    pub request_timeout: Duration,
    /// Time for which a share is avoided after an ask was lost; it doubles with each further loss.
    pub min_backoff: Duration,
    /// Longest time for which a share is avoided.
    pub max_backoff: Duration,
    /// Time for which a home mints nothing after the number of an account's shares has changed. All daemons must have
    /// the settings, or serve no keyed routes, by then.
    pub resharding_delay: Duration,
}

impl Default for QuotaOptions {
    fn default() -> QuotaOptions {
        QuotaOptions {
            min_token_ttl: Duration::from_millis(10),
            max_token_ttl: Duration::from_millis(100),
            ttl_burst_fraction: 0.1,
            clock_drift_ppm: 200.0,
            request_timeout: Duration::from_millis(15),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
            resharding_delay: Duration::from_secs(5),
        }
    }
}

/// Shares, capacity and hold time of one account.
///
/// Let `c` be the capacity over all shares, `r` the rate that is minted and `h` the hold time. Each token is used
/// within `h` of the moment for which it was minted, because its hold time counts from the sending of the ask, which
/// comes before the minting. The uses in a window of length `w` were therefore minted in a window of length `w + h`,
/// and a home mints no more than its bucket allows:
///
/// ```text
/// uses(w) <= minted(w + h) <= c + r * (w + h)
/// ```
///
/// This is at most `rate * w + burst` when `r <= rate` and `c + r * h <= burst`. Where the burst leaves less than one
/// token for `c`, a single share mints tokens at a rate that is low enough for the same bound; see
/// [`QuotaPlan::issue_rate_per_s`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaPlan {
    n_shares: u8,
    rate_per_s: f64,
    interval_ns: u64,
    tolerance_ns: u64,
    token_ttl: Duration,
}

impl QuotaPlan {
    /// Returns the plan for `rate_per_s` requests per second and bursts of `burst` requests, or `None` when they never
    /// allow a request: the rate must be positive and the burst at least one.
    pub fn new(rate_per_s: f64, burst: f64, options: &QuotaOptions) -> Option<QuotaPlan> {
        if !(0.0 < rate_per_s && rate_per_s.is_finite() && 1.0 <= burst && burst.is_finite()) {
            return None;
        }
        let hold_s = (options.ttl_burst_fraction * burst / rate_per_s)
            .clamp(options.min_token_ttl.as_secs_f64(), options.max_token_ttl.as_secs_f64());
        let drift_s = DRIFTING_HOLDS * hold_s * options.clock_drift_ppm * PPM;
        let true_hold_s = hold_s + drift_s + ROUNDING.as_secs_f64();
        let minted_rate = sustainable_rate(rate_per_s, burst, true_hold_s);
        let capacity = (burst - minted_rate * true_hold_s).max(1.0);
        let n_shares = (capacity / MIN_SHARE_CAPACITY).floor().clamp(1.0, f64::from(MAX_SHARES));
        let clock_rate = minted_rate / (1.0 + options.clock_drift_ppm * PPM);
        let interval_ns = (n_shares * NANOS_PER_S / clock_rate).ceil();
        let tolerance_ns = ((capacity / n_shares - 1.0) * interval_ns).floor();
        Some(QuotaPlan {
            n_shares: n_shares as u8,
            rate_per_s: minted_rate,
            interval_ns: interval_ns as u64,
            tolerance_ns: tolerance_ns.max(0.0) as u64,
            token_ttl: Duration::from_secs_f64(hold_s),
        })
    }

    /// Returns the number of shares.
    pub fn n_shares(&self) -> u8 {
        self.n_shares
    }

    /// Returns the requests per second that all shares together mint. It is below the account's rate when the burst is
    /// smaller than one request plus what the rate allows in the shortest hold time.
    pub fn issue_rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns the time after which a token is void, counted from the sending of the ask.
    pub fn token_ttl(&self) -> Duration {
        self.token_ttl
    }

    /// Returns how far ahead a home promises tokens to waiting requests. It covers the hold time, so that a burst that
    /// is all within the account's limit is admitted in full.
    pub fn reservation_horizon(&self) -> Duration {
        self.token_ttl
            + Duration::from_nanos(self.interval_ns / u64::from(self.n_shares)).min(self.token_ttl)
    }

    /// Returns the longest time that a request waits for a token.
    pub fn max_wait(&self) -> Duration {
        self.reservation_horizon() + TRANSIT_TIME
    }

    /// Returns the nanoseconds between two tokens of one share.
    pub(crate) fn interval_ns(&self) -> u64 {
        self.interval_ns
    }

    /// Returns the nanoseconds by which a share's tokens may come before their regular moments.
    pub(crate) fn tolerance_ns(&self) -> u64 {
        self.tolerance_ns
    }
}

/// Returns the greatest rate that can be minted with a capacity of at least one token.
///
/// With capacity one, the `n`-th token after a first one is minted `n / r` later at the earliest, so `n + 1` uses take
/// a window of at least `n / r - h`. They stay within `rate * w + burst` for every `n` when they do for `n = 1`, that
/// is when `r <= rate / (2 + rate * h - burst)`. With more burst, `1 + r * h <= burst` is enough.
fn sustainable_rate(rate_per_s: f64, burst: f64, hold_s: f64) -> f64 {
    if 1.0 + rate_per_s * hold_s <= burst {
        return rate_per_s;
    }
    let by_spacing = rate_per_s / (2.0 + rate_per_s * hold_s - burst);
    let by_capacity = (burst - 1.0) / hold_s;
    by_spacing.max(by_capacity).min(rate_per_s)
}
