//! Generated scripts: requests and faults with their times.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::{
    daemons::{BackendMode, CallerScript, Fleet, FleetFault, KeyKind, MS, QueueOdds},
    firms::{FirmPlan, RouteRole, stratolift, teigwerk},
    session::SessionTrace,
    verdict::check_fleet,
};

/// Time before the first request, in milliseconds.
const WARM_MS: u64 = 8_000;
/// Time in which requests and faults come, in milliseconds.
const ACTIVE_MS: u64 = 12_000;
/// Calm time at the end, in milliseconds: every call is due by then.
const CALM_MS: u64 = 8_000;

/// One request of a script, small enough to read.
#[derive(Clone, Copy, Debug)]
pub struct RequestStep {
    /// When it is sent, in milliseconds after the start of the active time.
    pub at_ms: u64,
    /// Its route.
    pub role: RouteRole,
    /// Its entry.
    pub entry: usize,
    /// Position of its account.
    pub account: usize,
    /// Its idempotency key.
    pub key: KeyKind,
    /// Copies that are sent at the same moment to different entries.
    pub n_copies: u64,
    /// Whether it crashes the backend server.
    pub is_poison: bool,
}

/// A whole script.
#[derive(Clone, Debug)]
pub struct FleetScript {
    /// Seed of the queue.
    pub seed: u64,
    /// Whether the firm is Teigwerk.
    pub is_teigwerk: bool,
    /// Number of daemons of the outer service, beside one of the inner.
    pub n_outer: usize,
    /// Requests.
    pub requests: Vec<RequestStep>,
    /// Faults, each with its time in milliseconds after the start of the active time.
    pub faults: Vec<(u64, FleetFault)>,
}

/// What came of a script.
#[derive(Debug, Default)]
pub struct ScriptReport {
    /// Events applied.
    pub n_events: u64,
    /// Runs at backend servers.
    pub n_runs: u64,
    /// Whole answers.
    pub n_answers: u64,
    /// Faults injected, by kind.
    pub n_faults: BTreeMap<&'static str, u64>,
    /// What was broken.
    pub violations: Vec<String>,
    /// The session, where it was asked for.
    pub session: String,
}

impl FleetScript {
    /// Runs the script and checks it; a panic of an assertion inside the program counts as a violation.
    pub fn run(&self, is_traced: bool) -> ScriptReport {
        let attempt = std::panic::AssertUnwindSafe(|| self.run_fleet(is_traced));
        std::panic::catch_unwind(attempt).unwrap_or_else(|cause| {
            let text = cause.downcast_ref::<String>().cloned();
            let text = text.or_else(|| cause.downcast_ref::<&str>().map(ToString::to_string));
            let violations = vec![format!("assertion: {}", text.unwrap_or_default())];
            ScriptReport { violations, ..ScriptReport::default() }
        })
    }

    fn run_fleet(&self, is_traced: bool) -> ScriptReport {
        let firm = if self.is_teigwerk { teigwerk() } else { stratolift() };
        let mut fleet = self.arrange(firm);
        if is_traced {
            fleet.run_until(WARM_MS * MS);
            fleet.trace = Some(SessionTrace::default());
        }
        fleet.run_until((WARM_MS + ACTIVE_MS + CALM_MS) * MS);
        let is_whole = |it: &crate::daemons::CallFact| {
            it.answers.iter().any(|(_, answer)| {
                matches!(answer, ivytrail::reducer::CallAnswer::Complete { status: 200, .. })
            })
        };
        ScriptReport {
            n_events: fleet.n_events,
            n_runs: fleet.runs.len() as u64,
            n_answers: fleet.calls.values().filter(|it| is_whole(it)).count() as u64,
            violations: check_fleet(&fleet),
            session: fleet.trace.as_ref().map_or(String::new(), |it| it.text().to_string()),
            n_faults: fleet.n_faults,
        }
    }

    fn arrange(&self, firm: FirmPlan) -> Fleet {
        let mut services = vec![firm.service(RouteRole::OuterWriting); self.n_outer];
        services.push(firm.service(RouteRole::InnerWriting));
        let mut fleet = Fleet::new(firm, &services, self.seed);
        for (request, step) in (1..).zip(&self.requests) {
            let at = (WARM_MS + step.at_ms) * MS;
            let route = fleet.firm.route(step.role);
            for copy in 0..step.n_copies {
                let entry = (step.entry + copy as usize) % services.len();
                let mut script = CallerScript::new(at + copy, request, route, entry);
                script.account = Some(step.account);
                script.key = step.key;
                script.n_resends = 3;
                script.is_poison = step.is_poison;
                fleet.schedule_call(script);
            }
        }
        for (at_ms, fault) in &self.faults {
            fleet.schedule_fault((WARM_MS + at_ms) * MS, fault.clone());
        }
        fleet
    }
}

/// Returns scripts with up to `n_faults` faults.
pub fn scripts(n_faults: usize) -> impl Strategy<Value = FleetScript> {
    let requests = prop::collection::vec(request(), 5..60);
    (any::<u64>(), any::<bool>(), 1..4usize, requests).prop_flat_map(
        move |(seed, is_teigwerk, n_outer, requests)| {
            let fault = (0..ACTIVE_MS, fault(n_outer + 1));
            prop::collection::vec(fault, 0..=n_faults).prop_map(move |faults| FleetScript {
                seed,
                is_teigwerk,
                n_outer,
                requests: requests.clone(),
                faults,
            })
        },
    )
}

fn request() -> impl Strategy<Value = RequestStep> {
    let role = prop_oneof![
        6 => Just(RouteRole::OuterWriting),
        3 => Just(RouteRole::InnerWriting),
        2 => Just(RouteRole::OuterReading),
    ];
    let key = prop_oneof![
        4 => Just(KeyKind::Timed),
        2 => Just(KeyKind::Plain),
        1 => Just(KeyKind::Absent),
    ];
    let n_copies = prop_oneof![6 => Just(1u64), 2 => Just(2), 1 => Just(6)];
    let is_poison = prop::bool::weighted(0.02);
    (0..ACTIVE_MS, role, 0..4usize, 0..2usize, key, n_copies, is_poison).prop_map(
        |(at_ms, role, entry, account, key, n_copies, is_poison)| RequestStep {
            at_ms,
            role,
            entry,
            account,
            key,
            n_copies,
            is_poison,
        },
    )
}

fn fault(n_nodes: usize) -> impl Strategy<Value = FleetFault> {
    let mode = prop_oneof![
        Just(BackendMode::Serving),
        Just(BackendMode::Slow),
        Just(BackendMode::Shedding),
        Just(BackendMode::Cutting),
        Just(BackendMode::Draining),
        Just(BackendMode::Dead),
    ];
    prop_oneof![
        4 => (0..n_nodes, 100..9_000u64, any::<bool>())
            .prop_map(|(idx, ms, armed)| FleetFault::Pause(idx, ms, armed)),
        2 => (0..n_nodes).prop_map(FleetFault::Restart),
        1 => (0..n_nodes).prop_map(FleetFault::Leave),
        2 => (0..n_nodes, 0..n_nodes, 100..8_000u64)
            .prop_map(|(from, to, ms)| FleetFault::Cut(from, to, ms)),
        4 => (odds(), 50..4_000u64).prop_map(|(odds, ms)| FleetFault::Queue(odds, ms)),
        4 => (0..n_nodes, mode).prop_map(|(idx, mode)| FleetFault::Backend(idx, mode)),
        2 => (500..10_000u64).prop_map(FleetFault::PlatformDown),
        2 => (500..5_000u64).prop_map(FleetFault::PlatformLossy),
        1 => (0..2usize).prop_map(FleetFault::Withdraw),
        1 => Just(FleetFault::Resubmit),
    ]
}

fn odds() -> impl Strategy<Value = QueueOdds> {
    let part = || prop_oneof![2 => Just(0u32), 2 => 10..120u32, 1 => 120..200u32];
    (part(), part(), part(), part(), part()).prop_map(|(drop, half, double, late, silent)| {
        QueueOdds { drop, half, double, late, silent }
    })
}
