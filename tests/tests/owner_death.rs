//! What the death of an owner costs its callers, and what a ring costs its members.
//!
//! `IVYTRAIL_MEASURE=1` runs more sizes of the ring with more keys, and prints the figures of the design notes.

use std::time::Duration;

use ivytrail::{
    id::MemberId,
    lease::{LeaseBody, LeaseMessage, LeaseOptions, LeaseRing, RingDefinition, RingMember},
    time::TimePoint,
};
use ivytrail_tests::guard_fleet::{
    FaultKind, GuardFault, GuardFleet, GuardFleetPlan, GuardFleetReport, KeyKind,
};

/// Length of a run: it reaches beyond the horizon of 600 s for keys that tell no time.
const LENGTH_MS: u64 = 700_000;
/// Time between two new keys in milliseconds, in a quick run and in a measurement.
const KEY_EVERY_MS: [u64; 2] = [1_000, 250];

fn is_measurement() -> bool {
    std::env::var_os("IVYTRAIL_MEASURE").is_some()
}

fn death(n_guards: usize, keys: KeyKind, kind: FaultKind) -> GuardFleetReport {
    let mut plan = GuardFleetPlan::calm(
        n_guards,
        keys,
        LENGTH_MS,
        KEY_EVERY_MS[usize::from(is_measurement())],
    );
    plan.faults.push((30_000, GuardFault { kind, guard: 0, ms: 10 * LENGTH_MS }));
    GuardFleet::run(plan).expect("no invariant is violated")
}

fn member(idx: usize) -> MemberId {
    MemberId { instance: format!("guard-{idx}").into(), incarnation: 1_800_000_000_000 }
}

/// Returns the bytes of one request and one reply in calm.
fn message_bytes(n_members: usize) -> (usize, usize) {
    let members = (0..n_members)
        .map(|idx| RingMember { member: member(idx), domain: "kolkata".into() })
        .collect();
    let definition = RingDefinition { name: "claims/booking".into(), epoch: 1, members };
    let mut rings: Vec<LeaseRing> =
        (0..n_members).map(|idx| LeaseRing::new(member(idx), LeaseOptions::default())).collect();
    let now = TimePoint::from_millis(5_000_000);
    let (mut asks, mut replies) = (Vec::new(), Vec::new());
    for ring in &mut rings {
        ring.install(now, definition.clone());
    }
    rings[0].tick(now, &mut asks);
    assert_eq!(asks.len(), n_members - 1);
    rings[1].receive(now, &member(0), asks[0].1.clone(), &mut replies);
    assert!(matches!(replies[0].1.body, LeaseBody::Reply { granted: true, .. }));
    let size = |message: &LeaseMessage| {
        rmp_serde::to_vec(message).expect("a message can be encoded").len()
    };
    (size(&asks[0].1), size(&replies[0].1))
}

#[test]
fn timed_keys_lose_seconds_and_opaque_keys_the_horizon() {
    let share =
        |report: &GuardFleetReport| report.count("in-doubt") as f64 / report.count("keys") as f64;

    let sizes = if is_measurement() { &[3, 4, 6][..] } else { &[3] };
    for &n_guards in sizes {
        for (keys, most) in [(KeyKind::Timed, 0.03), (KeyKind::Opaque, 0.5)] {
            let report = death(n_guards, keys, FaultKind::Restart);
            println!(
                "death of 1 of {n_guards}, {keys:?}: {:.4} {:?}",
                share(&report),
                report.counts()
            );
            assert!(share(&report) < most, "{n_guards} guards, {keys:?}: {}", share(&report));
        }
        let report = death(n_guards, KeyKind::Opaque, FaultKind::Leave);
        println!("clean leave of 1 of {n_guards}, Opaque: {:?}", report.counts());
        assert_eq!(report.count("in-doubt"), 0);
    }
}

#[test]
fn keys_have_an_owner_but_for_seconds() {
    let unowned = |kind: Option<FaultKind>, ms: u64| {
        let mut plan = GuardFleetPlan::calm(3, KeyKind::Timed, 60_000, 1_000);
        plan.faults.extend(kind.map(|kind| (20_000, GuardFault { kind, guard: 0, ms })));
        let report = GuardFleet::run(plan).expect("no invariant is violated");
        let longest = report.max_unowned();
        println!("{kind:?} for {ms} ms: {longest:?} without an owner, the worst of six keys");
        longest
    };

    assert_eq!(unowned(None, 0), Duration::ZERO);
    assert!(unowned(Some(FaultKind::Leave), 10_000) < Duration::from_secs(2));
    assert!(unowned(Some(FaultKind::Restart), 1_000) < Duration::from_secs(3));
    assert!(unowned(Some(FaultKind::Restart), 10 * LENGTH_MS) < Duration::from_secs(6));
    assert!(unowned(Some(FaultKind::Pause), 10_000) < Duration::from_secs(7));
}

#[test]
fn a_member_sends_two_small_messages_to_each_other_member_a_second() {
    for n_members in [3, 5, 9] {
        let (ask, reply) = message_bytes(n_members);
        let per_s = (n_members - 1) * (ask + reply);
        println!(
            "ring of {n_members}: ask {ask} B, reply {reply} B, {per_s} B sent per s and member"
        );
        assert!(ask <= 64 && reply <= 64);
    }
}
