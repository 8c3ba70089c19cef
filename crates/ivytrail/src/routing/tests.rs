//! Tests of the load balancing across upstreams.

use proptest::{
    prelude::*,
    test_runner::{TestRng, TestRunner},
};

use super::*;

const NOW: TimePoint = TimePoint::from_millis(1_000);

#[test]
fn a_draining_upstream_is_never_picked() {
    let mut picker = picker_with(2);
    picker.upsert(NOW, info(0, true));

    let picked: Vec<MemberId> =
        (0..100).filter_map(|_| picker.pick(NOW, &service(), &[])).collect();

    assert!(picked.iter().all(|it| *it == member(1)));
}

#[test]
fn at_most_a_third_of_the_upstreams_is_ejected() {
    let mut picker = picker_with(6);

    (0..6).for_each(|idx| (0..10).for_each(|_| picker.record_failure(NOW, &member(idx))));

    assert_eq!(picker.services[&service()].n_ejected(NOW), 2);
}

#[test]
fn the_local_domain_is_preferred_until_it_is_loaded() {
    let mut picker = picker_with(2);
    let remote = UpstreamInfo { domain: "durgapur".into(), ..info(2, false) };
    picker.upsert(NOW, remote);
    let load = |in_flight| LoadReport {
        in_flight,
        limit: 10,
        queued: 0,
        level_threshold: u16::MAX,
        chain_threshold: u16::MAX,
    };
    let ramped_up = NOW.plus(Duration::from_secs(10));
    let reply = |picker: &mut UpstreamPicker, in_flight| {
        (0..2).for_each(|idx| {
            picker.record_reply(ramped_up, &member(idx), load(in_flight), Duration::ZERO, true);
        });
        picker.record_reply(ramped_up, &member(2), load(0), Duration::ZERO, true);
        picker.pick(ramped_up, &service(), &[])
    };

    assert_ne!(reply(&mut picker, 2), Some(member(2)));
    assert_eq!(reply(&mut picker, 9), Some(member(2)));
}

#[test]
fn the_load_of_a_new_server_is_ramped_up() {
    let mut picker = picker_with(5);
    let ramped_up = NOW.plus(Duration::from_secs(10));
    picker.upsert(ramped_up, info(9, false));

    let n_new = (0..1_000)
        .filter(|_| {
            let picked = picker.pick(ramped_up, &service(), &[]).unwrap();
            picker.record_sent(ramped_up, &picked);
            let load = LoadReport {
                in_flight: 5,
                limit: 100,
                queued: 0,
                level_threshold: u16::MAX,
                chain_threshold: u16::MAX,
            };
            picker.record_reply(ramped_up, &picked, load, Duration::ZERO, true);
            picked == member(9)
        })
        .count();

    assert!(n_new < 50, "{n_new} of 1,000 attempts went to the new server");
}

#[test]
fn an_ejected_server_is_picked_again_after_its_ejection() {
    let mut picker = picker_with(3);
    (0..5).for_each(|_| picker.record_failure(NOW, &member(0)));
    let picks = |picker: &mut UpstreamPicker, now| {
        (0..200).filter_map(|_| picker.pick(now, &service(), &[])).any(|it| it == member(0))
    };

    assert!(!picks(&mut picker, NOW));
    assert!(picks(&mut picker, NOW.plus(Duration::from_secs(7))));
}

/// Across random joins, removals, drains and failures, a pick returns a known upstream that is neither draining nor
/// excluded, and returns one whenever such an upstream exists.
#[test]
fn randomised_membership_keeps_picks_valid() {
    let config = ProptestConfig { cases: 200, failure_persistence: None, ..Default::default() };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(Default::default()));
    let steps = prop::collection::vec((0..12_u64, 0..6_u8, any::<bool>()), 1..300);

    let checked = runner.run(&steps, |steps| {
        let mut picker = picker_with(0);
        let mut now = NOW;
        for (idx, kind, flag) in steps {
            now = now.plus(Duration::from_millis(50));
            match kind {
                0 => picker.remove(&member(idx)),
                1 | 2 => {
                    let domain = if flag { "kolkata" } else { "durgapur" };
                    let info = UpstreamInfo { domain: domain.into(), ..info(idx, kind == 2) };
                    picker.upsert(now, info);
                }
                3 => picker.record_failure(now, &member(idx)),
                4 => {
                    let load = LoadReport { in_flight: 9, limit: 10, ..LoadReport::default() };
                    picker.record_reply(now, &member(idx), load, Duration::ZERO, flag);
                }
                _ => picker.record_sent(now, &member(idx)),
            }
            let exclude = [member(idx)];
            let allowed: Vec<MemberId> = picker
                .upstreams(&service())
                .filter(|it| !it.draining && !exclude.contains(&it.member))
                .map(|it| it.member.clone())
                .collect();
            let picked = picker.pick(now, &service(), &exclude);
            prop_assert_eq!(picked.is_some(), !allowed.is_empty());
            prop_assert!(picked.is_none_or(|it| allowed.contains(&it)));
        }
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}

fn picker_with(n: u64) -> UpstreamPicker {
    let mut picker = UpstreamPicker::new(RoutingOptions::new("kolkata".into(), 1));
    (0..n).for_each(|idx| picker.upsert(NOW, info(idx, false)));
    picker
}

fn info(idx: u64, draining: bool) -> UpstreamInfo {
    UpstreamInfo { member: member(idx), domain: "kolkata".into(), service: service(), draining }
}

fn member(idx: u64) -> MemberId {
    MemberId { instance: format!("booking-{idx}").into(), incarnation: idx }
}

fn service() -> ServiceName {
    "booking".into()
}
