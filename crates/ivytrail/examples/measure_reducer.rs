//! Measures the reducer's time per call, settings change and tick, and how it grows with the numbers of members,
//! accounts and routes. Prints JSON lines.
//!
//! One reducer acts as both the entry and the guard of a call, so each call takes four events: the request, the
//! attempt, the end of its run and the response.

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

const N_CALLS: u64 = 20_000;
const N_RUNS: usize = 5;
const EVENTS_PER_CALL: f64 = 4.0;

/// Size of the fleet and its settings.
#[derive(Clone, Copy)]
struct FleetSize {
    members: usize,
    accounts: usize,
    routes: usize,
}

const SMALL_FLEET: FleetSize = FleetSize { members: 12, accounts: 8, routes: 8 };

fn main() {
    let base = median_call_us(SMALL_FLEET);
    let per_s = EVENTS_PER_CALL * 1e6 / base;
    print("reducer_events_per_s", "12 members, 8 accounts, 8 routes", per_s, "1/s");
    print("cost_per_call", "12 members, 8 accounts, 8 routes", base, "us");
    let sizes = [
        ("cost_per_member", FleetSize { members: 6_800, ..SMALL_FLEET }, "6,800 members"),
        ("cost_per_account", FleetSize { accounts: 2_000, ..SMALL_FLEET }, "2,000 accounts"),
        ("cost_per_route", FleetSize { routes: 2_000, ..SMALL_FLEET }, "2,000 routes"),
    ];
    for (measure, size, case) in sizes {
        print(measure, case, median_call_us(size), "us per call");
    }
    print("cost_per_change", "2,000 accounts, 2,000 routes", median_change_us(), "us per change");
    print("cost_per_tick", "6,800 members", median_tick_us(), "us per tick");
}

fn print(measure: &str, case: &str, value: f64, unit: &str) {
    let value = (value * 100.0).round() / 100.0;
    println!(
        "{}",
        serde_json::json!({
            "measure": measure, "case": case, "value": value, "unit": unit, "baseline": null, "runs": N_RUNS
        })
    );
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn median_call_us(size: FleetSize) -> f64 {
    let runs = (0..N_RUNS).map(|_| {
        let mut bench = ReducerBench::new(size);
        let started = Instant::now();
        (0..N_CALLS).for_each(|call| bench.run_call(call));
        started.elapsed().as_secs_f64() * 1e6 / N_CALLS as f64
    });
    median(runs.collect())
}

fn median_change_us() -> f64 {
    let size = FleetSize { accounts: 2_000, routes: 2_000, ..SMALL_FLEET };
    let runs = (0..N_RUNS as u64).map(|idx| {
        let mut bench = ReducerBench::new(size);
        let tree = tree(size, Revision(2 + idx));
        let started = Instant::now();
        bench.install_settings(tree);
        started.elapsed().as_secs_f64() * 1e6
    });
    median(runs.collect())
}

fn median_tick_us() -> f64 {
    const N_TICKS: u64 = 2_000;
    let runs = (0..N_RUNS).map(|_| {
        let mut bench = ReducerBench::new(FleetSize { members: 6_800, ..SMALL_FLEET });
        let started = Instant::now();
        for _ in 0..N_TICKS {
            bench.now = bench.now.plus(std::time::Duration::from_millis(5));
            black_box(bench.apply(DaemonEvent::Tick));
        }
        started.elapsed().as_secs_f64() * 1e6 / N_TICKS as f64
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
        bench.install_settings(tree(size, Revision(1)));
        let announcement = BackendAnnouncement {
            service: "service-0".into(),
            slots: 100,
            state: BackendState::Serving,
        };
        bench.apply(DaemonEvent::BackendAnnounced(announcement));
        for idx in 1..size.members {
            let update = FleetUpdate::Member(record(idx));
            bench.apply(DaemonEvent::FleetUpdated(update));
        }
        bench.apply(DaemonEvent::Tick);
        bench
    }

    fn apply(&mut self, event: DaemonEvent) -> Vec<DaemonEffect> {
        let wall_clock = WallClock::from_millis(1_700_000_000_000);
        self.reducer.apply(TimedEvent { now: self.now, wall: wall_clock, event })
    }

    fn install_settings(&mut self, tree: SettingsTree) {
        let reading = SettingsReading::Tree(Box::new(tree));
        self.apply(DaemonEvent::SettingsRead { sent_at: self.now, reading });
    }

    /// Runs one call from its request to its response.
    fn run_call(&mut self, call: u64) {
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
        panic!("call {call} got no response");
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
    SettingsTree { revision, teams: [("team".into(), subtree)].into(), ..SettingsTree::default() }
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
