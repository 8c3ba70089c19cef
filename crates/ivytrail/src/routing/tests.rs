//! Tests of the choice of upstreams.

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
fn the_bound_on_ejected_upstreams_holds() {
    let mut picker = picker_with(6);

    (0..6).for_each(|idx| (0..10).for_each(|_| picker.note_failure(NOW, &member(idx))));

    assert_eq!(picker.services[&service()].n_ejected(NOW), 2);
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
