//! Regression tests for reducer faults that randomised runs revealed.

use std::{sync::mpsc, thread, time::Duration};

use ivytrail::{
    id::{CallId, ContentDigest, MemberId},
    lease::{RingDefinition, RingMember},
    reducer::{
        CallRequest, CallSource, DaemonEvent, DaemonIdentity, DaemonReducer, FleetUpdate,
        SettingsReading, TimedEvent,
    },
    settings::{SettingsTree, credential::secret_digest},
    time::{TimePoint, WallClock},
};
use ivytrail_tests::{
    daemon_fleet::{
        BackendMode, CallerRequest, DaemonFleet, FleetFault, KeyKind, MS, MessageFaultRates,
    },
    firms::{RouteRole, change, secret_of, stratolift},
    invariants::check_invariants,
};

/// Time limit for a step of the reducer, which allows for a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a daemon with a firm's settings but without a ring.
fn ringless_daemon() -> DaemonReducer {
    let member = MemberId { instance: "booking-1".into(), incarnation: 1 };
    let identity = DaemonIdentity::new(member, "kolkata", "booking-1");
    let mut reducer = DaemonReducer::new(identity, [7; 32]);
    let mut tree = SettingsTree::default();
    for (revision, edit) in (1..).zip(stratolift().changes()) {
        tree.apply(&change(revision, edit)).expect("revisions are consecutive");
    }
    let reading = SettingsReading::Tree(Box::new(tree));
    let sent_at = TimePoint::from_millis(0);
    reducer.apply(at(0, DaemonEvent::SettingsRead { sent_at, reading }));
    reducer
}

fn at(ms: u64, event: DaemonEvent) -> TimedEvent {
    let wall = WallClock::from_millis(1_790_000_000_000 + ms);
    TimedEvent { now: TimePoint::from_millis(ms), wall, event }
}

fn keyed_call() -> DaemonEvent {
    DaemonEvent::CallReceived(CallRequest {
        call: CallId(1),
        source: CallSource::Caller(Some(secret_digest(&secret_of("meteo")))),
        method: "GET".to_string(),
        path: "/quotes/1".to_string(),
        headers: Vec::new(),
        idempotency_key: None,
        body_digest: ContentDigest::of_parts(&[]),
        time_limit: None,
    })
}

/// Returns the number of over-quota answers to a call with a key.
///
/// # Panics
///
/// Panics if the reducer doesn't complete a step in time.
fn over_quota_answers(mut reducer: DaemonReducer, is_ticked: bool) -> usize {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let mut effects = reducer.apply(at(10, keyed_call()));
        if is_ticked {
            effects.extend((2..200).flat_map(|it| reducer.apply(at(it * 10, DaemonEvent::Tick))));
        }
        sender.send(effects.iter().filter(|it| format!("{it:?}").contains("OverQuota")).count())
    });
    receiver.recv_timeout(STEP_TIMEOUT).expect("the reducer didn't complete a step in time")
}

#[test]
fn a_keyed_call_before_any_ring_is_formed_is_refused_in_time() {
    assert_eq!(over_quota_answers(ringless_daemon(), true), 1);
}

#[test]
fn a_keyed_call_at_an_owner_without_shares_terminates() {
    let mut reducer = ringless_daemon();
    let member = reducer.local_record().member.clone();
    let members = vec![RingMember { member, domain: "kolkata".into() }];
    let definition = RingDefinition { name: "control".into(), epoch: 1, members };
    reducer.apply(at(5, DaemonEvent::FleetUpdated(FleetUpdate::Ring(definition))));
    assert_eq!(over_quota_answers(reducer, false), 0);
}

/// Returns the violations when calls reach the owner of all their account's shares while its lease ends, since it is
/// disconnected from the other member.
fn violations_at_lease_end() -> Vec<String> {
    let firm = stratolift();
    let services = [RouteRole::KeyedRead, RouteRole::KeyedRead].map(|it| firm.service(it));
    let route = firm.route(RouteRole::KeyedRead);
    let mut fleet = DaemonFleet::new(firm, &services, 7);
    fleet.schedule_fault(12_000 * MS, FleetFault::Partition(0, 1, 8_000));
    for request in 0..500 {
        let at = 14_800 * MS + request * 3 * MS;
        let mut caller_request = CallerRequest::new(at, request, route, 1);
        caller_request.account = Some(1);
        fleet.schedule_call(caller_request);
    }
    fleet.run_until(20_000 * MS);
    check_invariants(&fleet)
}

#[test]
fn a_keyed_call_at_an_owner_whose_lease_has_just_ended_terminates() {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || sender.send(violations_at_lease_end()));
    let violations = receiver.recv_timeout(STEP_TIMEOUT);
    assert_eq!(violations, Ok(Vec::new()), "the reducer didn't complete a step in time");
}

/// Returns the violations when a completed request is resent, and all messages that are sent in one millisecond,
/// `delay_at_ms` after the resend, are delayed.
fn violations_after_delayed_resend(delay_at_ms: u64) -> Vec<String> {
    let firm = stratolift();
    let services = [RouteRole::InnerWrite, RouteRole::OpenRead].map(|it| firm.service(it));
    let route = firm.route(RouteRole::InnerWrite);
    let mut fleet = DaemonFleet::new(firm, &services, 7);
    for at in [12_000, 13_000] {
        let mut caller_request = CallerRequest::new(at * MS, 1, route, 1);
        caller_request.key = KeyKind::Opaque;
        fleet.schedule_call(caller_request);
    }
    let rates = MessageFaultRates { delayed: 1_000, ..MessageFaultRates::default() };
    fleet.schedule_fault((13_000 + delay_at_ms) * MS, FleetFault::Queue(rates, 1));
    fleet.run_until(18_000 * MS);
    assert_eq!(fleet.runs.len(), 1);
    check_invariants(&fleet)
}

#[test]
fn a_resend_whose_attempt_has_a_tombstone_is_not_reported_as_not_run() {
    for delay_at_ms in 0..8 {
        assert_eq!(
            violations_after_delayed_resend(delay_at_ms),
            Vec::<String>::new(),
            "delayed at {delay_at_ms} ms"
        );
    }
}

#[test]
fn a_refused_retry_proves_nothing_about_the_first_attempt() {
    let firm = stratolift();
    let services = [RouteRole::KeyedRead, RouteRole::KeyedRead].map(|it| firm.service(it));
    let route = firm.route(RouteRole::KeyedRead);
    let mut fleet = DaemonFleet::new(firm, &services, 7);
    fleet.schedule_fault(11_990 * MS, FleetFault::Backend(0, BackendMode::Truncating));
    fleet.schedule_fault(11_990 * MS, FleetFault::Backend(1, BackendMode::Shedding));
    for request in 1..10 {
        let at = (12_000 + request * 20) * MS;
        fleet.schedule_call(CallerRequest::new(at, request, route, request as usize % 2));
    }
    fleet.run_until(16_000 * MS);
    assert_ne!(fleet.runs.len(), 0);
    assert_eq!(check_invariants(&fleet), Vec::<String>::new());
}

#[test]
fn a_daemon_without_settings_does_not_report_a_resend_as_not_run() {
    let member = MemberId { instance: "booking-1".into(), incarnation: 2 };
    let identity = DaemonIdentity::new(member, "kolkata", "booking-1");
    let mut reducer = DaemonReducer::new(identity, [7; 32]);
    let DaemonEvent::CallReceived(mut request) = keyed_call() else { return };
    request.idempotency_key = Some("request 1".to_string());
    let effects = reducer.apply(at(10, DaemonEvent::CallReceived(request)));
    let text = format!("{effects:?}");
    assert!(text.contains("outcome: Unknown"), "{text}");
}

/// A daemon that was suspended for less time than the validity of its evidence once admitted a withdrawn key when it
/// resumed, since it relied on evidence from before the suspension.
#[test]
fn a_resumed_daemon_does_not_rely_on_old_evidence() {
    let firm = stratolift();
    let services = [firm.service(RouteRole::OuterWrite), firm.service(RouteRole::InnerWrite)];
    let mut fleet = DaemonFleet::new(firm, &services, 5);
    let withdrawn_at = 9_200 * MS;
    fleet.schedule_fault(withdrawn_at, FleetFault::Withdraw(0));
    fleet.schedule_fault(withdrawn_at + MS, FleetFault::Pause(1, 2_500, false));
    for request in 1..=20 {
        let route = fleet.firm.route(RouteRole::InnerWrite);
        fleet.schedule_call(CallerRequest::new(withdrawn_at + 2_000 * MS, request, route, 1));
    }

    fleet.run_until(20_000 * MS);

    let admitted = fleet.calls.values().filter(|it| !it.attempts.is_empty()).count();
    assert_eq!(admitted, 0, "requests with a withdrawn key were admitted");
    assert_eq!(check_invariants(&fleet), Vec::<String>::new());
}
