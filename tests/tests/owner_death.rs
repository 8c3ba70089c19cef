//! Effects of an owner's crash on its callers, and the traffic between the members of a ring.
//!
//! `IVYTRAIL_MEASURE=1` simulates more ring sizes with more keys, and prints the figures of the design notes.

use std::time::Duration;

use ivytrail::{
    id::MemberId,
    lease::{LeaseBody, LeaseMessage, LeaseOptions, LeaseRing, RingDefinition, RingMember},
    time::TimePoint,
};
use ivytrail_tests::guard_fleet::{
    FaultKind, GuardFault, GuardFleet, GuardFleetPlan, GuardFleetReport, KeyKind,
};

/// Length of a simulation in milliseconds, which exceeds the resend horizon of 600 s for keys without a creation time.
const LENGTH_MS: u64 = 700_000;
/// Interval between two new keys in milliseconds, in a test and in a measurement.
const KEY_INTERVAL_MS: [u64; 2] = [1_000, 250];

fn is_measurement() -> bool {
    std::env::var_os("IVYTRAIL_MEASURE").is_some()
}

fn simulate_loss(n_guards: usize, keys: KeyKind, kind: FaultKind) -> GuardFleetReport {
    let mut plan = GuardFleetPlan::fault_free(
        n_guards,
        keys,
        LENGTH_MS,
        KEY_INTERVAL_MS[usize::from(is_measurement())],
    );
    plan.faults.push((30_000, GuardFault { kind, guard: 0, ms: 10 * LENGTH_MS }));
    GuardFleet::run(plan).expect("no invariant is violated")
}

fn member(idx: usize) -> MemberId {
    MemberId { instance: format!("guard-{idx}").into(), incarnation: 1_800_000_000_000 }
}

/// Returns the encoded sizes in bytes of one lease request and one reply.
fn message_bytes(n_members: usize) -> (usize, usize) {
    let members = (0..n_members)
        .map(|idx| RingMember { member: member(idx), domain: "kolkata".into() })
        .collect();
    let definition = RingDefinition { name: "claims/booking".into(), epoch: 1, members };
    let mut rings: Vec<LeaseRing> =
        (0..n_members).map(|idx| LeaseRing::new(member(idx), LeaseOptions::default())).collect();
    let now = TimePoint::from_millis(5_000_000);
    let (mut requests, mut replies) = (Vec::new(), Vec::new());
    for ring in &mut rings {
        ring.install(now, definition.clone());
    }
    rings[0].tick(now, &mut requests);
    assert_eq!(requests.len(), n_members - 1);
    rings[1].receive(now, &member(0), requests[0].1.clone(), &mut replies);
    assert!(matches!(replies[0].1.body, LeaseBody::Reply { granted: true, .. }));
    let size = |message: &LeaseMessage| {
        rmp_serde::to_vec(message).expect("a lease message serializes to MessagePack").len()
    };
    (size(&requests[0].1), size(&replies[0].1))
}

#[test]
fn after_a_crash_timed_keys_are_in_doubt_for_seconds_and_opaque_keys_for_the_horizon() {
    let in_doubt_share =
        |report: &GuardFleetReport| report.count("in-doubt") as f64 / report.count("keys") as f64;

    let sizes = if is_measurement() { &[3, 4, 6][..] } else { &[3] };
    for &n_guards in sizes {
        for (keys, max_share) in [(KeyKind::Timed, 0.03), (KeyKind::Opaque, 0.5)] {
            let report = simulate_loss(n_guards, keys, FaultKind::Restart);
            println!(
                "crash of 1 of {n_guards}, {keys:?}: {:.4} {:?}",
                in_doubt_share(&report),
                report.counts()
            );
            assert!(
                in_doubt_share(&report) < max_share,
                "{n_guards} guards, {keys:?}: {}",
                in_doubt_share(&report)
            );
        }
        let report = simulate_loss(n_guards, KeyKind::Opaque, FaultKind::Leave);
        println!("graceful leave of 1 of {n_guards}, Opaque: {:?}", report.counts());
        assert_eq!(report.count("in-doubt"), 0);
    }
}

#[test]
fn keys_are_without_an_owner_for_seconds_at_most() {
    let time_unowned = |kind: Option<FaultKind>, ms: u64| {
        let mut plan = GuardFleetPlan::fault_free(3, KeyKind::Timed, 60_000, 1_000);
        plan.faults.extend(kind.map(|kind| (20_000, GuardFault { kind, guard: 0, ms })));
        let report = GuardFleet::run(plan).expect("no invariant is violated");
        let longest = report.max_unowned();
        println!("{kind:?} for {ms} ms: {longest:?} without an owner, maximum of six keys");
        longest
    };

    assert_eq!(time_unowned(None, 0), Duration::ZERO);
    assert!(time_unowned(Some(FaultKind::Leave), 10_000) < Duration::from_secs(2));
    assert!(time_unowned(Some(FaultKind::Restart), 1_000) < Duration::from_secs(3));
    assert!(time_unowned(Some(FaultKind::Restart), 10 * LENGTH_MS) < Duration::from_secs(6));
    assert!(time_unowned(Some(FaultKind::Pause), 10_000) < Duration::from_secs(7));
}

#[test]
fn a_member_sends_two_small_messages_to_each_other_member_per_second() {
    for n_members in [3, 5, 9] {
        let (request, reply) = message_bytes(n_members);
        let per_s = (n_members - 1) * (request + reply);
        println!(
            "ring of {n_members}: request {request} B, reply {reply} B, {per_s} B sent per s and member"
        );
        assert!(request <= 64 && reply <= 64);
    }
}
