//! Division of an account's rate and burst into shares, capacity and token TTL.

use std::time::Duration;

use super::MAX_SHARES;

/// Maximum accumulated rounding error of all time points involved in issuing and using a token.
const MAX_ROUNDING_ERROR: Duration = Duration::from_micros(10);

/// Time over which the clocks of entry and owner can drift apart while a token exists, in multiples of the TTL: one for
/// the TTL itself, and twice the drift of both clocks while a reserved token is awaited, which takes at most two TTLs.
const DRIFT_EXPOSURE_TTLS: f64 = 9.0;

/// Minimum bucket capacity of a share, if there is more than one share. With a smaller capacity, the account loses too
/// much of its burst to requests that reach an empty share while the bucket of another share overflows.
const MIN_SHARE_CAPACITY: f64 = 4.0;

/// Nanoseconds per second.
const NANOS_PER_S: f64 = 1e9;

/// Factor from parts per million to a ratio.
const PPM: f64 = 1e-6;

/// Time that a call may wait in addition to the reservation horizon: covers a round trip to an owner, and one owner
/// that does not respond.
const TRANSIT_MARGIN: Duration = Duration::from_millis(40);

/// Limits for the plans and the token requests of accounts.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaOptions {
    /// Minimum token TTL. It must cover the round trip to an owner.
    pub min_token_ttl: Duration,
    /// Maximum token TTL.
    pub max_token_ttl: Duration,
    /// Fraction of the burst that may be used to lengthen the token TTL.
    pub ttl_burst_fraction: f64,
    /// Maximum deviation of a daemon's clock rate from true time, in parts per million.
    pub clock_drift_ppm: f64,
    /// Time after which a token request is considered lost.
    pub request_timeout: Duration,
    /// Initial backoff of a share after a lost request; it doubles with each further loss.
    pub min_backoff: Duration,
    /// Maximum backoff of a share.
    pub max_backoff: Duration,
    /// Time during which an owner issues no tokens after an account's number of shares has changed. By its end, all
    /// daemons must have applied the new settings or have stopped serving keyed routes.
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

/// Shares, capacity and token TTL of an account.
///
/// Let `c` be the total capacity of all shares, `r` the issue rate and `h` the token TTL. Each token is used within `h`
/// of the time for which it was issued, because its TTL starts when the request is sent, which is before the token is
/// issued. The tokens used in a window of length `w` were therefore issued in a window of length `w + h`, and an owner
/// issues no more tokens than its bucket permits:
///
/// ```text
/// uses(w) <= issued(w + h) <= c + r * (w + h)
/// ```
///
/// This is at most `rate * w + burst` if `r <= rate` and `c + r * h <= burst`. If the burst leaves less than one token
/// for `c`, a single share issues tokens at a rate that is low enough for the same bound; see
/// [`QuotaPlan::issue_rate_per_s`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaPlan {
    n_shares: u8,
    issue_rate_per_s: f64,
    interval_ns: u64,
    tolerance_ns: u64,
    token_ttl: Duration,
}

impl QuotaPlan {
    /// Returns the plan for `rate_per_s` requests per second and bursts of `burst` requests, or `None` if they never
    /// permit a request: the rate must be positive and finite, and the burst finite and at least one.
    pub fn new(rate_per_s: f64, burst: f64, options: &QuotaOptions) -> Option<QuotaPlan> {
        if !(0.0 < rate_per_s && rate_per_s.is_finite() && 1.0 <= burst && burst.is_finite()) {
            return None;
        }
        let ttl_s = (options.ttl_burst_fraction * burst / rate_per_s)
            .clamp(options.min_token_ttl.as_secs_f64(), options.max_token_ttl.as_secs_f64());
        let drift_s = DRIFT_EXPOSURE_TTLS * ttl_s * options.clock_drift_ppm * PPM;
        let true_ttl_s = ttl_s + drift_s + MAX_ROUNDING_ERROR.as_secs_f64();
        let issue_rate = sustainable_rate(rate_per_s, burst, true_ttl_s);
        let capacity = (burst - issue_rate * true_ttl_s).max(1.0);
        let n_shares = (capacity / MIN_SHARE_CAPACITY).floor().clamp(1.0, f64::from(MAX_SHARES));
        let clock_rate = issue_rate / (1.0 + options.clock_drift_ppm * PPM);
        let interval_ns = (n_shares * NANOS_PER_S / clock_rate).ceil();
        let tolerance_ns = ((capacity / n_shares - 1.0) * interval_ns).floor();
        Some(QuotaPlan {
            n_shares: n_shares as u8,
            issue_rate_per_s: issue_rate,
            interval_ns: interval_ns as u64,
            tolerance_ns: tolerance_ns.max(0.0) as u64,
            token_ttl: Duration::from_secs_f64(ttl_s),
        })
    }

    /// Returns the number of shares.
    pub fn n_shares(&self) -> u8 {
        self.n_shares
    }

    /// Returns the total rate, in tokens per second, at which all shares issue tokens. It is lower than the account's
    /// rate if the burst is smaller than one request plus the requests that the rate permits in the minimum token TTL.
    pub fn issue_rate_per_s(&self) -> f64 {
        self.issue_rate_per_s
    }

    /// Returns the TTL of a token, measured from the time at which its request was sent.
    pub fn token_ttl(&self) -> Duration {
        self.token_ttl
    }

    /// Returns how far ahead an owner reserves tokens for waiting calls. It covers the TTL, so that a burst within the
    /// account's limit is admitted in full.
    pub fn reservation_horizon(&self) -> Duration {
        self.token_ttl
            + Duration::from_nanos(self.interval_ns / u64::from(self.n_shares)).min(self.token_ttl)
    }

    /// Returns the maximum time that a call waits for a token.
    pub fn max_wait(&self) -> Duration {
        self.reservation_horizon() + TRANSIT_MARGIN
    }

    /// Returns the interval between two tokens of a share, in nanoseconds.
    pub(crate) fn interval_ns(&self) -> u64 {
        self.interval_ns
    }

    /// Returns the time by which a share's tokens may be issued ahead of their regular schedule, in nanoseconds.
    pub(crate) fn tolerance_ns(&self) -> u64 {
        self.tolerance_ns
    }
}

/// Returns the maximum issue rate, in tokens per second, that leaves a capacity of at least one token.
///
/// With a capacity of one, the `n`-th token after the first is issued at least `n / r` later, so `n + 1` uses take a
/// window of at least `n / r - h`. They stay within `rate * w + burst` for every `n` if they do so for `n = 1`, that
/// is, if `r <= rate / (2 + rate * h - burst)`. With a larger burst, `1 + r * h <= burst` is sufficient.
fn sustainable_rate(rate_per_s: f64, burst: f64, ttl_s: f64) -> f64 {
    if 1.0 + rate_per_s * ttl_s <= burst {
        return rate_per_s;
    }
    let by_spacing = rate_per_s / (2.0 + rate_per_s * ttl_s - burst);
    let by_capacity = (burst - 1.0) / ttl_s;
    by_spacing.max(by_capacity).min(rate_per_s)
}
