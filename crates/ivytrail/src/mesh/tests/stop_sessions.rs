//! Seeded sessions in which daemons shut down one after the other, at times several at once, while clients keep sending
//! requests and backend servers make nested calls. They check that no exit interrupts a request that was sent late, and that
//! no request runs that was refused as not run.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::fleet::{TestFleet, TestRun, answered, call_of, nested_call_of, public_call_of};
use crate::{
    mesh::event::{CallAnswer, MeshEvent},
    message::CallOutcome,
    time::TimePoint,
};

/// Number of sessions in one test run; `IVYTRAIL_STOP_SESSIONS` overrides it.
const N_SESSIONS: u64 = 12;
const SERVICES: [&str; 6] = ["tracker", "booking", "tracker", "booking", "tracker", "booking"];
const STEP: Duration = Duration::from_millis(10);
const N_STEPS: usize = 3_000;
/// Maximum number of daemons that shut down at the same time.
const MAX_STOPPING: usize = 3;
/// Times from a shutdown request to the exit, for two grace periods.
const EXIT_WITHIN: [Duration; 2] = [Duration::from_millis(5_500), Duration::from_millis(9_500)];
/// Time from the closing of the guard to the exit.
const CLOSE_MARGIN: Duration = Duration::from_millis(2_500);
/// Time from an exit to the next start.
const DOWNTIME: Duration = Duration::from_millis(300);
/// Time after a shutdown request from which on every accepted client request must be answered.
const LATE_AFTER: Duration = Duration::from_secs(3);
/// Longest run, in milliseconds; the routes' timeout is 2 s.
const MAX_RUN_MS: u64 = 1_950;

/// A daemon that is shutting down.
#[derive(Clone, Copy, Debug)]
struct StoppingDaemon {
    daemon: usize,
    requested_at: TimePoint,
    exit_at: TimePoint,
    is_closed: bool,
}

/// A client request or nested call without a response.
#[derive(Clone, Debug)]
struct WaitingRequest {
    request_id: String,
    entry: usize,
    sent_at: TimePoint,
}

/// A run whose server ends it, with a response or at its deadline.
#[derive(Clone, Debug)]
struct TimedRun {
    ends_at: TimePoint,
    is_cut_short: bool,
    run: TestRun,
}

/// State of one session, and what it has observed.
struct StopSession {
    fleet: TestFleet,
    rng: SmallRng,
    stopping: Vec<StoppingDaemon>,
    restarts: Vec<(TimePoint, usize)>,
    waiting: HashMap<u64, WaitingRequest>,
    running: Vec<TimedRun>,
    /// Identifiers of the requests that have run, and of those that were refused as not run.
    started: HashSet<String>,
    refused: HashSet<String>,
    n_seen: usize,
    n_calls: u64,
    n_stops: usize,
    /// Number of nested calls sent late in a stop, and of those among them that were refused.
    n_late_nested: usize,
    n_late_nested_refused: usize,
    violations: Vec<String>,
}

impl StopSession {
    fn start(seed: u64) -> StopSession {
        StopSession {
            fleet: TestFleet::start_with(&SERVICES),
            rng: SmallRng::seed_from_u64(seed),
            stopping: Vec::new(),
            restarts: Vec::new(),
            waiting: HashMap::new(),
            running: Vec::new(),
            started: HashSet::new(),
            refused: HashSet::new(),
            n_seen: 0,
            n_calls: 0,
            n_stops: 0,
            n_late_nested: 0,
            n_late_nested_refused: 0,
            violations: Vec::new(),
        }
    }

    fn play(&mut self) {
        for _ in 0..N_STEPS {
            self.restart_daemons();
            if self.stopping.len() < MAX_STOPPING && self.rng.random_bool(0.01) {
                self.stop_daemon();
            }
            for _ in 0..2 {
                self.send_request();
            }
            self.fleet.advance(STEP);
            self.end_runs();
            self.take_answers();
            self.advance_stops();
        }
    }

    fn stop_daemon(&mut self) {
        let daemon = self.rng.random_range(0..SERVICES.len());
        if self.fleet.is_dead(daemon) || self.stopping.iter().any(|it| it.daemon == daemon) {
            return;
        }
        let exit_within = EXIT_WITHIN[self.rng.random_range(0..EXIT_WITHIN.len())];
        let requested_at = self.fleet.now();
        self.fleet.apply(daemon, MeshEvent::StopRequested { exit_within });
        let exit_at = requested_at.plus(exit_within);
        self.stopping.push(StoppingDaemon { daemon, requested_at, exit_at, is_closed: false });
        self.n_stops += 1;
    }

    /// Sends a client's request with or without an API key, or a nested call of a run at the local backend server.
    fn send_request(&mut self) {
        let entry = self.rng.random_range(0..SERVICES.len());
        if self.fleet.is_dead(entry) {
            return;
        }
        self.n_calls += 1;
        let id = self.n_calls;
        let local_run = self.running.iter().map(|it| &it.run).find(|it| it.daemon == entry);
        let request = match (self.rng.random_range(0..5), local_run) {
            (0, _) => call_of(id, "book"),
            (1, _) => call_of(id, "track"),
            (2, _) => public_call_of(id, "reserve"),
            (3, Some(parent)) => nested_call_of(id, &parent.request.request_id, "ledger"),
            _ => public_call_of(id, "ledger"),
        };
        let request_id = request.request_id.to_string();
        let sent_at = self.fleet.now();
        let is_late = self.stop_before(entry, sent_at).is_some();
        let is_late_nested = is_late && request_id.contains('.');
        self.waiting.insert(id, WaitingRequest { request_id, entry, sent_at });
        self.fleet.call(entry, request);
        if is_late_nested {
            self.n_late_nested += 1;
            self.n_late_nested_refused += usize::from(self.is_not_run(id));
        }
    }

    /// Returns the stop of a daemon in which a request that was sent at `sent_at` is a late one.
    fn stop_before(&self, daemon: usize, sent_at: TimePoint) -> Option<&StoppingDaemon> {
        let stop = self.stopping.iter().find(|it| it.daemon == daemon);
        stop.filter(|it| LATE_AFTER <= sent_at.since(it.requested_at))
    }

    fn is_not_run(&self, id: u64) -> bool {
        let answer = self.fleet.answer_of(id);
        matches!(answer, Some(CallAnswer::Refused { outcome: CallOutcome::NotRun, .. }))
    }

    fn end_runs(&mut self) {
        let now = self.fleet.now();
        let started: Vec<TestRun> = self.fleet.started()[self.n_seen..].to_vec();
        self.n_seen += started.len();
        for run in started {
            let id = run.request.request_id.to_string();
            if self.refused.contains(&id) {
                self.violations.push(format!("{id} ran after it was refused as not run"));
            }
            self.started.insert(id);
            let is_long = self.rng.random_bool(0.1);
            let run_ms = self.rng.random_range(10..if is_long { MAX_RUN_MS } else { 100 });
            let run_time = Duration::from_millis(run_ms);
            let ends_at = now.plus(run_time.min(run.time_left));
            self.running.push(TimedRun { ends_at, is_cut_short: run.time_left < run_time, run });
        }
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|it| it.ends_at <= now);
        self.running = running;
        for TimedRun { is_cut_short, run, .. } in ended {
            if self.fleet.is_in_progress(&run) {
                self.fleet.end_run(&run, answered(if is_cut_short { 504 } else { 200 }));
            }
        }
    }

    /// Removes the requests that have a response, and checks the refusals among them.
    fn take_answers(&mut self) {
        let fleet = &self.fleet;
        for (id, request) in self.waiting.extract_if(|id, _| fleet.answer_of(*id).is_some()) {
            let answer = fleet.answer_of(id);
            if !matches!(answer, Some(CallAnswer::Refused { outcome: CallOutcome::NotRun, .. })) {
                continue;
            }
            if self.started.contains(&request.request_id) {
                self.violations.push(format!("{request:?} ran and was refused as not run"));
            }
            self.refused.insert(request.request_id);
        }
    }

    /// Closes guards and lets daemons exit that were requested to stop.
    fn advance_stops(&mut self) {
        let now = self.fleet.now();
        for mut stop in std::mem::take(&mut self.stopping) {
            if !stop.is_closed && stop.exit_at.since(now) <= CLOSE_MARGIN {
                stop.is_closed = true;
                self.fleet.apply(stop.daemon, MeshEvent::GuardClosed);
            }
            match now < stop.exit_at {
                true => self.stopping.push(stop),
                false => self.exit_daemon(stop),
            }
        }
    }

    fn exit_daemon(&mut self, stop: StoppingDaemon) {
        let cut = self.waiting.extract_if(|_, it| it.entry == stop.daemon);
        let late = cut.filter(|(_, it)| LATE_AFTER <= it.sent_at.since(stop.requested_at));
        self.violations.extend(late.map(|(_, it)| format!("{it:?} was interrupted by {stop:?}")));
        self.fleet.crash(stop.daemon);
        self.restarts.push((self.fleet.now().plus(DOWNTIME), stop.daemon));
    }

    fn restart_daemons(&mut self) {
        let now = self.fleet.now();
        let (due, later): (Vec<_>, Vec<_>) =
            self.restarts.drain(..).partition(|(at, _)| *at <= now);
        self.restarts = later;
        due.iter().for_each(|(_, daemon)| self.fleet.rejoin(*daemon));
    }
}

/// Regression test: the exit interrupted requests that had been accepted late in a graceful shutdown.
#[test]
fn planned_stops_cut_off_no_late_request() {
    let n_sessions = std::env::var("IVYTRAIL_STOP_SESSIONS")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(N_SESSIONS);
    let (mut n_calls, mut n_stops, mut n_refused) = (0, 0, 0);
    let (mut n_late_nested, mut n_late_nested_refused) = (0, 0);
    for seed in 0..n_sessions {
        let mut session = StopSession::start(seed);

        session.play();

        n_calls += session.n_calls;
        n_stops += session.n_stops;
        n_refused += session.refused.len();
        n_late_nested += session.n_late_nested;
        n_late_nested_refused += session.n_late_nested_refused;
        assert!(session.violations.is_empty(), "seed {seed}: {:#?}", session.violations);
    }
    assert!(n_sessions as usize * 5 < n_stops, "too few stops: {n_stops}");
    assert!(n_refused as u64 * 2 < n_calls, "too many refusals: {n_refused} of {n_calls}");
    assert!(
        n_late_nested_refused * 2 < n_late_nested,
        "too many refusals of nested calls: {n_late_nested_refused} of {n_late_nested}"
    );
}
