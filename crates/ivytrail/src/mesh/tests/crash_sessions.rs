//! Seeded sessions in which requests crash every backend server that runs them, and clients send them again and again.

use std::{collections::HashMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::fleet::{EvidenceFaults, TestFleet, TestRun, answered, call_of};
use crate::{mesh::event::CallRequest, time::TimePoint};

/// Services of the daemons' backend servers; the culprits run at the trackers.
const SERVICES: [&str; 8] =
    ["tracker", "tracker", "tracker", "tracker", "tracker", "tracker", "booking", "booking"];
/// Start of the targets of the requests that crash backend servers.
const CULPRIT_PREFIX: &str = "/track/culprit-";
/// Time from the start of a culprit's run to the crash.
const TIME_TO_CRASH: Duration = Duration::from_millis(40);
/// Time for which a crashed backend server is down.
const SERVER_DOWNTIME: Duration = Duration::from_millis(3_000);
/// Time for which a restarted daemon is down.
const DAEMON_DOWNTIME: Duration = Duration::from_millis(300);
/// Time without a disruption after which the rules bind a daemon.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Crashes after which the stability window of the request begins.
const N_FREE_CRASHES: usize = 3;
/// Runs that are allowed later than the stability window after those crashes, in all.
const MAX_LATE_RUNS: usize = 3;
/// Interval between two steps of a session.
const STEP: Duration = Duration::from_millis(10);
/// Duration of a session.
const SESSION: Duration = Duration::from_secs(40);

/// Load and faults of a session.
#[derive(Clone, Copy)]
struct SessionPlan {
    /// Requests per step other than the culprit.
    calls_per_step: usize,
    /// Number of different requests among those.
    n_targets: u64,
    /// Number of requests that crash backend servers.
    n_culprits: usize,
    /// Interval at which each culprit is sent.
    culprit_interval: Duration,
    /// Number of random daemons that it is sent to at the same time.
    n_copies: usize,
    /// Longest delay of crash evidence.
    evidence_delay: Duration,
    /// Restarts of a random daemon per second.
    restarts_per_s: f64,
    /// Time from the start of the session at which all daemons restart at once.
    restart_all_at: Option<Duration>,
    /// Links per second that go silent, and are replaced within two seconds.
    silent_links_per_s: f64,
}

impl SessionPlan {
    fn calm() -> SessionPlan {
        SessionPlan {
            calls_per_step: 3,
            n_targets: 1_000_000,
            n_culprits: 1,
            culprit_interval: Duration::from_millis(300),
            n_copies: 1,
            evidence_delay: Duration::ZERO,
            restarts_per_s: 0.0,
            restart_all_at: None,
            silent_links_per_s: 0.0,
        }
    }
}

/// One session, with what its backend servers have observed.
struct CrashSession {
    plan: SessionPlan,
    rng: SmallRng,
    fleet: TestFleet,
    next_call: u64,
    next_culprit: TimePoint,
    restart_all_at: Option<TimePoint>,
    n_seen_runs: usize,
    /// Runs in progress and the time at which they end.
    running: Vec<(TimePoint, TestRun)>,
    server_restarts: Vec<(TimePoint, usize)>,
    daemon_restarts: Vec<(TimePoint, usize)>,
    redials: Vec<(TimePoint, usize, usize)>,
    /// Last start of each daemon that was restarted.
    daemon_starts: HashMap<usize, TimePoint>,
    /// Entry daemon of each call of a culprit.
    culprit_entries: HashMap<String, usize>,
    /// Times at which a culprit crashed a server.
    crashes: Vec<TimePoint>,
    /// Number of each culprit's runs that the rules count, by its target.
    n_late_runs: HashMap<String, usize>,
}

impl CrashSession {
    fn start(seed: u64, plan: SessionPlan) -> CrashSession {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = TestFleet::start_with(&SERVICES);
        if !plan.evidence_delay.is_zero() {
            fleet.set_evidence_faults(EvidenceFaults {
                rng: SmallRng::seed_from_u64(rng.random()),
                max_delay: plan.evidence_delay,
                duplicate_share: 0.3,
            });
        }
        CrashSession {
            plan,
            rng,
            next_culprit: fleet.now().plus(Duration::from_secs(1)),
            restart_all_at: plan.restart_all_at.map(|it| fleet.now().plus(it)),
            fleet,
            next_call: 1,
            n_seen_runs: 0,
            running: Vec::new(),
            server_restarts: Vec::new(),
            daemon_restarts: Vec::new(),
            redials: Vec::new(),
            daemon_starts: HashMap::new(),
            culprit_entries: HashMap::new(),
            crashes: Vec::new(),
            n_late_runs: HashMap::new(),
        }
    }

    fn play(&mut self) {
        let end = self.fleet.now().plus(SESSION);
        while self.fleet.now() < end {
            self.inject_faults();
            self.send_calls();
            self.end_runs();
            self.fleet.advance(STEP);
            self.observe_runs();
        }
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn random_daemon(&mut self) -> usize {
        self.rng.random_range(0..SERVICES.len())
    }

    fn inject_faults(&mut self) {
        let now = self.fleet.now();
        for (_, server) in self.server_restarts.extract_if(.., |(at, _)| *at <= now) {
            self.fleet.restart_server(server);
        }
        for (_, daemon) in self.daemon_restarts.extract_if(.., |(at, _)| *at <= now) {
            self.fleet.rejoin(daemon);
            self.daemon_starts.insert(daemon, now);
        }
        for (_, dialer, acceptor) in self.redials.extract_if(.., |(at, ..)| *at <= now) {
            self.fleet.redial_silent_link(dialer, acceptor);
        }
        if self.restart_all_at.take_if(|at| *at <= now).is_some() {
            (0..SERVICES.len()).for_each(|daemon| self.restart_daemon(daemon));
        }
        let daemon = self.random_daemon();
        if self.happens(self.plan.restarts_per_s) {
            self.restart_daemon(daemon);
        }
        let acceptor = self.random_daemon();
        if self.happens(self.plan.silent_links_per_s) && daemon != acceptor {
            self.fleet.silence_link(daemon, acceptor);
            let delay = Duration::from_millis(self.rng.random_range(100..2_000));
            self.redials.push((now.plus(delay), daemon, acceptor));
        }
    }

    fn restart_daemon(&mut self, daemon: usize) {
        if !self.fleet.is_dead(daemon) {
            self.running.retain(|(_, run)| run.daemon != daemon);
            self.fleet.crash(daemon);
            self.daemon_restarts.push((self.fleet.now().plus(DAEMON_DOWNTIME), daemon));
        }
    }

    fn send_calls(&mut self) {
        for _ in 0..self.plan.calls_per_step {
            let request = self.next_request();
            let entry = self.random_daemon();
            self.fleet.call(entry, request);
        }
        if self.next_culprit <= self.fleet.now() {
            self.next_culprit = self.fleet.now().plus(self.plan.culprit_interval);
            for copy in 0..self.plan.n_copies * self.plan.n_culprits {
                let target = format!("{CULPRIT_PREFIX}{}", copy % self.plan.n_culprits).into();
                let request = CallRequest { target, ..self.next_request() };
                let entry = self.random_daemon();
                self.culprit_entries.insert(request.request_id.to_string(), entry);
                self.fleet.call(entry, request);
            }
        }
    }

    fn next_request(&mut self) -> CallRequest {
        self.next_call += 1;
        let target = format!("/track/{}", self.next_call % self.plan.n_targets).into();
        CallRequest { target, ..call_of(self.next_call, "track") }
    }

    fn end_runs(&mut self) {
        let now = self.fleet.now();
        let due: Vec<TestRun> =
            self.running.extract_if(.., |(at, _)| *at <= now).map(|(_, run)| run).collect();
        for run in due {
            match is_culprit(&run) {
                _ if !self.fleet.is_in_progress(&run) => {}
                true => {
                    self.crashes.push(now);
                    self.fleet.crash_server(run.daemon);
                    self.server_restarts.push((now.plus(SERVER_DOWNTIME), run.daemon));
                }
                false => self.fleet.end_run(&run, answered(200)),
            }
        }
    }

    /// Schedules the end of the runs that have started, and counts those of culprits.
    fn observe_runs(&mut self) {
        let now = self.fleet.now();
        let started = self.fleet.started()[self.n_seen_runs..].to_vec();
        self.n_seen_runs += started.len();
        for run in started {
            let run_time = match is_culprit(&run) {
                true => TIME_TO_CRASH,
                false => Duration::from_millis(self.rng.random_range(50..200)),
            };
            if is_culprit(&run) && self.is_late(&run) {
                let n_late_runs = self.n_late_runs.entry(run.request.target.to_string());
                *n_late_runs.or_default() += 1;
            }
            self.running.push((now.plus(run_time), run));
        }
    }

    /// Returns whether a run of a culprit starts later than the stability window after the third crash, sent by daemons that
    /// have run for at least as long.
    fn is_late(&self, run: &TestRun) -> bool {
        let now = self.fleet.now();
        let is_stable = |daemon: &usize| {
            self.daemon_starts.get(daemon).is_none_or(|at| STABILITY_WINDOW <= now.since(*at))
        };
        let entry = self.culprit_entries[run.request.request_id.as_str()];
        let is_window_over = self
            .crashes
            .get(N_FREE_CRASHES - 1)
            .is_some_and(|at| STABILITY_WINDOW <= now.since(*at));
        is_window_over && is_stable(&entry) && is_stable(&run.daemon)
    }
}

fn is_culprit(run: &TestRun) -> bool {
    run.request.target.starts_with(CULPRIT_PREFIX)
}

/// Number of sessions unless `IVYTRAIL_CRASH_SESSIONS` is set.
const N_SESSIONS: u64 = 12;

/// Plays sessions of a plan, and asserts the bound on the runs of each culprit.
fn check_sessions(plan: SessionPlan) {
    let n_sessions = std::env::var("IVYTRAIL_CRASH_SESSIONS").ok().and_then(|it| it.parse().ok());
    for seed in 0..n_sessions.unwrap_or(N_SESSIONS) {
        let mut session = CrashSession::start(seed, plan);

        session.play();

        let crashes = &session.crashes;
        assert!(!crashes.is_empty(), "seed {seed}: no culprit crashed a server");
        for (target, n_late_runs) in &session.n_late_runs {
            assert!(
                *n_late_runs <= MAX_LATE_RUNS,
                "seed {seed}: {target} has {n_late_runs} late runs, and there were {} crashes, at {crashes:?}",
                crashes.len()
            );
        }
    }
}

/// Guards against a quarantine that ends by itself while nothing bounds the runs that follow.
#[test]
fn a_crashing_request_is_not_released_to_all_servers_after_its_quarantine() {
    check_sessions(SessionPlan::calm());
}

/// Guards against the same where other requests come again as well and are suspected with it, and where several clients
/// send the request at once.
#[test]
fn a_crashing_request_is_found_among_requests_that_come_again() {
    check_sessions(SessionPlan { n_targets: 40, n_copies: 3, ..SessionPlan::calm() });
}

/// Guards against requests that are never told apart, because each crash has several suspects in flight.
#[test]
fn several_crashing_requests_at_once_are_all_found() {
    check_sessions(SessionPlan { n_culprits: 3, n_copies: 2, ..SessionPlan::calm() });
}

/// Guards against crashes that leave no evidence, because no other request meets the server shortly afterwards.
#[test]
fn a_crash_is_noticed_where_no_other_request_follows() {
    check_sessions(SessionPlan {
        calls_per_step: 0,
        culprit_interval: Duration::from_millis(1_500),
        ..SessionPlan::calm()
    });
}

/// Guards against daemons that start after a crash and never learn of it.
#[test]
fn a_crashing_request_is_not_released_by_restarts_of_daemons() {
    check_sessions(SessionPlan { restarts_per_s: 0.5, ..SessionPlan::calm() });
}

/// Guards against evidence that is lost on a link that has gone silent.
#[test]
fn a_crashing_request_is_not_released_by_silent_links() {
    check_sessions(SessionPlan { silent_links_per_s: 4.0, ..SessionPlan::calm() });
}

/// Guards against evidence that takes effect only in the order in which it was sent, or more than once.
#[test]
fn a_crashing_request_is_not_released_by_late_and_duplicated_evidence() {
    check_sessions(SessionPlan {
        evidence_delay: Duration::from_millis(300),
        restarts_per_s: 0.3,
        silent_links_per_s: 2.0,
        ..SessionPlan::calm()
    });
}

/// Guards against a restart of all daemons at once, after which none knows of the request.
#[test]
fn a_crashing_request_is_not_released_by_a_restart_of_all_daemons() {
    check_sessions(SessionPlan {
        culprit_interval: Duration::from_millis(4_700),
        n_copies: 2,
        restart_all_at: Some(Duration::from_secs(15)),
        ..SessionPlan::calm()
    });
}
