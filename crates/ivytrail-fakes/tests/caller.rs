//! The caller stand-in sends what its plan says and finds each kind of wrong end.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use ivytrail_fakes::{
    backend::{BackendFake, BackendSettings, RunLog},
    caller::{
        AccountLoad, CallEnd, CallKind, CallRecord, EffectCounts, LoadPhase, LoadPlan,
        LoadProgress, LoadVerdict, ResendMode, judge_records, run_load, schedule_calls, summarize,
    },
};

fn plan(entries: Vec<SocketAddr>) -> LoadPlan {
    let account = AccountLoad {
        name: "meteo".to_string(),
        secret: "secret".to_string(),
        offered_per_s: 400.0,
        mode: ResendMode::Hard,
        max_resends: 2,
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

fn record(end: CallEnd) -> CallRecord {
    CallRecord {
        serial: "s-1".to_string(),
        kind: 0,
        account: 0,
        phase: 0,
        due_at: Duration::ZERO,
        latency: Duration::from_millis(1),
        attempts: 1,
        end,
    }
}

/// Judges one record whose request took effect `n_effects` times.
fn check(end: CallEnd, n_effects: u32, expected: &LoadVerdict) {
    let mut log = RunLog::new("booking");
    for _ in 0..n_effects {
        log.record_effect("s-1");
    }
    let mut effects = EffectCounts::default();
    effects.add_log(&log);

    let verdict = judge_records(&plan(vec![]), &[record(end)], &effects);

    assert_eq!(LoadVerdict { examples: vec![], ..verdict }, *expected);
}

#[test]
fn wrong_ends_are_found() {
    let clean = LoadVerdict::default();
    let not_run = || CallEnd::NotRun { reason: "overloaded".to_string() };
    let unknown = || CallEnd::Unknown { reason: "connection-lost".to_string() };

    check(CallEnd::Whole, 1, &clean);
    check(not_run(), 0, &clean);
    check(unknown(), 0, &clean);
    check(unknown(), 1, &clean);
    check(CallEnd::Whole, 2, &LoadVerdict { doubled: 1, ..LoadVerdict::default() });
    check(unknown(), 2, &LoadVerdict { doubled: 1, ..LoadVerdict::default() });
    check(CallEnd::Whole, 0, &LoadVerdict { lost: 1, ..LoadVerdict::default() });
    check(not_run(), 1, &LoadVerdict { misreported: 1, ..LoadVerdict::default() });
    check(CallEnd::Crossed, 1, &LoadVerdict { crossed: 1, ..LoadVerdict::default() });
}

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let entry = SocketAddr::from(([127, 0, 0, 1], 9));
    let first = schedule_calls(&plan(vec![entry]));
    let second = schedule_calls(&plan(vec![entry]));
    let other = schedule_calls(&LoadPlan { seed: 8, ..plan(vec![entry]) });

    assert_eq!(first, second);
    assert_ne!(first, other);
    assert!(first.is_sorted_by_key(|call| call.at));
    assert!((60..140).contains(&first.len()), "{} calls in 250 ms at 400/s", first.len());
}

#[tokio::test]
async fn an_idle_backend_server_answers_every_request_whole() {
    let settings = BackendSettings { slots: 400, ..BackendSettings::new("booking") };
    let backend = BackendFake::start(settings).await.unwrap();
    let plan = Arc::new(plan(vec![backend.address()]));

    let records = run_load(Arc::clone(&plan), Arc::new(LoadProgress::default())).await.unwrap();
    let mut effects = EffectCounts::default();
    effects.add_log(&backend.log());

    let summary = summarize(&plan, &records);
    assert_eq!((summary.requests, summary.whole), (records.len() as u64, records.len() as u64));
    assert!(judge_records(&plan, &records, &effects).is_clean());
}
