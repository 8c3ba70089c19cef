//! Quotas of client accounts over several daemons.

use std::time::Duration;

use super::fleet::{RELEASE_TARGET, TestFleet, call_of, refused, server_advertisement};
use crate::{
    mesh::{
        event::{CallAnswer, MeshEvent},
        frame::ServerPhase,
    },
    message::RefusalReason,
};

#[test]
fn a_link_on_which_a_quota_owner_does_not_respond_is_redialed() {
    let mut fleet = TestFleet::start();
    fleet.set_quota(10.0, 10.0);
    let owner = fleet.quota_owner_of_client();
    let entry = (owner + 1) % 4;

    fleet.mute_inbound_replies(owner);
    fleet.call(entry, call_of(1, "book"));
    fleet.advance(Duration::from_millis(1_200));

    assert!(fleet.is_redialed(entry, owner));
}

#[test]
fn quota_is_counted_over_all_daemons_and_only_for_requests_that_run() {
    let mut fleet = TestFleet::start();
    fleet.set_quota(10.0, 10.0);
    let mut n_served = 0;
    let mut n_denied = 0;

    for id in 0..200 {
        let entry = (id % 4) as usize;
        match fleet.call_and_answer(entry, call_of(1_000 + id, "book")) {
            CallAnswer::Complete { .. } => n_served += 1,
            CallAnswer::Refused { reason, .. } => {
                assert_eq!(reason, RefusalReason::OverQuota);
                n_denied += 1;
            }
        }
        fleet.advance(Duration::from_millis(10));
    }

    // Two seconds at ten requests per second, plus at most the burst.
    assert!((18..=31).contains(&n_served), "{n_served} served, {n_denied} denied");
}

/// In a large fleet each entry sees few requests of an account. A request that was refused for want of slots at one entry
/// must not use up the quota for requests at the others.
#[test]
fn the_token_of_a_refused_request_serves_a_request_at_another_entry() {
    let mut fleet = TestFleet::start();
    fleet.set_quota(0.1, 5.0);
    for daemon in [1, 3] {
        let mut draining = server_advertisement(daemon, "booking");
        draining.phase = ServerPhase::Draining;
        fleet.apply(daemon, MeshEvent::ServerAnnounced { advertisement: draining, sequence: 9 });
    }

    let refusals = [0, 1, 2, 3].map(|entry| {
        fleet.call(entry, call_of(1 + entry as u64, "book"));
        refused(fleet.answer_of(1 + entry as u64))
    });
    fleet.call(1, call_of(9, "track"));

    assert!(refusals.iter().all(|it| it.1 == RefusalReason::NoUpstream), "{refusals:?}");
    assert_eq!(fleet.only_run().request.request_id, "r9");
}

/// A client whose request exceeds its account's rate must be able to retry while a response is still within the target
/// latency.
#[test]
fn a_request_over_the_rate_may_be_retried_within_its_target_latency() {
    let mut fleet = TestFleet::start();
    fleet.set_quota(10.0, 10.0);

    let answers =
        (0..60).map(|id| fleet.call_and_answer(0, call_of(id, "release"))).collect::<Vec<_>>();

    let waits = answers.iter().filter_map(|answer| match answer {
        CallAnswer::Refused { retry_after, .. } => *retry_after,
        CallAnswer::Complete { .. } => None,
    });
    let longest = waits.max().expect("some requests exceed the rate");
    assert!(longest < RELEASE_TARGET / 2, "{longest:?}");
}

/// During a rolling restart, the quota ownership of an account moves back and forth. Its burst must not be granted in
/// full after each move.
#[test]
fn a_daemon_that_becomes_the_quota_owner_again_starts_with_part_of_the_burst() {
    let mut fleet = TestFleet::start();
    fleet.set_quota(1.0, 100.0);
    let owner = fleet.quota_owner_of_client();
    let entry = (owner + 1) % 4;
    fleet.crash(owner);
    fleet.call_and_answer(entry, call_of(1, "book"));
    fleet.rejoin(owner);
    fleet.set_quota(1.0, 100.0);
    fleet.advance(Duration::from_secs(100));
    fleet.crash(owner);

    let answers = (100..200).map(|id| fleet.call_and_answer(entry, call_of(id, "book")));
    let n_served = answers.filter(|it| matches!(it, CallAnswer::Complete { .. })).count();

    assert!((1..=30).contains(&n_served), "{n_served} of a burst of 100");
}
