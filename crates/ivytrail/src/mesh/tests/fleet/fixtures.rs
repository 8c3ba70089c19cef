//! Requests, responses, servers and settings of the test fleet.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{CLIENT, INITIAL_SERVER_START_MS, SLOTS, TIMEOUT, VERSION};
use crate::{
    id::{CallId, ContentDigest},
    mesh::{
        event::{CallAnswer, CallRequest, RunEnd},
        frame::{ServerAdvertisement, ServerPhase},
        policy::{
            AccountPolicy, FleetDeclaration, FleetSettings, RoutePolicy, RouteTarget,
            ServicePolicy, WarmUpPolicy,
        },
    },
    message::{CallOutcome, RefusalReason},
};

pub(in super::super) fn server_advertisement(daemon: usize, service: &str) -> ServerAdvertisement {
    ServerAdvertisement {
        id: format!("server-{daemon}").into(),
        started_at_ms: INITIAL_SERVER_START_MS,
        service: service.into(),
        slots: SLOTS,
        phase: ServerPhase::Ready,
        warm_up: Duration::ZERO,
    }
}

pub(in super::super) fn call_of(id: u64, route: &str) -> CallRequest {
    CallRequest {
        call: CallId(id),
        request_id: format!("r{id}").into(),
        method: "GET".into(),
        host: "a.example".into(),
        target: format!("/{route}/{id}").into(),
        headers: Vec::new(),
        key: Some(ContentDigest::of_parts(&[b"key"])),
        time_limit: Some(Duration::from_secs(5)),
        body: Bytes::from_static(b"body"),
    }
}

/// Returns a request without an API key, for a public route.
pub(in super::super) fn public_call_of(id: u64, route: &str) -> CallRequest {
    CallRequest { key: None, ..call_of(id, route) }
}

/// Returns a nested call that a running request makes on a public route.
pub(in super::super) fn nested_call_of(id: u64, parent_id: &str, route: &str) -> CallRequest {
    CallRequest { request_id: format!("{parent_id}.{id}").into(), ..public_call_of(id, route) }
}

pub(in super::super) fn answered(status: u16) -> RunEnd {
    RunEnd::Answered { status, headers: Vec::new(), body: Bytes::from_static(b"answer") }
}

pub(in super::super) fn answered_with(n_bytes: usize) -> RunEnd {
    RunEnd::Answered { status: 200, headers: Vec::new(), body: Bytes::from(vec![0; n_bytes]) }
}

pub(in super::super) fn refused(
    answer: Option<CallAnswer>,
) -> (CallOutcome, RefusalReason, Option<Duration>) {
    match answer {
        Some(CallAnswer::Refused { outcome, reason, retry_after }) => {
            (outcome, reason, retry_after)
        }
        other => panic!("expected a refusal, found {other:?}"),
    }
}

const READ_TARGET: Duration = Duration::from_millis(1_500);
/// Target latency of the route `release`.
pub(in super::super) const RELEASE_TARGET: Duration = Duration::from_millis(200);

pub(super) fn settings_of(version: u64, rate_per_s: f64, burst: f64) -> Arc<FleetSettings> {
    Arc::new(FleetSettings::new(declaration_of(version, rate_per_s, burst)))
}

/// Returns the initial settings, with servers that need a warm-up.
pub(super) fn settings_with_warm_up(policy: WarmUpPolicy) -> Arc<FleetSettings> {
    let mut declaration = declaration_of(VERSION, 0.0, 0.0);
    declaration.services.iter_mut().for_each(|it| it.warm_up = Some(policy));
    Arc::new(FleetSettings::new(declaration))
}

fn declaration_of(version: u64, rate_per_s: f64, burst: f64) -> FleetDeclaration {
    let route = |name: &str, service: &str, is_idempotent: bool, target_latency| RoutePolicy {
        name: name.into(),
        host: "a.example".to_string(),
        prefix: format!("/{name}/"),
        is_idempotent,
        timeout: TIMEOUT,
        target_latency,
        priority: 0,
        targets: vec![RouteTarget { service: service.into(), weight: 1 }],
        max_attempts: 2,
        is_public: false,
    };
    let account = AccountPolicy {
        name: CLIENT.into(),
        keys: vec![ContentDigest::of_parts(&[b"key"])],
        priority: None,
        rate_per_s,
        burst,
    };
    let services = ["tracker", "booking"].map(|name| ServicePolicy {
        name: name.into(),
        health_path: "/health".to_string(),
        warm_up: None,
    });
    let without_key = |route: RoutePolicy| RoutePolicy { is_public: true, ..route };
    FleetDeclaration {
        version,
        routes: vec![
            route("track", "tracker", true, READ_TARGET),
            route("book", "booking", false, READ_TARGET),
            route("release", "booking", false, RELEASE_TARGET),
            without_key(route("ledger", "booking", true, READ_TARGET)),
            without_key(route("reserve", "booking", false, READ_TARGET)),
        ],
        accounts: vec![account],
        services: services.into(),
        ..FleetDeclaration::default()
    }
}
