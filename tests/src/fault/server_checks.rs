//! Checks of what backend servers received after they had named a limit or stated that they leave.
//!
//! Both rules bind the entries that have passed on a response with the notice. A restart or a suspension of the entry
//! since then excuses it.

use std::time::Duration;

use tokio::time::Instant;

use super::{ObservedCall, supervisor::ProcessOutage};
use crate::site::{TestSite, backend::max_in_window};

/// Time after the first notice of a limit from which on the server must get no more than that.
const LIMIT_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after which an entry that has passed on a response with a limit is bound by it.
const LIMIT_NOTICE_TIME: Duration = Duration::from_millis(500);
/// Window in which requests to a limited server are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the limit that a server may get in a window.
const LIMIT_FACTOR: f64 = 1.5;
/// Number of requests that a server may get in a window in addition.
const LIMIT_SLACK: f64 = 5.0;
/// Time after a response that states that the server leaves within which requests may still be sent to it.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Checks the arrivals at all backend servers.
pub(super) fn check_servers(
    site: &TestSite,
    calls: &[ObservedCall],
    process_outages: &[ProcessOutage],
    violations: &mut Vec<String>,
) {
    for server in 0..site.backends.len() {
        let check = ServerCheck { site, calls, process_outages, server };
        check.check_limits(violations);
        check.check_leaving(violations);
    }
}

struct ServerCheck<'c> {
    site: &'c TestSite,
    calls: &'c [ObservedCall],
    process_outages: &'c [ProcessOutage],
    server: usize,
}

impl ServerCheck<'_> {
    fn check_limits(&self, violations: &mut Vec<String>) {
        for period in self.site.backends[self.server].limit_periods() {
            let until = period.until.unwrap_or_else(Instant::now);
            let arrivals: Vec<Instant> = self.site.backends[self.server]
                .arrivals()
                .into_iter()
                .filter(|(at, _)| period.from + LIMIT_SETTLE_TIME <= *at && *at < until)
                .filter(|(at, id)| self.is_bound(id, period.from, *at, LIMIT_NOTICE_TIME))
                .map(|(at, _)| at)
                .collect();
            let n_arrivals = max_in_window(&arrivals, LIMIT_WINDOW);
            let allowed = LIMIT_FACTOR * period.per_s * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
            if allowed < n_arrivals as f64 {
                violations.push(format!(
                    "server {} got {n_arrivals} requests in {LIMIT_WINDOW:?}, allowed {allowed}: {period:?}",
                    self.server
                ));
            }
        }
    }

    fn check_leaving(&self, violations: &mut Vec<String>) {
        let Some(since) = self.site.backends[self.server].leaving_since() else { return };
        for (at, id) in self.site.backends[self.server].arrivals() {
            let Some(call) = self.call_of(&id) else { continue };
            if self.is_bound(&id, since, call.started_at, DRAIN_TIME) {
                violations.push(format!(
                    "server {} got {id} {:?} after it had stated that it leaves: {call:?}",
                    self.server,
                    at - since
                ));
            }
        }
    }

    fn call_of(&self, id: &str) -> Option<&ObservedCall> {
        self.calls.iter().find(|it| it.id == id)
    }

    /// Returns whether the entry of a client's request had passed on a response of the server with a notice given since
    /// `since`, at least `delay` before `at`, and has run without an interruption from then to `at`.
    fn is_bound(&self, id: &str, since: Instant, at: Instant, delay: Duration) -> bool {
        let Some(entry) = self.call_of(id).map(|it| it.entry) else { return false };
        let suffix = format!(" by server-{}", self.server);
        let notices = self
            .calls
            .iter()
            .filter(|it| it.entry == entry && since <= it.started_at)
            .filter(|it| it.response.as_ref().is_some_and(|(_, _, body)| body.ends_with(&suffix)))
            .map(|it| it.started_at + it.elapsed);
        let outages = self.process_outages.iter().filter(|it| it.instance == entry);
        let last_outage = outages.map(|it| it.from).filter(|from| *from <= at).max();
        notices
            .filter(|notice| last_outage.is_none_or(|from| from < *notice))
            .any(|notice| notice + delay <= at)
    }
}
