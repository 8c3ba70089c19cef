//! Generated scenarios of timed requests and faults for a [`DaemonFleet`].

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::{
    daemon_fleet::{
        BackendMode, CallerRequest, DaemonFleet, FleetFault, KeyKind, MS, MessageFaultRates,
    },
    firms::{FirmConfig, RouteRole, stratolift, teigwerk},
    invariants::check_invariants,
    session::SessionTrace,
};

/// Time before the first request, in milliseconds, in which rings form and quota becomes available.
const WARMUP_MS: u64 = 8_000;
/// Length of the period with requests and faults, in milliseconds.
const ACTIVE_MS: u64 = 12_000;
/// Time without new requests and faults at the end, in milliseconds; every call's deadline is reached within it.
const SETTLE_MS: u64 = 8_000;

/// One request of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioRequest {
    /// Time of sending, in milliseconds after the warm-up.
    pub at_ms: u64,
    /// Role of the route.
    pub role: RouteRole,
    /// Index of the entry daemon.
    pub entry: usize,
    /// Index of the client account.
    pub account: usize,
    /// Kind of the idempotency key.
    pub key: KeyKind,
    /// Number of copies that are sent almost simultaneously to different entries.
    pub n_copies: u64,
    /// Whether the request crashes the backend server that runs it.
    pub is_poison: bool,
}

/// A scenario of requests and faults.
#[derive(Clone, Debug)]
pub struct FleetScenario {
    /// Seed of the simulation.
    pub seed: u64,
    /// Whether the firm is Teigwerk instead of Stratolift.
    pub is_teigwerk: bool,
    /// Number of daemons of the outer service; the inner service has one daemon.
    pub n_outer: usize,
    /// Requests of the callers.
    pub requests: Vec<ScenarioRequest>,
    /// Faults, each with its time in milliseconds after the warm-up.
    pub faults: Vec<(u64, FleetFault)>,
}

/// Result of running a scenario.
#[derive(Debug, Default)]
pub struct ScenarioReport {
    /// Number of events applied by reducers.
    pub n_events: u64,
    /// Number of runs at backend servers.
    pub n_runs: u64,
    /// Number of calls that got a complete response with status 200.
    pub n_complete_responses: u64,
    /// Number of injected faults by kind.
    pub n_faults: BTreeMap<&'static str, u64>,
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Text of the session, or empty if it was not traced.
    pub session: String,
}

impl FleetScenario {
    /// Runs the scenario and checks the invariants; a panic, such as a failed assertion, counts as a violation.
    pub fn run(&self, is_traced: bool) -> ScenarioReport {
        let attempt = std::panic::AssertUnwindSafe(|| self.run_fleet(is_traced));
        std::panic::catch_unwind(attempt).unwrap_or_else(|cause| {
            let text = cause.downcast_ref::<String>().cloned();
            let text = text.or_else(|| cause.downcast_ref::<&str>().map(ToString::to_string));
            let violations = vec![format!("assertion: {}", text.unwrap_or_default())];
            ScenarioReport { violations, ..ScenarioReport::default() }
        })
    }

    fn run_fleet(&self, is_traced: bool) -> ScenarioReport {
        let firm = if self.is_teigwerk { teigwerk() } else { stratolift() };
        let mut fleet = self.build_fleet(firm);
        if is_traced {
            fleet.run_until(WARMUP_MS * MS);
            fleet.trace = Some(SessionTrace::default());
        }
        fleet.run_until((WARMUP_MS + ACTIVE_MS + SETTLE_MS) * MS);
        let is_complete = |it: &crate::daemon_fleet::CallRecord| {
            it.answers.iter().any(|(_, answer)| {
                matches!(answer, ivytrail::reducer::CallAnswer::Complete { status: 200, .. })
            })
        };
        ScenarioReport {
            n_events: fleet.n_events,
            n_runs: fleet.runs.len() as u64,
            n_complete_responses: fleet.calls.values().filter(|it| is_complete(it)).count() as u64,
            violations: check_invariants(&fleet),
            session: fleet.trace.as_ref().map_or(String::new(), |it| it.text().to_string()),
            n_faults: fleet.n_faults,
        }
    }

    fn build_fleet(&self, firm: FirmConfig) -> DaemonFleet {
        let mut services = vec![firm.service(RouteRole::OuterWrite); self.n_outer];
        services.push(firm.service(RouteRole::InnerWrite));
        let mut fleet = DaemonFleet::new(firm, &services, self.seed);
        for (request, step) in (1..).zip(&self.requests) {
            let at = (WARMUP_MS + step.at_ms) * MS;
            let route = fleet.firm.route(step.role);
            for copy in 0..step.n_copies {
                let entry = (step.entry + copy as usize) % services.len();
                let mut caller_request = CallerRequest::new(at + copy, request, route, entry);
                caller_request.account = Some(step.account);
                caller_request.key = step.key;
                caller_request.n_resends = 3;
                caller_request.is_poison = step.is_poison;
                fleet.schedule_call(caller_request);
            }
        }
        for (at_ms, fault) in &self.faults {
            fleet.schedule_fault((WARMUP_MS + at_ms) * MS, fault.clone());
        }
        fleet
    }
}

/// Returns a strategy that generates scenarios with up to `n_faults` faults.
pub fn scenario_strategy(n_faults: usize) -> impl Strategy<Value = FleetScenario> {
    let requests = prop::collection::vec(request_strategy(), 5..60);
    (any::<u64>(), any::<bool>(), 1..4usize, requests).prop_flat_map(
        move |(seed, is_teigwerk, n_outer, requests)| {
            let fault = (0..ACTIVE_MS, fault_strategy(n_outer + 1));
            prop::collection::vec(fault, 0..=n_faults).prop_map(move |faults| FleetScenario {
                seed,
                is_teigwerk,
                n_outer,
                requests: requests.clone(),
                faults,
            })
        },
    )
}

fn request_strategy() -> impl Strategy<Value = ScenarioRequest> {
    let role = prop_oneof![
        6 => Just(RouteRole::OuterWrite),
        3 => Just(RouteRole::InnerWrite),
        2 => Just(RouteRole::OuterRead),
    ];
    let key = prop_oneof![
        4 => Just(KeyKind::Timed),
        2 => Just(KeyKind::Opaque),
        1 => Just(KeyKind::Absent),
    ];
    let n_copies = prop_oneof![6 => Just(1u64), 2 => Just(2), 1 => Just(6)];
    let is_poison = prop::bool::weighted(0.02);
    (0..ACTIVE_MS, role, 0..4usize, 0..2usize, key, n_copies, is_poison).prop_map(
        |(at_ms, role, entry, account, key, n_copies, is_poison)| ScenarioRequest {
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

fn fault_strategy(n_nodes: usize) -> impl Strategy<Value = FleetFault> {
    let mode = prop_oneof![
        Just(BackendMode::Serving),
        Just(BackendMode::Slow),
        Just(BackendMode::Shedding),
        Just(BackendMode::Truncating),
        Just(BackendMode::Draining),
        Just(BackendMode::Crashed),
    ];
    prop_oneof![
        4 => (0..n_nodes, 100..9_000u64, any::<bool>())
            .prop_map(|(idx, ms, armed)| FleetFault::Pause(idx, ms, armed)),
        2 => (0..n_nodes).prop_map(FleetFault::Restart),
        1 => (0..n_nodes).prop_map(FleetFault::Leave),
        2 => (0..n_nodes, 0..n_nodes, 100..8_000u64)
            .prop_map(|(from, to, ms)| FleetFault::Partition(from, to, ms)),
        4 => (fault_rate_strategy(), 50..4_000u64).prop_map(|(rates, ms)| FleetFault::Queue(rates, ms)),
        4 => (0..n_nodes, mode).prop_map(|(idx, mode)| FleetFault::Backend(idx, mode)),
        2 => (500..10_000u64).prop_map(FleetFault::PlatformDown),
        2 => (500..5_000u64).prop_map(FleetFault::PlatformLossy),
        1 => (0..2usize).prop_map(FleetFault::Withdraw),
        1 => Just(FleetFault::Resubmit),
    ]
}

fn fault_rate_strategy() -> impl Strategy<Value = MessageFaultRates> {
    let rate = || prop_oneof![2 => Just(0u32), 2 => 10..120u32, 1 => 120..200u32];
    (rate(), rate(), rate(), rate(), rate()).prop_map(
        |(lost_with_error, delivered_with_error, duplicated, delayed, lost_silently)| {
            MessageFaultRates {
                lost_with_error,
                delivered_with_error,
                duplicated,
                delayed,
                lost_silently,
            }
        },
    )
}
