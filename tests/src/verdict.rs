//! Checks from outside the program: what callers were told against what backend servers ran.

use std::collections::BTreeMap;

use ivytrail::{
    message::{CallOutcome, RefusalReason},
    reducer::CallAnswer,
};

use crate::daemons::{CallFact, Fleet, MS, RunFact};

/// Time after its deadline within which a call must have its answer.
const ANSWER_MARGIN_US: u64 = 50 * MS;
/// Time after its confirmation within which a withdrawn key lets no request in (docs/design/0008-authority.md).
const WITHDRAWAL_US: u64 = 3_000 * MS;
/// Time after which a leaving backend server gets no new work.
const LEAVE_US: u64 = 3_000 * MS;
/// Retries that one root request may spend.
const RETRY_BUDGET: usize = 3;

/// Returns what was broken in a fleet's run, which must have been calm for some seconds at its end.
pub fn check_fleet(fleet: &Fleet) -> Vec<String> {
    let mut broken = fleet.violations.clone();
    check_runs(fleet, &mut broken);
    check_answers(fleet, &mut broken);
    check_quota(fleet, &mut broken);
    check_withdrawals(fleet, &mut broken);
    check_retries(fleet, &mut broken);
    broken
}

fn check_runs(fleet: &Fleet, broken: &mut Vec<String>) {
    let mut claimed: BTreeMap<_, &RunFact> = BTreeMap::new();
    for run in &fleet.runs {
        let Some(fact) = run.call.and_then(|it| fleet.calls.get(&it)) else {
            broken.push(format!("{} ran for no call", run.path));
            continue;
        };
        let account = fact.account.clone().filter(|_| !fleet.is_open(&run.path));
        if run.account != account || run.path != fact.path {
            broken.push(format!("{} ran for {:?}", fact.path, run.account));
        }
        let since = fleet.leavings.get(&run.place.idx).map(|it| it + LEAVE_US);
        if since.is_some_and(|it| it < run.at) {
            broken.push(format!("{} ran at a leaving backend server", run.path));
        }
        let Some(claim) = &fact.claim else { continue };
        if let Some(first) = claimed.insert((fact.account.clone(), claim.clone()), run) {
            broken.push(format!(
                "{} ran twice: {} at {} and {} at {}",
                run.path, first.attempt, first.at, run.attempt, run.at
            ));
        }
    }
}

fn check_answers(fleet: &Fleet, broken: &mut Vec<String>) {
    for (call, fact) in &fleet.calls {
        if 1 < fact.answers.len() {
            broken.push(format!("{call} got {} answers", fact.answers.len()));
        }
        check_presence(fleet, fact, broken);
        let Some((at, answer)) = fact.answers.first() else { continue };
        match answer {
            CallAnswer::Complete { status: 200, body, .. } => {
                let expected = fact.path.as_bytes();
                if body != expected {
                    broken.push(format!("{} got the answer {body:?}", fact.path));
                }
            }
            CallAnswer::Complete { .. } => {}
            CallAnswer::Refused { outcome, reason, .. } => {
                if *outcome == CallOutcome::NotRun && *reason != RefusalReason::KeyReused {
                    check_not_run(fleet, *call, fact, *at, broken);
                }
            }
        }
    }
}

/// Checks that a call which was told that it had not run did not run, that no copy had run before the call was sent,
/// and that no copy of which its caller had given up hope runs after the call was told.
///
/// A copy that the caller has sent at the same time, or sends later, may run: its caller waits for its answer too.
fn check_not_run(
    fleet: &Fleet,
    call: ivytrail::id::CallId,
    fact: &CallFact,
    told_at: u64,
    broken: &mut Vec<String>,
) {
    for run in &fleet.runs {
        let Some(other) = run.call.and_then(|it| fleet.calls.get(&it)) else { continue };
        let is_copy = fact.claim.is_some()
            && other.claim == fact.claim
            && other.account == fact.account
            && other.path == fact.path;
        let is_given_up = other.given_up_at.is_some_and(|it| it <= fact.sent_at);
        let is_untrue = run.call == Some(call)
            || is_copy && run.at < fact.sent_at
            || is_copy && is_given_up && told_at < run.at;
        if is_untrue {
            broken.push(format!("{} ran at {}, told not run at {told_at}", fact.path, run.at));
        }
    }
}

fn check_presence(fleet: &Fleet, fact: &CallFact, broken: &mut Vec<String>) {
    let due = fact.deadline + ANSWER_MARGIN_US;
    let node = &fleet.nodes[fact.place.idx];
    let was_paused = node.pauses.iter().any(|(from, until)| *from <= due && fact.sent_at <= *until);
    let is_paused = node.pauses.iter().any(|(_, until)| fleet.now < until + ANSWER_MARGIN_US);
    if fact.is_lost || fleet.now < due || is_paused {
        return;
    }
    match fact.answers.first() {
        None => broken.push(format!("{} sent at {} got no answer", fact.path, fact.sent_at)),
        Some((at, _)) if due < *at && !was_paused => {
            broken.push(format!("{} got its answer at {at}, due {due}", fact.path));
        }
        Some(_) => {}
    }
}

/// Returns whether a call was refused and has not run: its token was taken back and served another call.
fn is_refused_unrun(fact: &CallFact) -> bool {
    fact.answers.iter().any(|(_, answer)| {
        matches!(answer, CallAnswer::Refused { outcome: CallOutcome::NotRun, .. })
    })
}

/// Checks every window at once with a token bucket in true time.
fn check_quota(fleet: &Fleet, broken: &mut Vec<String>) {
    for account in &fleet.firm.accounts {
        let calls = fleet.calls.values().filter(|it| it.parent.is_none());
        let mut uses: Vec<u64> = calls
            .filter(|it| it.account.as_ref().is_some_and(|name| name.as_str() == account.name))
            .filter(|it| !fleet.is_open(&it.path) && !is_refused_unrun(it))
            .filter_map(|it| it.attempts.first().copied())
            .collect();
        uses.sort_unstable();
        let (mut level, mut last) = (account.burst, 0);
        for at in uses {
            level = account.burst.min(level + (at - last) as f64 / 1e6 * account.rate_per_s) - 1.0;
            last = at;
            if level < -1e-6 {
                broken.push(format!("{} used more than its quota at {at}", account.name));
                break;
            }
        }
    }
}

/// Checks that a withdrawn key lets nothing in some time after the withdrawal was confirmed, and as soon after it was
/// accepted where no fault disturbs the fleet.
fn check_withdrawals(fleet: &Fleet, broken: &mut Vec<String>) {
    for (account, withdrawal) in &fleet.withdrawals {
        let calm_at = calm_since(fleet, withdrawal.accepted_at);
        let bound_from = withdrawal.confirmed_at.map_or(calm_at, |it| it.min(calm_at));
        let keyed = fleet.calls.values().filter(|it| it.parent.is_none());
        let late = keyed
            .filter(|it| it.account.as_ref().is_some_and(|name| name.as_str() == *account))
            .filter(|it| !fleet.is_open(&it.path))
            .filter(|it| bound_from + WITHDRAWAL_US < it.sent_at && !it.attempts.is_empty());
        broken.extend(late.map(|it| format!("{} ran with a withdrawn key", it.path)));
    }
}

/// Returns the first time from `at` on after which no fault disturbs the fleet for as long as a withdrawal may take.
fn calm_since(fleet: &Fleet, at: u64) -> u64 {
    let ends = fleet.disturbances().map(|(_, end)| end).filter(|end| at < *end);
    let starts = std::iter::once(at).chain(ends.map(|end| end + 1));
    let is_calm = |from: &u64| {
        let until = from + WITHDRAWAL_US;
        fleet.disturbances().all(|(start, end)| end < *from || until < start)
    };
    starts.filter(is_calm).min().unwrap_or(fleet.now)
}

fn check_retries(fleet: &Fleet, broken: &mut Vec<String>) {
    let mut retries: BTreeMap<String, usize> = BTreeMap::new();
    for fact in fleet.calls.values() {
        let root = fact.root.as_ref().map(ToString::to_string).unwrap_or_default();
        *retries.entry(root).or_default() += fact.attempts.len().saturating_sub(1);
    }
    let over = retries.into_iter().filter(|(_, it)| RETRY_BUDGET < *it);
    broken.extend(over.map(|(root, it)| format!("{root} spent {it} retries")));
}
