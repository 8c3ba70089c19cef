//! Determinism of the simulation: the same scenario always produces the same session text.

use ivytrail_tests::{
    daemon_fleet::{CallerRequest, DaemonFleet, FleetFault, KeyKind, MS},
    firms::{RouteRole, stratolift},
    session::SessionTrace,
};

/// Returns the text of a session with quotas, crashes that break several requests, a handover and a restart.
fn session_text() -> String {
    let firm = stratolift();
    let services = [RouteRole::InnerWrite, RouteRole::InnerWrite, RouteRole::KeyedRead];
    let services = services.map(|it| firm.service(it));
    let (writing, reading) = (firm.route(RouteRole::InnerWrite), firm.route(RouteRole::KeyedRead));
    let mut fleet = DaemonFleet::new(firm, &services, 3);
    fleet.trace = Some(SessionTrace::default());
    for request in 1..200 {
        let at = 12_000 * MS + request * 13 * MS;
        let entry = request as usize % 3;
        let mut caller_request = CallerRequest::new(at, request, writing, entry);
        caller_request.key = KeyKind::Timed;
        caller_request.account = Some(entry % 2);
        fleet.schedule_call(caller_request);
        let is_poison = request % 60 == 0;
        let caller_request = CallerRequest::new(at, 1_000 + request, reading, entry);
        fleet.schedule_call(CallerRequest { is_poison, ..caller_request });
    }
    fleet.schedule_fault(13_000 * MS, FleetFault::Restart(2));
    fleet.schedule_fault(13_500 * MS, FleetFault::Leave(0));
    fleet.run_until(18_000 * MS);
    assert_eq!(fleet.violations, Vec::<String>::new());
    fleet.trace.as_ref().map_or("", |it| it.text()).to_string()
}

#[test]
fn the_same_events_produce_the_same_effects() {
    let first = session_text();
    assert!(first.contains("claim handover of"));
    for _ in 0..5 {
        let again = session_text();
        let diff = similar::TextDiff::from_lines(&first, &again);
        let diff = diff.unified_diff().context_radius(1).to_string();
        assert!(diff.is_empty(), "{}", diff.chars().take(2_000).collect::<String>());
    }
}
