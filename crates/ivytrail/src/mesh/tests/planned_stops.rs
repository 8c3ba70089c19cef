//! Graceful shutdown of daemons: which client requests, nested calls and attempts they accept until they exit.

use std::{collections::HashSet, time::Duration};

use super::fleet::{
    TestFleet, TestRun, answered, call_of, nested_call_of, public_call_of, refused,
};
use crate::{
    mesh::event::{CallRequest, MeshEvent},
    message::{CallOutcome, RefusalReason},
};

/// Daemon that shuts down; its backend server belongs to the service `tracker`.
const STOPPING: usize = 0;
/// Time from the shutdown request to the exit.
const EXIT_WITHIN: Duration = Duration::from_secs(6);
/// Mean run time of a slow route. Three times as long does not fit into the time that the tests leave.
const SLOW_RUN_TIME: Duration = Duration::from_millis(600);

/// Returns a fleet whose daemon [`STOPPING`] exits within `time_left`.
fn stopping_fleet(time_left: Duration) -> TestFleet {
    let mut fleet = TestFleet::start();
    stop(&mut fleet, STOPPING, time_left);
    fleet
}

/// Starts the shutdown of a daemon and advances the time to `time_left` before its exit.
fn stop(fleet: &mut TestFleet, daemon: usize, time_left: Duration) {
    fleet.apply(daemon, MeshEvent::StopRequested { exit_within: EXIT_WITHIN });
    fleet.advance(EXIT_WITHIN - time_left);
}

fn with_time_limit(request: CallRequest, time_limit: Duration) -> CallRequest {
    CallRequest { time_limit: Some(time_limit), ..request }
}

fn assert_refused_as_draining(fleet: &TestFleet, id: u64, time_left: Duration) {
    let (outcome, reason, retry_after) = refused(fleet.answer_of(id));
    assert_eq!((outcome, reason), (CallOutcome::NotRun, RefusalReason::Draining), "r{id}");
    assert_eq!(retry_after, Some(time_left), "r{id}");
}

/// Completes runs of a route at all servers of its service, from requests at the stopping daemon.
fn complete_runs(fleet: &mut TestFleet, route: &str, run_time: Duration) {
    let n_before = fleet.n_runs_started();
    for n in n_before..n_before + 12 {
        fleet.call(STOPPING, call_of(30_000 + n as u64, route));
    }
    let servers: HashSet<usize> = fleet.started()[n_before..].iter().map(|it| it.daemon).collect();
    assert_eq!(servers.len(), 2, "not all servers of {route} got a run");
    fleet.advance(run_time);
    while let Some(run) = fleet.runs().pop() {
        fleet.end_run(&run, answered(200));
    }
}

/// Starts a run at the stopping daemon's server, from requests at another daemon.
fn start_parent(fleet: &mut TestFleet) -> TestRun {
    let parent = (100..200).find_map(|id| {
        fleet.call(2, call_of(id, "track"));
        fleet.runs().into_iter().find(|it| it.daemon == STOPPING)
    });
    parent.expect("the stopping daemon's server gets a run")
}

/// Regression test: requests without an API key were treated as nested calls, and interrupted by the exit.
#[test]
fn a_stopping_daemon_refuses_public_requests_that_it_may_not_finish() {
    let time_left = Duration::from_secs(1);
    let mut fleet = stopping_fleet(time_left);

    for (id, route) in [(1, "ledger"), (2, "reserve")] {
        fleet.call(STOPPING, public_call_of(id, route));
    }

    assert_eq!(fleet.n_runs_started(), 0);
    assert_refused_as_draining(&fleet, 1, time_left);
    assert_refused_as_draining(&fleet, 2, time_left);
}

/// The run times of one route may differ widely, so that a short mean does not allow to accept a late request.
#[test]
fn a_stopping_daemon_refuses_late_requests_also_on_a_route_of_short_ones() {
    let time_left = Duration::from_secs(1);
    let mut fleet = TestFleet::start();
    complete_runs(&mut fleet, "reserve", Duration::from_millis(10));
    stop(&mut fleet, STOPPING, time_left);
    let n_before = fleet.n_runs_started();

    fleet.call(STOPPING, public_call_of(1, "reserve"));

    assert_eq!(fleet.n_runs_started(), n_before);
    assert_refused_as_draining(&fleet, 1, time_left);
}

#[test]
fn a_stopping_daemon_accepts_public_requests_that_fit_and_early_ones() {
    let mut fleet = stopping_fleet(EXIT_WITHIN - Duration::from_millis(2_700));

    fleet.call(STOPPING, public_call_of(1, "reserve"));
    fleet.advance(Duration::from_millis(2_300));
    let short = with_time_limit(public_call_of(2, "reserve"), Duration::from_millis(800));
    fleet.call(STOPPING, short);

    assert_eq!(fleet.n_runs_started(), 2);
    assert!(!fleet.daemon(STOPPING).is_entry_idle());
}

/// Refusing a nested call fails the request that makes it, which was accepted before.
#[test]
fn a_stopping_daemon_accepts_nested_calls_that_it_is_expected_to_finish() {
    let mut fleet = TestFleet::start();
    complete_runs(&mut fleet, "ledger", Duration::from_millis(20));
    complete_runs(&mut fleet, "track", Duration::from_millis(20));
    stop(&mut fleet, STOPPING, Duration::from_millis(1_500));
    let parent = start_parent(&mut fleet);
    fleet.advance(Duration::from_millis(700));

    fleet.call(STOPPING, nested_call_of(2, &parent.request.request_id, "ledger"));
    let nested = fleet.runs().into_iter().find(|it| it.request.route.as_str() == "ledger");
    fleet.end_run(&nested.expect("the nested call runs"), answered(200));

    assert_eq!(fleet.status_of(2), Some(200));
}

/// A nested call that the exit would interrupt is refused early, so that its parent can still report the failure.
#[test]
fn a_stopping_daemon_refuses_nested_calls_that_it_is_not_expected_to_finish() {
    let mut fleet = TestFleet::start();
    complete_runs(&mut fleet, "ledger", SLOW_RUN_TIME);
    stop(&mut fleet, STOPPING, Duration::from_secs(3));
    let parent = start_parent(&mut fleet);
    fleet.advance(Duration::from_millis(1_500));

    fleet.call(STOPPING, nested_call_of(2, &parent.request.request_id, "ledger"));

    assert_refused_as_draining(&fleet, 2, Duration::from_millis(1_500));
}

/// Starts a nested call of a run at the stopping daemon's server on a route of short calls, `time_left` before the exit.
fn start_late_nested_call(fleet: &mut TestFleet, time_left: Duration) -> TestRun {
    complete_runs(fleet, "ledger", Duration::from_millis(20));
    complete_runs(fleet, "track", Duration::from_millis(20));
    stop(fleet, STOPPING, time_left);
    let parent = start_parent(fleet);
    fleet.call(STOPPING, nested_call_of(2, &parent.request.request_id, "ledger"));
    let nested = fleet.runs().into_iter().find(|it| it.request.route.as_str() == "ledger");
    nested.expect("the nested call runs")
}

/// Regression test for review/14: the exit interrupted a nested call that took longer than most calls of its route.
#[test]
fn a_late_nested_call_has_a_deadline_before_the_exit() {
    let mut fleet = TestFleet::start();

    let nested = start_late_nested_call(&mut fleet, Duration::from_millis(1_500));

    assert!(nested.time_left < Duration::from_millis(1_200), "{:?}", nested.time_left);
    assert!(Duration::from_millis(1_000) < nested.time_left, "{:?}", nested.time_left);
}

/// The server's own response at its deadline reaches the caller.
#[test]
fn a_late_nested_call_gets_the_response_that_its_server_sends_at_the_deadline() {
    let mut fleet = TestFleet::start();
    let nested = start_late_nested_call(&mut fleet, Duration::from_millis(1_500));

    fleet.advance(nested.time_left);
    fleet.end_run(&nested, answered(504));

    assert_eq!(fleet.status_of(2), Some(504));
}

/// A server that sends nothing at its deadline does not keep the caller waiting until the exit.
#[test]
fn a_late_nested_call_whose_server_overruns_is_answered_before_the_exit() {
    let mut fleet = TestFleet::start();
    let time_left = Duration::from_millis(1_500);
    start_late_nested_call(&mut fleet, time_left);

    fleet.advance(time_left - Duration::from_millis(100));

    let (outcome, reason, _) = refused(fleet.answer_of(2));
    assert_eq!((outcome, reason), (CallOutcome::Unknown, RefusalReason::DeadlineExceeded));
}

/// A run that the exit would interrupt, and that no other server may repeat, is ended by its server in time for a response.
#[test]
fn a_stopping_guard_gives_runs_that_are_not_repeated_a_deadline_before_the_exit() {
    let time_left = Duration::from_millis(1_500);
    let mut fleet = TestFleet::start();
    complete_runs(&mut fleet, "book", Duration::from_millis(20));
    complete_runs(&mut fleet, "track", Duration::from_millis(20));
    fleet.apply(1, MeshEvent::StopRequested { exit_within: EXIT_WITHIN });
    stop(&mut fleet, STOPPING, time_left);
    let n_before = fleet.n_runs_started();

    for id in 1..=12 {
        fleet.call(2, call_of(id, "track"));
        fleet.call(2, call_of(100 + id, "book"));
    }

    let started = &fleet.started()[n_before..];
    let time_left_at = |daemon| {
        let run = started.iter().find(|it| it.daemon == daemon);
        run.expect("the stopping guard runs attempts").time_left
    };
    assert!(time_left < time_left_at(STOPPING), "an idempotent run keeps its deadline");
    assert!(time_left_at(1) < time_left, "{:?}", time_left_at(1));
}

/// The exit of a guard interrupts the runs at its backend server, and non-idempotent requests are not retried.
#[test]
fn a_stopping_guard_leaves_attempts_that_it_is_not_expected_to_finish_to_another() {
    let mut fleet = TestFleet::start();
    complete_runs(&mut fleet, "book", SLOW_RUN_TIME);
    stop(&mut fleet, 1, Duration::from_millis(1_700));
    let n_before = fleet.n_runs_started();

    for id in 1..=8 {
        fleet.call(0, call_of(id, "book"));
    }

    let started = &fleet.started()[n_before..];
    assert_eq!(started.len(), 8);
    assert!(started.iter().all(|it| it.daemon == 3), "{started:?}");
}

/// The slots of a stopping daemon's server stay in use for work that ends in time.
#[test]
fn a_stopping_guard_runs_attempts_that_it_is_expected_to_finish() {
    let mut fleet = TestFleet::start();
    complete_runs(&mut fleet, "book", Duration::from_millis(100));
    stop(&mut fleet, 1, Duration::from_millis(1_700));
    let n_before = fleet.n_runs_started();

    for id in 1..=12 {
        fleet.call(0, call_of(id, "book"));
    }

    assert!(fleet.started()[n_before..].iter().any(|it| it.daemon == 1));
}

#[test]
fn a_leaving_daemon_gets_no_new_attempts_and_finishes_its_own_calls() {
    let mut fleet = TestFleet::start();
    fleet.call(1, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.apply(1, MeshEvent::StopRequested { exit_within: Duration::from_secs(6) });
    fleet.apply(1, MeshEvent::GuardClosed);
    for id in 10..20 {
        fleet.call(0, call_of(id, "book"));
    }
    let elsewhere =
        fleet.runs().iter().filter(|it| it.daemon == 1 && it.request.request_id != "r1").count();
    fleet.end_run(&run, answered(200));

    assert!(!fleet.daemon(1).is_ready());
    assert_eq!(elsewhere, 0);
    assert_eq!(fleet.status_of(1), Some(200));
}

/// During a rolling restart, the slots of each leaving daemon's backend server must stay in use until shortly before the
/// daemon exits.
#[test]
fn a_leaving_daemon_takes_attempts_until_its_guard_closes() {
    let mut fleet = TestFleet::start();

    fleet.apply(1, MeshEvent::StopRequested { exit_within: Duration::from_secs(6) });
    for id in 10..30 {
        fleet.call(0, call_of(id, "book"));
    }

    assert!(!fleet.daemon(1).is_ready());
    assert!(fleet.runs().iter().any(|it| it.daemon == 1), "the leaving daemon got no attempts");
}

/// The clients of a stopping daemon have nowhere else to go, because most of its failure domain stops. A request that could
/// be cut off at the exit must be refused as not run; all others are served.
#[test]
fn a_stopping_daemon_refuses_requests_that_it_may_not_finish() {
    let mut fleet = TestFleet::start();
    fleet.apply(0, MeshEvent::StopRequested { exit_within: Duration::from_secs(6) });

    fleet.advance(Duration::from_millis(3_000));
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();
    fleet.end_run(&run, answered(200));
    fleet.advance(Duration::from_millis(2_000));
    fleet.call(0, call_of(2, "book"));
    let mut short = call_of(3, "book");
    short.time_limit = Some(Duration::from_millis(500));
    fleet.call(0, short);

    assert_eq!(fleet.status_of(1), Some(200));
    let (outcome, reason, retry_after) = refused(fleet.answer_of(2));
    assert_eq!((outcome, reason), (CallOutcome::NotRun, RefusalReason::Draining));
    assert!(retry_after.is_some());
    assert_eq!(fleet.only_run().request.request_id, "r3");
}
