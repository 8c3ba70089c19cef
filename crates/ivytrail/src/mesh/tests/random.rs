//! Randomised sessions of a fleet with overlapping faults. They check that no request runs twice, stays without a
//! response or gets a wrong outcome.

use std::{collections::HashMap, time::Duration};

use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use super::fleet::{TIMEOUT, TestFleet, answered, call_of};
use crate::{
    mesh::event::{CallAnswer, RunEnd},
    message::CallOutcome,
};

/// Number of sessions in one test run; `IVYTRAIL_RANDOM_RUNS` overrides it.
const N_SESSIONS: u64 = 400;
/// Number of steps in one session.
const N_STEPS: usize = 120;
/// Number of daemons in the fleet.
const N_DAEMONS: usize = 4;
/// Time after its timeout within which a call must get a response.
const RESPONSE_TOLERANCE: Duration = Duration::from_millis(50);

/// One step of a session: an input or an injected fault.
#[derive(Clone, Debug)]
enum SessionStep {
    Call { daemon: usize, route: &'static str },
    EndRun { idx: usize, end: TestEnd },
    Advance { millis: u64 },
    CutLinks { a: usize, b: usize },
    RestoreLinks { a: usize, b: usize },
    Crash { daemon: usize },
    Rejoin { daemon: usize },
    Mute { daemon: usize },
    Unmute { daemon: usize },
    HoldFrames,
    ReleaseFrames,
    DropFrames,
}

/// Result of a run at a simulated backend server.
#[derive(Clone, Copy, Debug)]
enum TestEnd {
    Complete,
    ServerError,
    Rejected,
    NotSent,
    Broken,
}

impl TestEnd {
    fn run_end(self) -> RunEnd {
        match self {
            TestEnd::Complete => answered(200),
            TestEnd::ServerError => answered(500),
            TestEnd::Rejected => RunEnd::Rejected { is_misdirected: false },
            TestEnd::NotSent => RunEnd::NotSent,
            TestEnd::Broken => RunEnd::Broken,
        }
    }

    /// Returns whether the result means that the request has not run.
    fn is_not_run(self) -> bool {
        matches!(self, TestEnd::Rejected | TestEnd::NotSent)
    }
}

fn step() -> impl Strategy<Value = SessionStep> {
    let daemon = 0..N_DAEMONS;
    let route = prop_oneof![1 => Just("track"), 3 => Just("book")];
    let end = prop_oneof![
        8 => Just(TestEnd::Complete),
        1 => Just(TestEnd::ServerError),
        2 => Just(TestEnd::Rejected),
        1 => Just(TestEnd::NotSent),
        2 => Just(TestEnd::Broken),
    ];
    let pair = (daemon.clone(), 1..N_DAEMONS).prop_map(|(a, step)| (a, (a + step) % N_DAEMONS));
    prop_oneof![
        12 => (daemon.clone(), route).prop_map(|(daemon, route)| SessionStep::Call { daemon, route }),
        12 => (0..16usize, end).prop_map(|(idx, end)| SessionStep::EndRun { idx, end }),
        8 => (10..400u64).prop_map(|millis| SessionStep::Advance { millis }),
        2 => pair.clone().prop_map(|(a, b)| SessionStep::CutLinks { a, b }),
        3 => pair.prop_map(|(a, b)| SessionStep::RestoreLinks { a, b }),
        1 => daemon.clone().prop_map(|daemon| SessionStep::Crash { daemon }),
        2 => daemon.clone().prop_map(|daemon| SessionStep::Rejoin { daemon }),
        1 => daemon.clone().prop_map(|daemon| SessionStep::Mute { daemon }),
        2 => daemon.prop_map(|daemon| SessionStep::Unmute { daemon }),
        3 => Just(SessionStep::HoldFrames),
        3 => Just(SessionStep::ReleaseFrames),
        1 => Just(SessionStep::DropFrames),
    ]
}

/// One session: the fleet and what its clients and backend servers have observed.
struct RandomSession {
    fleet: TestFleet,
    /// Entry and route of each call whose entry has not crashed since.
    open_calls: HashMap<u64, (usize, &'static str)>,
    /// Number of runs per request that the backend server reported as not run.
    n_not_run: HashMap<String, usize>,
    /// Number of runs per request that ended with a complete successful response.
    n_complete: HashMap<String, usize>,
    next_call: u64,
}

impl RandomSession {
    fn start() -> RandomSession {
        RandomSession {
            fleet: TestFleet::start(),
            open_calls: HashMap::new(),
            n_not_run: HashMap::new(),
            n_complete: HashMap::new(),
            next_call: 1,
        }
    }

    fn apply_step(&mut self, step: &SessionStep) {
        match *step {
            SessionStep::Call { daemon, route } if !self.fleet.is_dead(daemon) => {
                let id = self.next_call;
                self.next_call += 1;
                self.open_calls.insert(id, (daemon, route));
                self.fleet.call(daemon, call_of(id, route));
            }
            SessionStep::EndRun { idx, end } => self.end_run(idx, end),
            SessionStep::Advance { millis } => self.fleet.advance(Duration::from_millis(millis)),
            SessionStep::CutLinks { a, b } => self.fleet.cut_links(a, b),
            SessionStep::RestoreLinks { a, b } => self.fleet.restore_links(a, b),
            SessionStep::Crash { daemon } if !self.fleet.is_dead(daemon) => {
                self.open_calls.retain(|_, (entry, _)| *entry != daemon);
                self.fleet.crash(daemon);
            }
            SessionStep::Rejoin { daemon } if self.fleet.is_dead(daemon) => {
                self.fleet.rejoin(daemon);
            }
            SessionStep::Mute { daemon } => self.fleet.mute(daemon),
            SessionStep::Unmute { daemon } => self.fleet.unmute(daemon),
            SessionStep::HoldFrames => self.fleet.hold_frames(true),
            SessionStep::ReleaseFrames => self.fleet.release_held_frames(),
            SessionStep::DropFrames => self.fleet.drop_held_frames_and_reconnect(),
            SessionStep::Call { .. } | SessionStep::Crash { .. } | SessionStep::Rejoin { .. } => {}
        }
    }

    fn end_run(&mut self, idx: usize, end: TestEnd) {
        let runs = self.fleet.runs();
        let Some(run) = runs.get(idx % runs.len().max(1)) else { return };
        let request = run.request.request_id.to_string();
        match end {
            TestEnd::Complete => *self.n_complete.entry(request).or_default() += 1,
            _ if end.is_not_run() => *self.n_not_run.entry(request).or_default() += 1,
            _ => {}
        }
        self.fleet.end_run(run, end.run_end());
    }

    /// Waits until all calls have ended and returns the invariant violations.
    fn violations(&mut self) -> Vec<String> {
        self.fleet.release_held_frames();
        self.fleet.advance(TIMEOUT + RESPONSE_TOLERANCE);
        let mut n_runs: HashMap<String, usize> = HashMap::new();
        for run in self.fleet.started() {
            *n_runs.entry(run.request.request_id.to_string()).or_default() += 1;
        }
        let mut violations = Vec::new();
        for id in 1..self.next_call {
            let request = format!("r{id}");
            let n_not_run = self.n_not_run.get(&request).copied().unwrap_or(0);
            let n_runs = n_runs.get(&request).map_or(0, |it| it - n_not_run);
            let answer = self.fleet.answer_of(id);
            let route = self.open_calls.get(&id).map(|(_, route)| *route);
            if route == Some("book") && 1 < n_runs {
                violations.push(format!("{request} ran {n_runs} times"));
            }
            match answer {
                None if route.is_some() => violations.push(format!("{request} got no response")),
                Some(CallAnswer::Refused { outcome: CallOutcome::NotRun, reason, .. })
                    if 0 < n_runs =>
                {
                    violations.push(format!(
                        "{request} ran, but was refused as not run because of {reason}"
                    ));
                }
                Some(CallAnswer::Complete { status: 200, .. })
                    if !self.n_complete.contains_key(&request) =>
                {
                    violations.push(format!("{request} got a response that no run returned"));
                }
                _ => {}
            }
        }
        violations
    }
}

fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

#[test]
fn no_request_runs_twice_is_lost_or_misreported_under_overlapping_faults() {
    let n_sessions = number_from("IVYTRAIL_RANDOM_RUNS", N_SESSIONS);
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&number_from("IVYTRAIL_RANDOM_SEED", 1).to_be_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let mut n_runs = 0;
    for n_session in 0..n_sessions {
        let steps = prop::collection::vec(step(), N_STEPS);
        let steps = steps.new_tree(&mut runner).expect("the strategy generates steps").current();
        let mut session = RandomSession::start();
        steps.iter().for_each(|it| session.apply_step(it));

        let violations = session.violations();

        n_runs += session.fleet.n_runs_started();
        assert!(violations.is_empty(), "session {n_session}: {violations:#?}\n{steps:?}");
    }
    assert!(n_sessions * 10 < n_runs as u64, "the sessions start too few runs: {n_runs}");
}
