//! Tests of the load generator: schedules, complete runs and the detection of each inconsistency.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use ivytrail_fakes::{
    backend::{BackendFake, BackendSettings, RunLog},
    caller::{
        AccountLoad, CallKind, CallRecord, CallResult, ConsistencyReport, EffectCounts, LoadPhase,
        LoadPlan, LoadProgress, RetryMode, check_consistency, run_load, schedule_calls, summarize,
    },
};

fn plan(entries: Vec<SocketAddr>) -> LoadPlan {
    let account = AccountLoad {
        name: "meteo".to_string(),
        secret: "secret".to_string(),
        offered_per_s: 400.0,
        retry_mode: RetryMode::Immediate,
        max_retries: 2,
    };
    let kind = CallKind {
        name: "book".to_string(),
        method: "POST".to_string(),
        path: "/bookings".to_string(),
        share: 1.0,
        idempotent: false,
        critical: true,
        deadline_ms: 1_000,
        effects: vec!["booking".to_string()],
    };
    let phase = LoadPhase {
        name: "calm".to_string(),
        length_ms: 250,
        factor: 1.0,
        account_factors: BTreeMap::new(),
    };
    LoadPlan {
        seed: 7,
        entries,
        accounts: vec![account],
        kinds: vec![kind],
        phases: vec![phase],
        n_pools: 4,
        grace_ms: 100,
    }
}

fn record(result: CallResult) -> CallRecord {
    CallRecord {
        serial: "s-1".to_string(),
        kind: 0,
        account: 0,
        phase: 0,
        due_at: Duration::ZERO,
        latency: Duration::from_millis(1),
        attempts: 1,
        result,
    }
}

/// Checks one record whose request took effect `n_effects` times.
fn check(result: CallResult, n_effects: u32, expected: &ConsistencyReport) {
    let mut log = RunLog::new("booking");
    for _ in 0..n_effects {
        log.record_effect("s-1");
    }
    let mut effects = EffectCounts::default();
    effects.add_log(&log);

    let report = check_consistency(&plan(vec![]), &[record(result)], &effects);

    assert_eq!(ConsistencyReport { examples: vec![], ..report }, *expected);
}

#[test]
fn inconsistencies_are_detected() {
    let clean = ConsistencyReport::default();
    let not_run = || CallResult::NotRun { reason: "overloaded".to_string() };
    let unknown = || CallResult::Unknown { reason: "connection-lost".to_string() };

    check(CallResult::Complete, 1, &clean);
    check(not_run(), 0, &clean);
    check(unknown(), 0, &clean);
    check(unknown(), 1, &clean);
    check(
        CallResult::Complete,
        2,
        &ConsistencyReport { doubled: 1, ..ConsistencyReport::default() },
    );
    check(unknown(), 2, &ConsistencyReport { doubled: 1, ..ConsistencyReport::default() });
    check(CallResult::Complete, 0, &ConsistencyReport { lost: 1, ..ConsistencyReport::default() });
    check(not_run(), 1, &ConsistencyReport { misreported: 1, ..ConsistencyReport::default() });
    check(
        CallResult::Crossed,
        1,
        &ConsistencyReport { crossed: 1, ..ConsistencyReport::default() },
    );
}

#[test]
fn schedule_is_deterministic_per_seed() {
    let entry = SocketAddr::from(([127, 0, 0, 1], 9));
    let first = schedule_calls(&plan(vec![entry]));
    let second = schedule_calls(&plan(vec![entry]));
    let other = schedule_calls(&LoadPlan { seed: 8, ..plan(vec![entry]) });

    assert_eq!(first, second);
    assert_ne!(first, other);
    assert!(first.is_sorted_by_key(|call| call.due_at));
    assert!((60..140).contains(&first.len()), "{} calls in 250 ms at 400/s", first.len());
}

#[tokio::test]
async fn idle_backend_server_completes_every_request() {
    let settings = BackendSettings { slots: 400, ..BackendSettings::new("booking") };
    let backend = BackendFake::start(settings).await.unwrap();
    let plan = Arc::new(plan(vec![backend.address()]));

    let records = run_load(Arc::clone(&plan), Arc::new(LoadProgress::default())).await.unwrap();
    let mut effects = EffectCounts::default();
    effects.add_log(&backend.log());

    let summary = summarize(&plan, &records);
    assert_eq!((summary.requests, summary.complete), (records.len() as u64, records.len() as u64));
    assert!(check_consistency(&plan, &records, &effects).is_clean());
}
