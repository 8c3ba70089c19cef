//! Tests of the reducer with a single daemon.

use super::*;
use crate::{
    id::{CallId, TeamName},
    message::{CallOutcome, RefusalReason},
    settings::{
        ClientAccount, KeyRecord, PriorityClass, Revision, RoutePolicy, SettingsTree, TeamSubtree,
        credential::secret_digest,
    },
};

const SECRET: &str = "meteo-secret";

#[test]
fn a_request_is_answered_while_no_quota_share_has_an_owner() {
    let mut reducer = reducer_with_settings();

    let mut effects = reducer.apply(at(1_000, DaemonEvent::CallReceived(request(7))));
    effects.extend((1..100).flat_map(|idx| reducer.apply(at(1_000 + idx * 5, DaemonEvent::Tick))));

    let answers: Vec<_> = effects.iter().filter_map(refusal_of).collect();
    assert_eq!(answers, [(CallId(7), CallOutcome::NotRun, RefusalReason::OverQuota)]);
}

fn refusal_of(effect: &DaemonEffect) -> Option<(CallId, CallOutcome, RefusalReason)> {
    match effect {
        DaemonEffect::AnswerCall { call, answer: CallAnswer::Refused { outcome, reason, .. } } => {
            Some((*call, *outcome, *reason))
        }
        _ => None,
    }
}

fn reducer_with_settings() -> DaemonReducer {
    let member = MemberId { instance: "tracker-1".into(), incarnation: 1 };
    let identity = DaemonIdentity::new(member, "kolkata", "127.0.0.1:7101");
    let mut reducer = DaemonReducer::new(identity, [7; 32]);
    let reading = SettingsReading::Tree(Box::new(tree()));
    let sent_at = TimePoint::from_millis(0);
    reducer.apply(at(0, DaemonEvent::SettingsRead { sent_at, reading }));
    reducer
}

fn tree() -> SettingsTree {
    let account = ClientAccount { rate_per_s: 100.0, burst: 20.0, weight: None };
    let route = RoutePolicy {
        method: "GET".to_string(),
        path: "/positions".to_string(),
        service: "tracker".into(),
        priority: PriorityClass::Sheddable,
        idempotent: true,
        open: false,
        deadline_ms: 1_000,
        retry_budget: 3,
    };
    let subtree = TeamSubtree {
        accounts: [("meteo".into(), account)].into(),
        routes: [("positions".into(), route)].into(),
        services: Default::default(),
    };
    let record = KeyRecord {
        account: "meteo".into(),
        digest: secret_digest(SECRET),
        issued_at: WallClock::from_millis(0),
    };
    SettingsTree {
        revision: Revision(1),
        teams: [(TeamName::from("stratolift"), subtree)].into(),
        keys: [("meteo-1".into(), record)].into(),
        ..SettingsTree::default()
    }
}

fn request(call: u64) -> CallRequest {
    CallRequest {
        call: CallId(call),
        source: CallSource::Caller(Some(secret_digest(SECRET))),
        method: "GET".to_string(),
        path: "/positions/7".to_string(),
        headers: Vec::new(),
        idempotency_key: None,
        body_digest: ContentDigest::of_parts(&[]),
        time_limit: None,
    }
}

fn at(millis: u64, event: DaemonEvent) -> TimedEvent {
    TimedEvent {
        now: TimePoint::from_millis(millis),
        wall: WallClock::from_millis(1_700_000_000_000 + millis),
        event,
    }
}
