//! Retry budget: limits the repeated sends to each service over the whole fleet.

use std::collections::{HashMap, VecDeque};

use crate::{id::ServiceName, time::TimePoint};

/// Operators' limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries per request in a window.
    pub ratio: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Retries per window that are allowed regardless of traffic, over all daemons.
    pub base_allowance: f64,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy { ratio: 0.1, window_s: 10.0, base_allowance: 0.0 }
    }
}

/// Fraction of the allowance that may be spent. The rest covers runs that make more calls than the mean of their route,
/// and traffic that moves between daemons.
const USABLE_SHARE: f64 = 0.5;
/// Number of slices into which a window is divided.
const SLICES_PER_WINDOW: u64 = 20;
/// Shortest slice, in seconds.
const MIN_SLICE_S: f64 = 1e-3;

/// Number of requests that one request causes at each service, itself and its nested calls included.
pub type ServiceArrivals = Vec<(ServiceName, f64)>;

/// One daemon's share of the retries that services may receive.
///
/// For each window, operators allow a number of retries per request to a service. The requests are those of that window,
/// of the previous one, or of the one half a window earlier, whichever had most, so that a period of failures may spend
/// what the period before it has earned. Each daemon applies the ratio to the requests that it has seen itself, and has
/// an equal part of the base allowance. A retry repeats its nested calls too, and is charged at every service that they
/// reach.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    ledgers: HashMap<ServiceName, RetryLedger>,
}

impl RetryBudgets {
    /// Records requests to a service.
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

    /// Charges a retry at all services that it reaches, or at none, and returns whether it is allowed. The base allowance
    /// is divided among `n_daemons`.
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
            let allowance = policy.ratio * ledger.max_requests(now, policy) + base_allowance;
            ledger.spent(now, policy) + n_arrivals <= USABLE_SHARE * allowance
        });
        if is_allowed {
            for (service, n_arrivals) in arrivals {
                if let Some(ledger) = self.ledgers.get_mut(service) {
                    ledger.slice_at(now, policy).n_retries += n_arrivals;
                }
            }
        }
        is_allowed
    }
}

/// Requests and retries of one service in one slice of a window.
#[derive(Clone, Copy, Debug, Default)]
struct LedgerSlice {
    number: u64,
    n_requests: f64,
    n_retries: f64,
}

/// Slices of the last two windows of one service, oldest first.
#[derive(Debug, Default)]
struct RetryLedger {
    slices: VecDeque<LedgerSlice>,
}

impl RetryLedger {
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

    /// Returns the largest number of requests among the windows that end now, half a window ago and a window ago.
    fn max_requests(&self, now: TimePoint, policy: &RetryPolicy) -> f64 {
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

    /// Returns the retries in the window that ends now, including all of the slice that it overlaps in part.
    fn spent(&self, now: TimePoint, policy: &RetryPolicy) -> f64 {
        let newest = slice_number(now, policy);
        let is_inside = |it: &&LedgerSlice| newest <= it.number + SLICES_PER_WINDOW;
        self.slices.iter().filter(is_inside).map(|it| it.n_retries).sum()
    }
}

fn slice_number(now: TimePoint, policy: &RetryPolicy) -> u64 {
    let slice_s = policy.window_s / SLICES_PER_WINDOW as f64;
    (now.since(TimePoint::ORIGIN).as_secs_f64() / slice_s.max(MIN_SLICE_S)) as u64
}

#[cfg(test)]
mod tests;
