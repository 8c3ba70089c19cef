//! Links that go silent for good while both daemons keep running and new connections between them work.

use std::time::Duration;

use super::fleet::{TestFleet, TestRun, answered, call_of, refused};
use crate::{
    id::CallId,
    mesh::event::{MeshEvent, RunEnd},
    message::{CallOutcome, RefusalReason},
};

/// Time within which a silent link is closed so that it can be dialed again.
const DETECTION_TIME: Duration = Duration::from_millis(550);

/// Entry of the calls; its own server is of the service `tracker`.
const ENTRY: usize = 0;

/// Makes a call whose attempt is written into a silent link, and returns the daemon that it was sent to.
fn lose_attempt(fleet: &mut TestFleet, id: u64, route: &str) -> usize {
    fleet.hold_frames(true);
    fleet.call(ENTRY, call_of(id, route));
    fleet.hold_frames(false);
    let peer = fleet.drop_held_frames();
    fleet.silence_link(ENTRY, peer);
    peer
}

/// Starts a run of an idempotent call at another daemon.
fn start_remote_read(fleet: &mut TestFleet, id: u64) -> TestRun {
    fleet.call(1, call_of(id, "track"));
    fleet.only_run()
}

#[test]
fn an_idempotent_attempt_that_never_arrived_runs_elsewhere_without_a_retry() {
    let mut fleet = TestFleet::start();
    fleet.use_up_retries(1, "track");
    fleet.hold_frames(true);
    fleet.call(1, call_of(1, "track"));
    fleet.hold_frames(false);
    let lost = fleet.drop_held_frames();
    fleet.silence_link(1, lost);

    fleet.advance(DETECTION_TIME);
    let is_redialed = fleet.is_redialed(1, lost);
    fleet.redial(1, lost);
    let run = fleet.only_run();
    fleet.end_run(&run, answered(200));

    assert!(is_redialed);
    assert_ne!(run.daemon, lost);
    assert_eq!(fleet.status_of(1), Some(200));
}

#[test]
fn the_reply_of_an_idempotent_run_survives_a_silent_link() {
    let mut fleet = TestFleet::start();
    let run = start_remote_read(&mut fleet, 1);
    fleet.silence_link(1, run.daemon);
    fleet.end_run(&run, answered(200));

    fleet.advance(DETECTION_TIME);
    fleet.redial(1, run.daemon);

    assert_eq!(fleet.status_of(1), Some(200));
    assert_eq!(fleet.n_runs_started(), 1);
}

#[test]
fn an_idempotent_run_goes_on_while_its_silent_link_is_replaced() {
    let mut fleet = TestFleet::start();
    let run = start_remote_read(&mut fleet, 1);
    fleet.silence_link(1, run.daemon);

    fleet.advance(DETECTION_TIME);
    fleet.redial(1, run.daemon);
    fleet.end_run(&run, answered(200));

    assert_eq!(fleet.status_of(1), Some(200));
    assert_eq!(fleet.n_runs_started(), 1);
}

#[test]
fn an_idempotent_attempt_is_retried_when_its_silent_link_cannot_be_replaced() {
    let mut fleet = TestFleet::start();
    for id in 100..130 {
        fleet.call_and_answer(1, call_of(id, "track"));
    }
    let n_before = fleet.n_runs_started();
    let run = start_remote_read(&mut fleet, 1);
    fleet.silence_link(1, run.daemon);

    fleet.advance(DETECTION_TIME + Duration::from_millis(250));
    let runs = fleet.runs();
    let retry = runs.iter().find(|it| it.daemon != run.daemon).expect("the call is retried");
    fleet.end_run(&retry.clone(), answered(200));

    assert_eq!(fleet.status_of(1), Some(200));
    assert_eq!(fleet.n_runs_started(), n_before + 2);
}

/// Both servers of the service are behind silent links. Neither guard has received the attempt, so the refusal may state
/// that the request has not run.
#[test]
fn a_non_idempotent_attempt_that_reached_no_guard_is_refused_as_not_run() {
    let mut fleet = TestFleet::start();
    let first = lose_attempt(&mut fleet, 1, "book");
    let second = 4 - first;
    fleet.silence_link(ENTRY, second);

    fleet.advance(DETECTION_TIME);
    fleet.redial(ENTRY, first);
    fleet.advance(DETECTION_TIME);
    fleet.redial(ENTRY, second);

    let (outcome, _, retry_after) = refused(fleet.answer_of(1));
    assert_eq!((outcome, fleet.n_runs_started()), (CallOutcome::NotRun, 0));
    assert!(retry_after.is_some());
}

/// The guard was only slow: it receives the attempt after the entry's question about it.
#[test]
fn a_copy_that_arrives_after_the_question_never_runs() {
    let mut fleet = TestFleet::start();
    fleet.hold_frames(true);
    fleet.call(1, call_of(1, "track"));
    fleet.hold_frames(false);
    let late = fleet.take_held_frames();
    let (_, slow, _) = late[0];
    fleet.silence_link(1, slow);
    fleet.advance(DETECTION_TIME);
    fleet.redial(1, slow);
    let run = fleet.only_run();

    for frame in late {
        fleet.deliver(frame);
    }
    fleet.end_run(&run, answered(200));

    assert_eq!(fleet.n_runs_started(), 1);
    assert_eq!(fleet.status_of(1), Some(200));
}

/// A restarted guard knows nothing of the attempt, which may have run at its earlier incarnation.
#[test]
fn a_restarted_guard_cannot_tell_that_an_attempt_has_not_run() {
    let mut fleet = TestFleet::start();
    fleet.call(ENTRY, call_of(1, "book"));
    let run = fleet.only_run();
    fleet.silence_link(ENTRY, run.daemon);
    fleet.end_run(&run, answered(200));

    fleet.crash(run.daemon);
    fleet.rejoin(run.daemon);
    fleet.redial(ENTRY, run.daemon);

    let (outcome, reason, _) = refused(fleet.answer_of(1));
    assert_eq!((outcome, reason), (CallOutcome::Unknown, RefusalReason::ConnectionLost));
}

/// The reply on the old link crosses the question on the new one, and the guard replies a second time.
#[test]
fn a_reply_that_crosses_the_question_is_used_once() {
    let mut fleet = TestFleet::start();
    let run = start_remote_read(&mut fleet, 1);
    fleet.hold_frames(true);
    fleet.end_run(&run, answered(200));
    fleet.hold_frames(false);
    let crossing = fleet.take_held_frames();
    fleet.silence_link(1, run.daemon);
    fleet.advance(DETECTION_TIME);
    fleet.redial(1, run.daemon);

    // A second answer to the call would make the fleet panic.
    for frame in crossing {
        fleet.deliver(frame);
    }

    assert_eq!(fleet.status_of(1), Some(200));
    assert_eq!(fleet.n_runs_started(), 1);
}

/// The client leaves while its attempt waits for a new link; the run must not hold its slot to the end.
#[test]
fn a_run_whose_client_left_during_the_silence_is_cancelled_on_the_next_link() {
    let mut fleet = TestFleet::start();
    let run = start_remote_read(&mut fleet, 1);
    fleet.silence_link(1, run.daemon);
    fleet.advance(DETECTION_TIME);

    fleet.apply(1, MeshEvent::CallerDisconnected { call: CallId(1) });
    fleet.redial(1, run.daemon);

    assert!(fleet.is_cancelled(&run));
}

/// A retry elsewhere must not leave the first run at work once its guard can be reached again.
#[test]
fn a_run_that_was_retried_elsewhere_is_cancelled_on_the_next_link() {
    let mut fleet = TestFleet::start();
    for id in 100..130 {
        fleet.call_and_answer(1, call_of(id, "track"));
    }
    let run = start_remote_read(&mut fleet, 1);
    fleet.silence_link(1, run.daemon);
    fleet.advance(DETECTION_TIME + Duration::from_millis(250));

    fleet.redial(1, run.daemon);

    assert!(fleet.is_cancelled(&run));
    let retry = fleet.only_run();
    fleet.end_run(&retry, RunEnd::Broken);
}
