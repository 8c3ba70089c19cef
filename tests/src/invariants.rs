//! Invariants of a simulated fleet, checked by comparing the answers to callers with the runs at backend servers.

use std::collections::BTreeMap;

use ivytrail::{
    message::{CallOutcome, RefusalReason},
    reducer::CallAnswer,
};

use crate::daemon_fleet::{CallRecord, DaemonFleet, MS, RunRecord};

/// Tolerance for an answer after the deadline of its call, in microseconds.
const ANSWER_MARGIN_US: u64 = 50 * MS;
/// Time after the confirmation of a key's withdrawal from which no request with the key is admitted, in microseconds
/// (see docs/design/0008-authority.md).
const WITHDRAWAL_LIMIT_US: u64 = 3_000 * MS;
/// Time after the start of its drain from which a backend server must get no new runs, in microseconds.
const DRAIN_LIMIT_US: u64 = 3_000 * MS;
/// Maximum number of retries per root request.
const RETRY_BUDGET: usize = 3;

/// Returns the violated invariants of a simulation whose last seconds were free of faults.
pub fn check_invariants(fleet: &DaemonFleet) -> Vec<String> {
    let mut violations = fleet.violations.clone();
    check_runs(fleet, &mut violations);
    check_answers(fleet, &mut violations);
    check_quota(fleet, &mut violations);
    check_withdrawals(fleet, &mut violations);
    check_retries(fleet, &mut violations);
    violations
}

fn check_runs(fleet: &DaemonFleet, violations: &mut Vec<String>) {
    let mut claimed: BTreeMap<_, &RunRecord> = BTreeMap::new();
    for run in &fleet.runs {
        let Some(record) = run.call.and_then(|it| fleet.calls.get(&it)) else {
            violations.push(format!("{} ran without a call", run.path));
            continue;
        };
        let account = record.account.clone().filter(|_| !fleet.is_open(&run.path));
        if run.account != account || run.path != record.path {
            violations
                .push(format!("{} ran for the client account {:?}", record.path, run.account));
        }
        let since = fleet.drain_starts.get(&run.node_run.idx).map(|it| it + DRAIN_LIMIT_US);
        if since.is_some_and(|it| it < run.at) {
            violations.push(format!("{} ran at a leaving backend server", run.path));
        }
        let Some(claim) = &record.claim else { continue };
        if let Some(first) = claimed.insert((record.account.clone(), claim.clone()), run) {
            violations.push(format!(
                "{} ran twice: {} at {} and {} at {}",
                run.path, first.attempt, first.at, run.attempt, run.at
            ));
        }
    }
}

fn check_answers(fleet: &DaemonFleet, violations: &mut Vec<String>) {
    for (call, record) in &fleet.calls {
        if 1 < record.answers.len() {
            violations.push(format!("{call} got {} answers", record.answers.len()));
        }
        check_answer_time(fleet, record, violations);
        let Some((at, answer)) = record.answers.first() else { continue };
        match answer {
            CallAnswer::Complete { status: 200, body, .. } => {
                let expected = record.path.as_bytes();
                if body != expected {
                    violations.push(format!("{} got the wrong response {body:?}", record.path));
                }
            }
            CallAnswer::Complete { .. } => {}
            CallAnswer::Refused { outcome, reason, .. } => {
                if *outcome == CallOutcome::NotRun && *reason != RefusalReason::KeyReused {
                    check_not_run(fleet, *call, record, *at, violations);
                }
            }
        }
    }
}

/// Checks the truth of a refusal with the outcome "not run".
///
/// The call itself must not run, no copy may have run before the call was sent, and no copy that the caller had
/// abandoned by then may run after the refusal. A copy that was sent at the same time or is sent later may run, because
/// its caller is still waiting for the answer.
fn check_not_run(
    fleet: &DaemonFleet,
    call: ivytrail::id::CallId,
    record: &CallRecord,
    answered_at: u64,
    violations: &mut Vec<String>,
) {
    for run in &fleet.runs {
        let Some(other) = run.call.and_then(|it| fleet.calls.get(&it)) else { continue };
        let is_copy = record.claim.is_some()
            && other.claim == record.claim
            && other.account == record.account
            && other.path == record.path;
        let is_abandoned = other.abandoned_at.is_some_and(|it| it <= record.sent_at);
        let is_untrue = run.call == Some(call)
            || is_copy && run.at < record.sent_at
            || is_copy && is_abandoned && answered_at < run.at;
        if is_untrue {
            violations
                .push(format!("{} ran at {}, told not run at {answered_at}", record.path, run.at));
        }
    }
}

fn check_answer_time(fleet: &DaemonFleet, record: &CallRecord, violations: &mut Vec<String>) {
    let due = record.deadline + ANSWER_MARGIN_US;
    let node = &fleet.nodes[record.node_run.idx];
    let was_paused =
        node.pauses.iter().any(|(from, until)| *from <= due && record.sent_at <= *until);
    let is_paused = node.pauses.iter().any(|(_, until)| fleet.now < until + ANSWER_MARGIN_US);
    if record.entry_stopped || fleet.now < due || is_paused {
        return;
    }
    match record.answers.first() {
        None => {
            violations.push(format!("{} sent at {} got no answer", record.path, record.sent_at));
        }
        Some((at, _)) if due < *at && !was_paused => {
            violations
                .push(format!("{} got its answer at {at}, after its limit {due}", record.path));
        }
        Some(_) => {}
    }
}

/// Returns whether a call was refused without a run, in which case its quota token was refunded for another call.
fn was_refused_not_run(record: &CallRecord) -> bool {
    record.answers.iter().any(|(_, answer)| {
        matches!(answer, CallAnswer::Refused { outcome: CallOutcome::NotRun, .. })
    })
}

/// Checks the quota of every account with a token bucket in true time, which covers all time windows.
fn check_quota(fleet: &DaemonFleet, violations: &mut Vec<String>) {
    for account in &fleet.firm.accounts {
        let calls = fleet.calls.values().filter(|it| it.parent.is_none());
        let mut uses: Vec<u64> = calls
            .filter(|it| it.account.as_ref().is_some_and(|name| name.as_str() == account.name))
            .filter(|it| !fleet.is_open(&it.path) && !was_refused_not_run(it))
            .filter_map(|it| it.attempts.first().copied())
            .collect();
        uses.sort_unstable();
        let (mut level, mut last) = (account.burst, 0);
        for at in uses {
            level = account.burst.min(level + (at - last) as f64 / 1e6 * account.rate_per_s) - 1.0;
            last = at;
            if level < -1e-6 {
                violations.push(format!("{} used more than its quota at {at}", account.name));
                break;
            }
        }
    }
}

/// Checks that no request with a withdrawn key is admitted from `WITHDRAWAL_LIMIT_US` after the confirmation, or after
/// the start of the first fault-free interval since the acceptance, whichever is earlier.
fn check_withdrawals(fleet: &DaemonFleet, violations: &mut Vec<String>) {
    for (account, withdrawal) in &fleet.withdrawals {
        let fault_free_at = fault_free_since(fleet, withdrawal.accepted_at);
        let limit_from = withdrawal.confirmed_at.map_or(fault_free_at, |it| it.min(fault_free_at));
        let keyed = fleet.calls.values().filter(|it| it.parent.is_none());
        let late = keyed
            .filter(|it| it.account.as_ref().is_some_and(|name| name.as_str() == *account))
            .filter(|it| !fleet.is_open(&it.path))
            .filter(|it| limit_from + WITHDRAWAL_LIMIT_US < it.sent_at && !it.attempts.is_empty());
        violations.extend(late.map(|it| format!("{} ran with a withdrawn key", it.path)));
    }
}

/// Returns the first time from `at` on that is followed by an interval of `WITHDRAWAL_LIMIT_US` without faults.
fn fault_free_since(fleet: &DaemonFleet, at: u64) -> u64 {
    let ends = fleet.fault_intervals().map(|(_, end)| end).filter(|end| at < *end);
    let starts = std::iter::once(at).chain(ends.map(|end| end + 1));
    let is_fault_free = |from: &u64| {
        let until = from + WITHDRAWAL_LIMIT_US;
        fleet.fault_intervals().all(|(start, end)| end < *from || until < start)
    };
    starts.filter(is_fault_free).min().unwrap_or(fleet.now)
}

fn check_retries(fleet: &DaemonFleet, violations: &mut Vec<String>) {
    let mut retries: BTreeMap<String, usize> = BTreeMap::new();
    for record in fleet.calls.values() {
        let root = record.root.as_ref().map(ToString::to_string).unwrap_or_default();
        *retries.entry(root).or_default() += record.attempts.len().saturating_sub(1);
    }
    let over = retries.into_iter().filter(|(_, it)| RETRY_BUDGET < *it);
    violations.extend(over.map(|(root, it)| format!("{root} used {it} retries")));
}
