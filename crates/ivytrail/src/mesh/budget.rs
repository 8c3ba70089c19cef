//! Bound on repeated sends to each service, over the whole fleet.

use std::{collections::HashMap, time::Duration};

use crate::{id::ServiceName, time::TimePoint};

/// What operators allow of repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatPolicy {
    /// Repeats for each request, over the window.
    pub ratio: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Repeats in a window whatever the traffic, over all daemons.
    pub slack: f64,
}

impl Default for RepeatPolicy {
    fn default() -> RepeatPolicy {
        RepeatPolicy { ratio: 0.1, window_s: 10.0, slack: 0.0 }
    }
}

/// Part of the allowance that is spent; the rest covers runs that make more calls than the mean of their route.
const SPENT_SHARE: f64 = 0.5;
/// Time whose requests earn the repeats that are kept for later.
const SAVING_SPAN: Duration = Duration::from_secs(2);

/// Requests that one request brings to each service, itself and the calls below it.
pub type ServiceArrivals = Vec<(ServiceName, f64)>;

/// One daemon's part of the repeats that services may get.
///
/// Each request earns a part of a repeat, and each daemon gets its part of the slack. Unspent repeats lapse, so that the
/// sum over all daemons stays within the allowance in any window. A repeat makes its calls again, and so spends at every
/// service that they reach.
#[derive(Debug, Default)]
pub struct RepeatBudgets {
    tokens: HashMap<ServiceName, RepeatTokens>,
}

impl RepeatBudgets {
    /// Records requests for a service.
    pub fn note_requests(&mut self, policy: &RepeatPolicy, service: &ServiceName, n_requests: f64) {
        let tokens = self.tokens.entry(service.clone()).or_default();
        tokens.earned += n_requests * policy.ratio * SPENT_SHARE;
    }

    /// Spends a repeat at all services that it reaches, or at none. Returns whether it did; `n_daemons` share the slack.
    pub fn try_spend(
        &mut self,
        now: TimePoint,
        policy: &RepeatPolicy,
        n_daemons: usize,
        arrivals: &ServiceArrivals,
    ) -> bool {
        let part = policy.slack * SPENT_SHARE / n_daemons.max(1) as f64;
        let is_allowed = arrivals.iter().all(|(service, n_arrivals)| {
            let tokens = self.tokens.entry(service.clone()).or_default();
            tokens.settle(now, policy, part);
            *n_arrivals <= tokens.balance
        });
        if is_allowed {
            for (service, n_arrivals) in arrivals {
                if let Some(tokens) = self.tokens.get_mut(service) {
                    tokens.balance -= n_arrivals;
                }
            }
        }
        is_allowed
    }
}

/// Repeats that may be sent to one service.
#[derive(Clone, Copy, Debug, Default)]
struct RepeatTokens {
    balance: f64,
    /// Earned since the balance was settled.
    earned: f64,
    earned_per_s: f64,
    settled_at: TimePoint,
}

impl RepeatTokens {
    /// Adds what was earned and drops what is too old.
    fn settle(&mut self, now: TimePoint, policy: &RepeatPolicy, part: f64) {
        let elapsed = now.since(self.settled_at).as_secs_f64();
        if 0.0 < elapsed {
            let gain = 1.0 - (-elapsed / SAVING_SPAN.as_secs_f64()).exp();
            self.earned_per_s += gain * (self.earned / elapsed - self.earned_per_s);
            self.settled_at = now;
        }
        let savings = part.max(1.0) + self.earned_per_s * SAVING_SPAN.as_secs_f64();
        let income = self.earned + part * elapsed / policy.window_s;
        self.balance = (self.balance + income).min(savings);
        self.earned = 0.0;
    }
}

#[cfg(test)]
mod tests;
