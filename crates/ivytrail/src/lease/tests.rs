use std::time::Duration;

use super::*;
use crate::id::ContentDigest;

fn member(name: &str, incarnation: u64) -> MemberId {
    MemberId { instance: name.into(), incarnation }
}

fn definition(epoch: u64, names: &[&str]) -> RingDefinition {
    let members = names
        .iter()
        .map(|name| RingMember { member: member(name, 1), domain: "kolkata".into() })
        .collect();
    RingDefinition { name: "claims/booking".into(), epoch, members }
}

fn rings(names: &[&str]) -> Vec<LeaseRing> {
    names
        .iter()
        .map(|name| {
            let mut ring = LeaseRing::new(member(name, 1), LeaseOptions::default());
            ring.install(TimePoint::ORIGIN, definition(1, names));
            ring
        })
        .collect()
}

/// Ticks the rings with indexes `up` at `now` and delivers their messages immediately; the others are silent.
fn round(rings: &mut [LeaseRing], up: &[usize], now: TimePoint) {
    let mut queue = Vec::new();
    for &idx in up {
        let mut out = Vec::new();
        rings[idx].tick(now, &mut out);
        queue.extend(out.into_iter().map(|(to, message)| (idx, to, message)));
    }
    while let Some((from, to, message)) = queue.pop() {
        let sender = rings[from].local_member().clone();
        let Some(idx) = up.iter().copied().find(|&idx| *rings[idx].local_member() == to) else {
            continue;
        };
        let mut out = Vec::new();
        rings[idx].receive(now, &sender, message, &mut out);
        queue.extend(out.into_iter().map(|(to, message)| (idx, to, message)));
    }
}

fn run(rings: &mut [LeaseRing], up: &[usize], from_s: u64, to_s: u64) {
    for tenth in from_s * 10..to_s * 10 {
        round(rings, up, TimePoint::from_millis(tenth * 100));
    }
}

#[test]
fn all_hold_the_lease_and_exactly_one_owns_a_key() {
    let mut rings = rings(&["a", "b", "c"]);
    let digest = ContentDigest::of_parts(&[b"key"]);

    run(&mut rings, &[0, 1, 2], 0, 10);

    let now = TimePoint::from_millis(10_000);
    assert!(rings.iter().all(|ring| ring.holds_lease(now)));
    assert_eq!(rings.iter().filter(|ring| ring.owns(now, &digest)).count(), 1);
}

#[test]
fn a_silent_member_loses_its_lease_before_it_is_fenced() {
    let mut rings = rings(&["a", "b", "c"]);
    run(&mut rings, &[0, 1, 2], 0, 10);

    run(&mut rings, &[1, 2], 10, 20);

    let fence = rings[1].fenced_at(&member("a", 1)).unwrap();
    println!("lease ended at {}, fenced at {fence}", rings[0].lease_end());
    assert!(rings[0].lease_end() < fence);
    assert!(fence < TimePoint::from_millis(16_000));
    assert!(!rings[0].holds_lease(fence));
}

#[test]
fn a_fenced_member_that_resumes_never_holds_the_lease_again() {
    let mut rings = rings(&["a", "b", "c"]);
    run(&mut rings, &[0, 1, 2], 0, 10);
    run(&mut rings, &[1, 2], 10, 20);

    run(&mut rings, &[0, 1, 2], 20, 40);

    assert!(!rings[0].holds_lease(TimePoint::from_millis(40_000)));
    assert!(rings[0].is_expelled());
}

#[test]
fn a_ring_of_two_has_no_owner_without_its_other_member_until_a_change_is_written() {
    let mut rings = rings(&["a", "b"]);
    run(&mut rings, &[0, 1], 0, 10);
    run(&mut rings, &[1], 10, 20);
    let now = TimePoint::from_millis(20_000);
    assert!(!rings[1].holds_lease(now));

    let change = rings[1].proposed_change(now, &[]).unwrap();
    rings[1].install(now, change.clone());

    assert_eq!(change, definition(2, &["b"]));
    assert!(rings[1].holds_lease(now));
    assert!(!rings[0].holds_lease(now));
}

#[test]
fn two_members_do_not_vote_against_each_other_after_one_was_suspended() {
    let mut rings = rings(&["a", "b"]);
    run(&mut rings, &[0, 1], 0, 10);
    run(&mut rings, &[1], 10, 16);

    rings[0].resume(TimePoint::from_millis(16_000));
    run(&mut rings, &[0, 1], 16, 20);

    let now = TimePoint::from_millis(20_000);
    assert!(rings[1].holds_lease(now) || rings[1].proposed_change(now, &[]).is_some());
}

#[test]
fn a_member_is_added_only_after_a_fenced_one_is_dropped() {
    let mut rings = rings(&["a", "b", "c"]);
    run(&mut rings, &[0, 1, 2], 0, 10);
    run(&mut rings, &[1, 2], 10, 20);
    let now = TimePoint::from_millis(20_000);
    let eligible = [RingMember { member: member("d", 1), domain: "durgapur".into() }];

    let first = rings[1].proposed_change(now, &eligible).unwrap();
    for ring in &mut rings[1..] {
        ring.install(now, first.clone());
    }
    run(&mut rings, &[1, 2], 20, 22);
    let second = rings[1].proposed_change(TimePoint::from_millis(22_000), &eligible).unwrap();

    assert_eq!(first, definition(2, &["b", "c"]));
    assert!(second.contains(&member("d", 1)));
    assert_eq!(second.members.len(), 3);
}

#[test]
fn a_clean_leave_passes_ownership_on_at_once() {
    let mut rings = rings(&["a", "b", "c"]);
    run(&mut rings, &[0, 1, 2], 0, 10);
    let now = TimePoint::from_millis(10_000);
    let mut out = Vec::new();

    rings[0].leave(now, &mut out);
    for (to, message) in out {
        let idx = rings.iter().position(|ring| *ring.local_member() == to).unwrap();
        rings[idx].receive(now, &member("a", 1), message, &mut Vec::new());
    }

    assert!(!rings[0].holds_lease(now));
    assert_eq!(rings[1].fenced_at(&member("a", 1)), Some(now));
    assert!(rings[1].holds_lease(now) && rings[2].holds_lease(now));
}

#[test]
fn a_promise_counts_from_the_sending_of_its_request() {
    let mut ring = rings(&["a", "b"]).remove(0);
    let sent = TimePoint::from_millis(1_000);
    let reply = LeaseMessage {
        ring: "claims/booking".into(),
        epoch: 1,
        body: LeaseBody::Reply { sent, granted: true, status: FencingStatus::default() },
    };

    ring.receive(TimePoint::from_millis(3_000), &member("b", 1), reply, &mut Vec::new());

    let promise_validity = LeaseOptions::default().promise_validity();
    assert_eq!(ring.lease_end(), sent.plus(promise_validity));
    assert_eq!(promise_validity, Duration::from_millis(3_992));
}

#[test]
fn a_change_waits_until_the_known_votes_keep_a_doubted_member_fenced() {
    let names = ["a", "b", "c", "d", "f"];
    let mut ring = rings(&names).remove(4);
    let now = TimePoint::from_millis(1_000);
    let with_vote = FencingStatus { votes: vec![member("a", 1)], ..Default::default() };
    let mut receive = |from: &str, body: LeaseBody| {
        let message = LeaseMessage { ring: "claims/booking".into(), epoch: 1, body };
        ring.receive(now, &member(from, 1), message, &mut Vec::new());
        ring.proposed_change(now, &[])
    };
    let reply = |status| LeaseBody::Reply { sent: now, granted: true, status };
    receive("a", LeaseBody::Ask { sent: now, status: FencingStatus::default() });
    receive("c", reply(FencingStatus::default()));

    let with_one_vote = receive("b", reply(with_vote.clone()));
    let after_leave = receive("c", LeaseBody::Leave);
    let with_two_votes = receive("d", reply(with_vote));

    assert_eq!(with_one_vote, None);
    assert_eq!(after_leave, None, "one vote of four does not block");
    assert_eq!(with_two_votes, Some(definition(2, &["a", "b", "d", "f"])));
}

#[test]
fn a_restarted_member_proves_the_end_of_its_older_incarnation() {
    let mut rings = rings(&["a", "b", "c"]);
    run(&mut rings, &[0, 1, 2], 0, 10);
    let now = TimePoint::from_millis(10_000);
    let mut newer = LeaseRing::new(member("a", 2), LeaseOptions::default());
    newer.install(now, definition(1, &["a", "b", "c"]));
    let mut out = Vec::new();

    newer.tick(now, &mut out);
    for (to, message) in out {
        let idx = rings.iter().position(|ring| *ring.local_member() == to).unwrap();
        rings[idx].receive(now, newer.local_member(), message, &mut Vec::new());
    }

    assert!(!newer.holds_lease(now));
    assert_eq!(rings[1].fenced_at(&member("a", 1)), Some(now));
    assert_eq!(rings[2].fenced_at(&member("a", 1)), Some(now));
}

#[test]
fn a_member_that_missed_epochs_does_not_claim_to_know_the_earlier_owners() {
    let mut rings = rings(&["a", "b", "c"]);
    run(&mut rings, &[0, 1, 2], 0, 10);
    let now = TimePoint::from_millis(10_000);
    let key = (0_u8..)
        .map(|salt| ContentDigest::of_parts(&[&[salt]]))
        .find(|key| rings[0].owner_of(key) == Some(member("a", 1)))
        .unwrap();
    let has_unknown_owner =
        |ring: &LeaseRing| ring.prior_owners(now, &key, None).iter().any(|it| it.member.is_none());

    rings[0].install(now, definition(2, &["a", "b", "c", "d"]));
    assert!(!has_unknown_owner(&rings[0]));
    rings[0].install(now, definition(4, &["a", "b", "c"]));

    assert!(has_unknown_owner(&rings[0]));
}

#[test]
fn a_member_without_its_lease_does_not_answer_for_earlier_owners() {
    let mut rings = rings(&["a", "b", "c"]);
    run(&mut rings, &[0, 1, 2], 0, 10);
    let key = ContentDigest::of_parts(&[b"key"]);
    let requester = member("d", 1);
    let knows_all_owners = |seconds: u64| {
        let priors =
            rings[0].prior_owners(TimePoint::from_millis(seconds * 1_000), &key, Some(&requester));
        priors.iter().all(|prior| prior.member.is_some())
    };

    assert!(knows_all_owners(10));
    assert!(
        !knows_all_owners(20),
        "others may have owned the key while this member did not hold its lease"
    );
}
