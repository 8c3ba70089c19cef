//! Bound on repeated sends to each service, over the whole fleet.

use std::collections::{HashMap, VecDeque};

use crate::{id::ServiceName, time::TimePoint};

/// What operators allow of repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Repeats for each request, over the window.
    pub ratio: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Repeats in a window whatever the traffic, over all daemons.
    pub base_allowance: f64,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy { ratio: 0.1, window_s: 10.0, base_allowance: 0.0 }
    }
}

/// Part of the allowance that is spent; the rest covers runs that make more calls than the mean of their route, and
/// traffic that moves between daemons.
const SPENT_SHARE: f64 = 0.5;
/// Slices in which a window is counted.
const SLICES_PER_WINDOW: u64 = 20;
/// Least length of a slice, in seconds.
const MIN_SLICE_S: f64 = 1e-3;

/// Requests that one request brings to each service, itself and the calls below it.
pub type ServiceArrivals = Vec<(ServiceName, f64)>;

/// One daemon's part of the repeats that services may get.
///
/// Operators allow a service so many repeats in each window for each request of that window, of the one before it or of
/// the one half a window earlier, whichever had most: an episode of failures may spend what the calm before it has earned.
/// Each daemon keeps to that with the requests that it saw itself, and has its part of the slack. A repeat makes its calls
/// again, and so spends at every service that they reach.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    ledgers: HashMap<ServiceName, RepeatLedger>,
}

impl RetryBudgets {
    /// Records requests for a service.
    pub fn record_requests(
        &mut self,
        now: TimePoint,
        policy: &RetryPolicy,
        service: &ServiceName,
        n_requests: f64,
    ) {
        let ledger = self.ledgers.entry(service.clone()).or_default();
        ledger.slice_at(now, policy).n_requests += n_requests;
    }

    /// Spends a repeat at all services that it reaches, or at none. Returns whether it did; `n_daemons` share the slack.
    pub fn try_spend(
        &mut self,
        now: TimePoint,
        policy: &RetryPolicy,
        n_daemons: usize,
        arrivals: &ServiceArrivals,
    ) -> bool {
        let base_allowance = policy.base_allowance / n_daemons.max(1) as f64;
        let is_allowed = arrivals.iter().all(|(service, n_arrivals)| {
            let ledger = self.ledgers.entry(service.clone()).or_default();
            let allowance = policy.ratio * ledger.most_requests(now, policy) + base_allowance;
            ledger.spent(now, policy) + n_arrivals <= SPENT_SHARE * allowance
        });
        if is_allowed {
            for (service, n_arrivals) in arrivals {
                if let Some(ledger) = self.ledgers.get_mut(service) {
                    ledger.slice_at(now, policy).n_repeats += n_arrivals;
                }
            }
        }
        is_allowed
    }
}

/// Requests and repeats of one service in one slice of time.
#[derive(Clone, Copy, Debug, Default)]
struct LedgerSlice {
    number: u64,
    n_requests: f64,
    n_repeats: f64,
}

/// The slices of the last two windows, the oldest first.
#[derive(Debug, Default)]
struct RepeatLedger {
    slices: VecDeque<LedgerSlice>,
}

impl RepeatLedger {
    fn slice_at(&mut self, now: TimePoint, policy: &RetryPolicy) -> &mut LedgerSlice {
        let number = slice_number(now, policy);
        while self.slices.front().is_some_and(|it| it.number + 2 * SLICES_PER_WINDOW < number) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|it| it.number < number) {
            self.slices.push_back(LedgerSlice { number, ..LedgerSlice::default() });
        }
        let newest = self.slices.len() - 1;
        &mut self.slices[newest]
    }

    /// Returns the requests of the window that counts: this one, or an earlier one that had more.
    fn most_requests(&self, now: TimePoint, policy: &RetryPolicy) -> f64 {
        let newest = slice_number(now, policy);
        let ends = [0, SLICES_PER_WINDOW / 2, SLICES_PER_WINDOW];
        let windows = ends.map(|slices_ago| {
            let end = newest.saturating_sub(slices_ago);
            let is_inside =
                |it: &&LedgerSlice| it.number <= end && end < it.number + SLICES_PER_WINDOW;
            self.slices.iter().filter(is_inside).map(|it| it.n_requests).sum()
        });
        windows.into_iter().fold(0.0, f64::max)
    }

    /// Returns the repeats in this window, with those of the slice that it only touches.
    fn spent(&self, now: TimePoint, policy: &RetryPolicy) -> f64 {
        let newest = slice_number(now, policy);
        let is_inside = |it: &&LedgerSlice| newest <= it.number + SLICES_PER_WINDOW;
        self.slices.iter().filter(is_inside).map(|it| it.n_repeats).sum()
    }
}

fn slice_number(now: TimePoint, policy: &RetryPolicy) -> u64 {
    let slice_s = policy.window_s / SLICES_PER_WINDOW as f64;
    (now.since(TimePoint::ORIGIN).as_secs_f64() / slice_s.max(MIN_SLICE_S)) as u64
}

#[cfg(test)]
mod tests;
