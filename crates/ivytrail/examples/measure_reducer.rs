//! Measures the reducer alone: events a second on the path of a call, and how its cost grows with members, accounts,
//! routes and changes. Prints JSON lines.
//!
//! One reducer plays the entry and the guard of the same call, so a call is four events: the request, the attempt, the
//! end of its run and the answer.

use std::{hint::black_box, time::Instant};

use bytes::Bytes;
use ivytrail::{
    id::{AccountName, CallId, ContentDigest, MemberId},
    membership::{MemberRecord, MemberState},
    reducer::{
        BackendAnnouncement, BackendState, CallRequest, CallSource, DaemonEffect, DaemonEvent,
        DaemonIdentity, DaemonReducer, FleetUpdate, RunEnd, SettingsReading, TimedEvent,
    },
    settings::{ClientAccount, Revision, RoutePolicy, SettingsTree, TeamSubtree},
    time::{TimePoint, WallClock},
};

const CALLS: u64 = 20_000;
const RUNS: usize = 5;
const EVENTS_PER_CALL: f64 = 4.0;

/// How large the fleet is that the reducer knows.
#[derive(Clone, Copy)]
struct FleetSize {
    members: usize,
    accounts: usize,
    routes: usize,
}

const SMALL: FleetSize = FleetSize { members: 12, accounts: 8, routes: 8 };

fn main() {
    let base = median_us(SMALL);
    let per_s = EVENTS_PER_CALL * 1e6 / base;
    print("reducer_events_per_s", "12 members, 8 accounts, 8 routes", per_s, "1/s");
    print("cost_per_call", "12 members, 8 accounts, 8 routes", base, "us");
    let sizes = [
        ("cost_per_member", FleetSize { members: 6_800, ..SMALL }, "6,800 members"),
        ("cost_per_account", FleetSize { accounts: 2_000, ..SMALL }, "2,000 accounts"),
        ("cost_per_route", FleetSize { routes: 2_000, ..SMALL }, "2,000 routes"),
    ];
    for (measure, size, case) in sizes {
        print(measure, case, median_us(size), "us per call");
    }
    print("cost_per_change", "2,000 accounts, 2,000 routes", change_us(), "us per change");
    print("cost_per_tick", "6,800 members", tick_us(), "us per tick");
}

fn print(measure: &str, case: &str, value: f64, unit: &str) {
    let value = (value * 100.0).round() / 100.0;
    println!(
        "{}",
        serde_json::json!({
            "measure": measure, "case": case, "value": value, "unit": unit, "baseline": null, "runs": RUNS
        })
    );
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn median_us(size: FleetSize) -> f64 {
    let runs = (0..RUNS).map(|_| {
        let mut bench = ReducerBench::new(size);
        let started = Instant::now();
        (0..CALLS).for_each(|call| bench.call(call));
        started.elapsed().as_secs_f64() * 1e6 / CALLS as f64
    });
    median(runs.collect())
}

fn change_us() -> f64 {
    let size = FleetSize { accounts: 2_000, routes: 2_000, ..SMALL };
    let runs = (0..RUNS as u64).map(|idx| {
        let mut bench = ReducerBench::new(size);
        let tree = tree(size, Revision(2 + idx));
        let started = Instant::now();
        bench.install(tree);
        started.elapsed().as_secs_f64() * 1e6
    });
    median(runs.collect())
}

fn tick_us() -> f64 {
    const TICKS: u64 = 2_000;
    let runs = (0..RUNS).map(|_| {
        let mut bench = ReducerBench::new(FleetSize { members: 6_800, ..SMALL });
        let started = Instant::now();
        for _ in 0..TICKS {
            bench.now = bench.now.plus(std::time::Duration::from_millis(5));
            black_box(bench.apply(DaemonEvent::Tick));
        }
        started.elapsed().as_secs_f64() * 1e6 / TICKS as f64
    });
    median(runs.collect())
}

struct ReducerBench {
    reducer: DaemonReducer,
    now: TimePoint,
}

impl ReducerBench {
    fn new(size: FleetSize) -> ReducerBench {
        let identity = DaemonIdentity::new(member(0), "domain-0", "127.0.0.1:7100");
        let reducer = DaemonReducer::new(identity, [7; 32]);
        let mut bench = ReducerBench { reducer, now: TimePoint::from_millis(1) };
        bench.install(tree(size, Revision(1)));
        let notice = BackendAnnouncement {
            service: "service-0".into(),
            slots: 100,
            state: BackendState::Serving,
        };
        bench.apply(DaemonEvent::BackendAnnounced(notice));
        for idx in 1..size.members {
            let fact = FleetUpdate::Member(record(idx));
            bench.apply(DaemonEvent::FleetUpdated(fact));
        }
        bench.apply(DaemonEvent::Tick);
        bench
    }

    fn apply(&mut self, event: DaemonEvent) -> Vec<DaemonEffect> {
        let wall = WallClock::from_millis(1_700_000_000_000);
        self.reducer.apply(TimedEvent { now: self.now, wall, event })
    }

    fn install(&mut self, tree: SettingsTree) {
        let reading = SettingsReading::Tree(Box::new(tree));
        self.apply(DaemonEvent::SettingsRead { sent_at: self.now, reading });
    }

    /// Runs one call from its request to its answer.
    fn call(&mut self, call: u64) {
        self.now = self.now.plus(std::time::Duration::from_micros(50));
        let mut pending = self.apply(DaemonEvent::CallReceived(request(call)));
        while let Some(effect) = pending.pop() {
            let event = match effect {
                DaemonEffect::SendAttempt { header, .. } => DaemonEvent::AttemptReceived(header),
                DaemonEffect::StartRun { attempt, .. } => DaemonEvent::RunEnded {
                    attempt,
                    end: RunEnd::Answered { status: 200, headers: Vec::new(), body: Bytes::new() },
                },
                DaemonEffect::SendReply { reply, body } => {
                    DaemonEvent::AttemptAnswered { reply: *reply, body }
                }
                DaemonEffect::AnswerCall { .. } => return,
                _ => continue,
            };
            pending.extend(self.apply(event));
        }
        panic!("call {call} has no answer");
    }
}

fn member(idx: usize) -> MemberId {
    MemberId { instance: format!("instance-{idx}").into(), incarnation: 1 }
}

fn record(idx: usize) -> MemberRecord {
    MemberRecord {
        member: member(idx),
        domain: format!("domain-{}", idx % 15).into(),
        peer_address: format!("127.0.0.1:{}", 7_100 + idx),
        service: Some(format!("service-{}", 1 + idx / 20).into()),
        state: MemberState::Serving,
        version: 1,
        slots: 100,
    }
}

fn tree(size: FleetSize, revision: Revision) -> SettingsTree {
    let account = ClientAccount { rate_per_s: 100.0, burst: 20.0, weight: None };
    let accounts = (0..size.accounts)
        .map(|idx| (AccountName::from(format!("account-{idx}")), account.clone()));
    let routes = (0..size.routes).map(|idx| {
        let policy = RoutePolicy {
            method: "GET".to_string(),
            path: format!("/route-{idx}"),
            service: "service-0".into(),
            priority: Default::default(),
            idempotent: true,
            open: true,
            deadline_ms: 1_000,
            retry_budget: 3,
        };
        (format!("route-{idx}").into(), policy)
    });
    let subtree = TeamSubtree {
        accounts: accounts.collect(),
        routes: routes.collect(),
        services: Default::default(),
    };
    SettingsTree { revision, teams: [("team".into(), subtree)].into(), keys: Default::default() }
}

fn request(call: u64) -> CallRequest {
    CallRequest {
        call: CallId(call),
        source: CallSource::Caller(None),
        method: "GET".to_string(),
        path: "/route-0/7".to_string(),
        headers: Vec::new(),
        idempotency_key: None,
        body_digest: ContentDigest::of_parts(&[]),
        time_limit: None,
    }
}
