//! Faults of the reducer that randomised runs found, each as a small session.

use std::{sync::mpsc, thread, time::Duration};

use ivytrail::{
    id::{CallId, ContentDigest, MemberId},
    reducer::{CallRequest, CallSource, DaemonEvent, DaemonIdentity, DaemonReducer, TimedEvent},
    settings::{SettingsTree, credential::secret_digest, index::SettingsInForce},
    time::{TimePoint, WallClock},
};
use ivytrail_tests::firms::{change, secret_of, stratolift};

/// Time within which a step of the reducer ends, also on a busy machine.
const STEP_PATIENCE: Duration = Duration::from_secs(20);

/// Returns a daemon that knows the firm's settings and no ring.
fn ringless_daemon() -> DaemonReducer {
    let member = MemberId { instance: "booking-1".into(), incarnation: 1 };
    let identity = DaemonIdentity::new(member, "kolkata", "booking-1");
    let mut reducer = DaemonReducer::new(identity, [7; 32]);
    let mut tree = SettingsTree::default();
    for (revision, edit) in (1..).zip(stratolift().changes()) {
        tree.apply(&change(revision, edit)).unwrap();
    }
    let until = TimePoint::from_millis(3_000);
    reducer.apply(at(0, DaemonEvent::SettingsInstalled(SettingsInForce::new(tree))));
    reducer.apply(at(0, DaemonEvent::AuthorityConfirmed { until }));
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

#[test]
fn a_keyed_call_before_any_ring_is_founded_is_refused_in_time() {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let mut reducer = ringless_daemon();
        reducer.apply(at(10, keyed_call()));
        let answers = (2..200).flat_map(|it| reducer.apply(at(it * 10, DaemonEvent::Tick)));
        sender.send(answers.filter(|it| format!("{it:?}").contains("OverQuota")).count())
    });
    let n_answers = receiver.recv_timeout(STEP_PATIENCE);
    assert_eq!(n_answers, Ok(1), "the reducer has to end each step");
}
