//! Tests of several reducers that exchange frames through an in-memory queue, with injected faults.

mod cold_servers;
mod crash_sessions;
mod crashing_requests;
mod departure_sessions;
mod departures;
mod evacuations;
mod fleet;
mod planned_stops;
mod quota;
mod random;
mod replaced_servers;
mod server_sessions;
mod servers;
mod silent_links;
mod stop_sessions;

use std::time::Duration;

use self::fleet::{
    CLIENT, TestFleet, answered, answered_with, call_of, refused, server_advertisement,
};
use super::{
    event::{MeshEvent, RunEnd},
    frame::ServerPhase,
};
use crate::{
    id::AccountName,
    message::{CallOutcome, RefusalReason},
};

#[test]
fn a_request_runs_at_a_server_of_its_service_and_gets_the_response() {
    let mut fleet = TestFleet::start();

    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();
    fleet.end_run(&run, answered(200));

    assert_eq!(run.request.service.as_str(), "booking");
    assert_eq!(run.request.account.as_ref().map(AccountName::as_str), Some(CLIENT));
    assert_eq!(fleet.status_of(1), Some(200));
}

#[test]
fn a_daemon_without_settings_refuses_with_a_retry_delay() {
    let mut fleet = TestFleet::start();
    fleet.restart(0);

    fleet.call(0, call_of(1, "book"));

    let (outcome, reason, retry_after) = refused(fleet.answer_of(1));
    assert_eq!((outcome, reason), (CallOutcome::NotRun, RefusalReason::StaleSettings));
    assert!(retry_after.is_some());
}

#[test]
fn a_restarted_daemon_gets_settings_from_a_peer_during_a_platform_outage() {
    let mut fleet = TestFleet::start();
    fleet.restart(0);

    fleet.link_all(0);
    fleet.advance(Duration::from_millis(300));

    assert!(fleet.daemon(0).is_ready());
}

/// A daemon that restarts beside a running fleet must not wait for the next report to know what requests cost.
#[test]
fn a_restarted_daemon_learns_the_costs_of_routes_with_its_links() {
    let mut fleet = TestFleet::start();
    for id in 100..110 {
        fleet.call_and_answer(0, call_of(id, "track"));
    }
    fleet.advance(Duration::from_millis(600));
    fleet.crash(3);

    fleet.rejoin(3);
    // The first tick computes the demands; the next reports are due later.
    fleet.advance(Duration::from_millis(10));

    let demand = fleet.daemon(3).costs.demand_of(&"track".into());
    assert!(demand.is_some_and(|it| it.contains_key(&"tracker".into())), "{demand:?}");
}

#[test]
fn settings_of_an_older_version_are_ignored() {
    let mut fleet = TestFleet::start();
    let older = fleet.settings_event(1);

    fleet.apply(0, older);

    assert_eq!(fleet.daemon(0).settings().map(|it| it.version()), Some(fleet::VERSION));
}

#[test]
fn an_unknown_key_and_an_unknown_route_are_refused() {
    let mut fleet = TestFleet::start();
    let mut with_unknown_key = call_of(1, "book");
    with_unknown_key.key = Some(crate::id::ContentDigest::of_parts(&[b"unknown key"]));
    let mut with_unknown_route = call_of(2, "book");
    with_unknown_route.target = "/nowhere/".into();

    fleet.call(0, with_unknown_key);
    fleet.call(0, with_unknown_route);

    assert_eq!(refused(fleet.answer_of(1)).1, RefusalReason::BadKey);
    assert_eq!(refused(fleet.answer_of(2)).1, RefusalReason::NoRoute);
    assert!(fleet.runs().is_empty());
}

#[test]
fn a_non_idempotent_request_survives_a_broken_link() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.cut_links(0, run.daemon);
    fleet.end_run(&run, answered(200));
    assert_eq!(fleet.answer_of(1), None);
    fleet.restore_links(0, run.daemon);

    assert_eq!(fleet.status_of(1), Some(200));
    assert_eq!(fleet.n_runs_started(), 1);
}

/// The guard abandons a run whose entry is disconnected for long. A run that isn't idempotent still completes, and its
/// reply must reach an entry that reconnects.
#[test]
fn a_run_that_ended_while_its_entry_was_disconnected_is_answered() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.cut_links(0, run.daemon);
    fleet.advance(Duration::from_millis(1_200));
    fleet.end_run(&run, answered(200));
    fleet.restore_links(0, run.daemon);

    assert_eq!(fleet.status_of(1), Some(200));
}

/// The entry returns while the abandoned run is still at work, and asks for its status before it ends.
#[test]
fn a_run_that_ends_after_its_entry_has_reconnected_is_answered() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.cut_links(0, run.daemon);
    fleet.advance(Duration::from_millis(1_200));
    fleet.restore_links(0, run.daemon);
    fleet.end_run(&run, answered(200));

    assert_eq!(fleet.status_of(1), Some(200));
}

/// Replies are stored for a bounded time and number of bytes. An attempt whose reply was dropped may have run.
#[test]
fn a_run_whose_reply_was_dropped_has_an_unknown_outcome() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.cut_links(0, run.daemon);
    fleet.end_run(&run, answered_with(3 << 20));
    fleet.advance(Duration::from_millis(100));
    fleet.restore_links(0, run.daemon);

    let (outcome, reason, _) = refused(fleet.answer_of(1));
    assert_eq!((outcome, reason), (CallOutcome::Unknown, RefusalReason::ConnectionLost));
}

#[test]
fn an_attempt_that_never_arrived_has_not_run_and_is_redirected() {
    let mut fleet = TestFleet::start();
    fleet.hold_frames(true);
    fleet.call(0, call_of(1, "book"));
    fleet.hold_frames(false);
    let lost = fleet.drop_held_frames();

    fleet.cut_links(0, lost);
    fleet.restore_links(0, lost);
    let run = fleet.only_run();
    fleet.end_run(&run, answered(200));

    assert_ne!(run.daemon, lost, "the guard that missed the attempt must refuse it");
    assert_eq!(fleet.status_of(1), Some(200));
}

#[test]
fn a_late_copy_of_a_refused_attempt_does_not_run() {
    let mut fleet = TestFleet::start();
    fleet.hold_frames(true);
    fleet.call(0, call_of(1, "book"));
    fleet.hold_frames(false);
    let late = fleet.take_held_frames();
    let (_, lost, _) = late[0];
    fleet.cut_links(0, lost);
    fleet.restore_links(0, lost);
    let n_before = fleet.n_runs_started();

    for frame in late {
        fleet.deliver(frame);
    }

    assert_eq!(n_before, 1, "the attempt must run at another guard");
    assert_eq!(fleet.n_runs_started(), 1, "the late copy must not run");
}

#[test]
fn a_non_idempotent_attempt_at_a_crashed_guard_has_an_unknown_outcome() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.crash(run.daemon);
    fleet.restart(run.daemon);
    fleet.link_all(run.daemon);

    let (outcome, reason, _) = refused(fleet.answer_of(1));
    assert_eq!((outcome, reason), (CallOutcome::Unknown, RefusalReason::ConnectionLost));
    assert_eq!(fleet.n_runs_started(), 1);
}

#[test]
fn an_idempotent_attempt_at_a_crashed_guard_is_retried() {
    let mut fleet = TestFleet::start();
    for id in 100..130 {
        fleet.call_and_answer(1, call_of(id, "track"));
    }
    fleet.call(1, call_of(1, "track"));
    let run = fleet.only_run();

    fleet.crash(run.daemon);
    let retry = fleet.only_run();
    fleet.end_run(&retry, answered(200));

    assert_ne!(retry.daemon, run.daemon);
    assert_eq!(fleet.status_of(1), Some(200));
}

#[test]
fn a_draining_server_gets_no_new_requests_and_finishes_its_runs() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    let mut draining = server_advertisement(run.daemon, "booking");
    draining.phase = ServerPhase::Draining;
    fleet.apply(run.daemon, MeshEvent::ServerAnnounced { advertisement: draining, sequence: 9 });
    fleet.call(0, call_of(2, "book"));
    let other =
        fleet.runs().into_iter().find(|it| it.request.request_id == "r2").expect("request r2 runs");
    fleet.end_run(&run, answered(200));

    assert_ne!(other.daemon, run.daemon);
    assert_eq!(fleet.status_of(1), Some(200));
}

#[test]
fn a_rejected_non_idempotent_request_goes_to_another_server() {
    let mut fleet = TestFleet::start();
    for id in 100..130 {
        fleet.call_and_answer(0, call_of(id, "book"));
    }
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.end_run(&run, RunEnd::Rejected { is_misdirected: false });
    let retry = fleet.only_run();
    fleet.end_run(&retry, answered(200));

    assert_ne!(retry.daemon, run.daemon);
    assert_eq!(fleet.status_of(1), Some(200));
}

#[test]
fn a_broken_non_idempotent_run_is_unknown_and_not_retried() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.end_run(&run, RunEnd::Broken);

    assert_eq!(refused(fleet.answer_of(1)).0, CallOutcome::Unknown);
    assert_eq!(fleet.n_runs_started(), 1);
}

#[test]
fn an_error_response_is_passed_on_when_no_retry_is_allowed() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.end_run(&run, answered(500));

    assert_eq!(fleet.status_of(1), Some(500));
}

#[test]
fn a_call_is_answered_at_its_routes_timeout() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));

    fleet.advance(fleet::TIMEOUT - Duration::from_millis(20));
    assert_eq!(fleet.answer_of(1), None);
    fleet.advance(Duration::from_millis(40));

    let (outcome, reason, _) = refused(fleet.answer_of(1));
    assert_eq!((outcome, reason), (CallOutcome::Unknown, RefusalReason::DeadlineExceeded));
}

#[test]
fn a_client_disconnect_cancels_only_idempotent_runs() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "track"));
    fleet.call(0, call_of(2, "book"));
    let runs = fleet.runs();

    for id in [1, 2] {
        fleet.apply(0, MeshEvent::CallerDisconnected { call: crate::id::CallId(id) });
    }

    let cancelled: Vec<_> = runs.iter().filter(|it| fleet.is_cancelled(it)).collect();
    assert_eq!(cancelled.len(), 1);
    assert_eq!(cancelled[0].request.request_id, "r1");
}

#[test]
fn a_waiting_request_never_runs_after_its_client_disconnects() {
    let mut fleet = TestFleet::start();
    let n_calls = fleet.fill("book");
    fleet.call(0, call_of(1, "book"));

    fleet.apply(0, MeshEvent::CallerDisconnected { call: crate::id::CallId(1) });
    while let Some(run) = fleet.runs().pop() {
        fleet.end_run(&run, answered(200));
    }

    assert_eq!(fleet.n_runs_started(), n_calls);
    assert_eq!(fleet.answer_of(1), None);
}

#[test]
fn a_silent_link_is_pinged_and_then_redialed() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();
    assert_ne!(run.daemon, 0, "daemon 0 has a server of another service");

    fleet.mute(run.daemon);
    fleet.advance(Duration::from_millis(950));

    assert!(fleet.is_redialed(0, run.daemon));
}

/// The peer's advertisements still arrive on the link that it dialed itself; they must not count as responses on the
/// link that it doesn't answer.
#[test]
fn a_link_that_is_silent_one_way_is_redialed() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();

    fleet.mute_inbound_replies(run.daemon);
    fleet.advance(Duration::from_millis(950));

    assert!(fleet.is_redialed(0, run.daemon));
}

/// A machine that loses power closes no connection, so only missing responses reveal it. The first daemon to notice must
/// warn the others before they lose attempts of their own.
#[test]
fn a_silent_daemon_gets_no_attempts_from_peers_that_were_notified() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let silent = fleet.only_run().daemon;

    fleet.mute(silent);
    fleet.advance(Duration::from_millis(350));
    let n_before = fleet.runs().iter().filter(|it| it.daemon == silent).count();
    for id in 10..30 {
        fleet.call(2, call_of(id, "book"));
    }

    let n_after = fleet.runs().iter().filter(|it| it.daemon == silent).count();
    assert_eq!((n_before, n_after), (1, 1));
}

#[test]
fn a_daemon_that_responds_to_pings_keeps_getting_attempts() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));

    fleet.advance(Duration::from_millis(1_200));
    for id in 10..30 {
        fleet.call(0, call_of(id, "book"));
    }

    let n_at = |daemon| fleet.runs().iter().filter(|it| it.daemon == daemon).count();
    assert!(5 <= n_at(1) && 5 <= n_at(3), "{} and {}", n_at(1), n_at(3));
}

#[test]
fn a_peer_is_removed_when_another_daemon_uses_its_address() {
    let mut fleet = TestFleet::start();
    fleet.add_outdated_row(0, "gone", 1);

    fleet.link_all(1);

    assert!(fleet.is_undialed(0, "gone"));
}

/// A guard that hasn't noticed the restart of an entry may still reply to its earlier incarnation.
#[test]
fn a_reply_to_an_earlier_incarnation_of_the_entry_is_ignored() {
    let mut fleet = TestFleet::start();
    fleet.call(0, call_of(1, "book"));
    let run = fleet.only_run();
    fleet.crash(0);
    fleet.rejoin(0);
    fleet.call(0, call_of(2, "book"));

    fleet.reply_to(0, &run, 200);

    assert_eq!(fleet.answer_of(2), None);
}

/// Regression test: an entry passed on any status that a guard of another build reported, also invalid ones.
#[test]
fn a_reply_without_a_final_status_is_no_response() {
    for (id, status) in (1..).zip([0, 100, 101, 199, 600, 999]) {
        let mut fleet = TestFleet::start();
        fleet.call(0, call_of(id, "book"));
        let run = fleet.only_run();

        fleet.reply_to(0, &run, status);

        let (outcome, reason, _) = refused(fleet.answer_of(id));
        assert_eq!(
            (outcome, reason),
            (CallOutcome::Unknown, RefusalReason::BrokenAnswer),
            "{status}"
        );
    }
}
