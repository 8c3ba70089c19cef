//! Names, reducers, servers and settings of the simulated fleet.

use std::time::Duration;

use ivytrail::{
    id::{ContentDigest, InstanceName, MemberId},
    mesh::{
        MeshOptions, MeshReducer,
        frame::{ServerAdvertisement, ServerPhase},
        policy::{AccountPolicy, FleetDeclaration, RoutePolicy, RouteTarget},
        retry_budget::RetryPolicy,
    },
};

use crate::load::{CLASSES, RETRY_RATIO, SERVICES};

/// Number of failure domains.
pub const N_DOMAINS: usize = 5;
/// Key of the only client account.
pub const KEY: &[u8] = b"key";

pub fn name_of(idx: usize) -> InstanceName {
    format!("i-{idx}").into()
}

pub fn address_of(idx: usize) -> String {
    format!("10.0.0.{idx}:7000")
}

pub fn reducer_of(idx: usize, service: usize) -> MeshReducer {
    MeshReducer::new(MeshOptions {
        member: MemberId { instance: name_of(idx), incarnation: 1 },
        domain: format!("domain-{}", idx % N_DOMAINS).into(),
        address: address_of(idx),
        service: SERVICES[service].name.into(),
        retry_policy: RetryPolicy { ratio: RETRY_RATIO, window_s: 10.0, base_allowance: 124.0 },
        seed: idx as u64,
    })
}

pub fn server_of(idx: usize, service: usize) -> ServerAdvertisement {
    ServerAdvertisement {
        id: format!("server-{idx}").into(),
        started_at_ms: 1,
        service: SERVICES[service].name.into(),
        slots: SERVICES[service].slots,
        phase: ServerPhase::Ready,
        warm_up: Duration::ZERO,
    }
}

/// Returns settings with one route for each class and one account without a rate limit.
pub fn declaration() -> FleetDeclaration {
    let routes = CLASSES.iter().map(|class| RoutePolicy {
        name: class.name.into(),
        host: "mesh.example".to_string(),
        prefix: format!("/{}/", class.name),
        is_idempotent: class.is_idempotent,
        timeout: Duration::from_millis(class.timeout_ms),
        target_latency: Duration::from_millis(class.target_ms),
        priority: class.priority,
        targets: vec![RouteTarget { service: SERVICES[class.service].name.into(), weight: 1 }],
        max_attempts: 2,
        is_public: class.mix == 0.0,
    });
    let account = AccountPolicy {
        name: "client".into(),
        keys: vec![ContentDigest::of_parts(&[KEY])],
        priority: Some(1),
        rate_per_s: 0.0,
        burst: 0.0,
    };
    FleetDeclaration {
        version: 1,
        routes: routes.collect(),
        accounts: vec![account],
        ..FleetDeclaration::default()
    }
}
