//! Deterministic simulation of two to seven guards, each with a lease ring, a claim table and an attempt ledger, that
//! are connected by faulty links.
//!
//! One entry sends attempts, queries their status and retries. The simulation stops at the first violation: two
//! simultaneous owners of a key, a second run of a key, or a run of an attempt that was reported as not run.

use std::{collections::BTreeMap, time::Duration};

use ivytrail::{
    claim::{ClaimOptions, LedgerOptions},
    id::{ContentDigest, MemberId},
    lease::{LeaseOptions, RingDefinition, RingMember},
    time::{TimePoint, WallClock},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

mod caller;
mod checker;
mod guard;
mod message;

use self::{
    caller::CallerState,
    checker::InvariantChecker,
    guard::GuardNode,
    message::{GuardFleetEvent, GuardFleetMessage},
};
pub use self::{caller::KeyKind, checker::GuardFleetReport};
use crate::queue::{EventQueue, LinkQuality, LinkTable};

/// Wall clock time at the start of a simulation, in milliseconds since the Unix epoch.
const WALL_START_MS: u64 = 1_800_000_000_000;
/// Interval between two ticks of a guard.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two reads of the ring's row by a guard.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between two counts of the keys without an owner.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time of the first count, by which the ring has started.
const OWNERSHIP_CHECK_START: Duration = Duration::from_millis(3_000);

/// A fault of limited duration.
#[derive(Clone, Copy, Debug)]
pub struct GuardFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the affected guard.
    pub guard: usize,
    /// Duration in milliseconds.
    pub ms: u64,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The guard's process is paused.
    Pause,
    /// The guard crashes and restarts as a new incarnation without its state.
    Restart,
    /// The guard shuts down gracefully and rejoins later.
    Leave,
    /// The guard's messages to the next guard are lost.
    DropToNext,
    /// The guard is disconnected from all other guards.
    Isolate,
    /// The platform responds to no guard.
    PlatformOutage,
}

/// A deliberate bug, which shows that the checks detect violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// No bug.
    None,
    /// A lease grant counts from the arrival of the reply instead of the sending of the request.
    GrantFromArrival,
    /// Every lease request counts as granted.
    GrantAlways,
    /// A restarted guard keeps its incarnation.
    ReusedIncarnation,
    /// The ring's row accepts the next epoch from any guard, even if it replaces several members.
    UncheckedEpochs,
    /// A new owner doesn't ask the prior owners of a key about its claim.
    NoPriorOwners,
    /// A late copy of an attempt that was reported as not run may run.
    NoTombstone,
    /// A run starts without a second check of the lease.
    UncheckedRunStart,
}

/// Configuration of one simulation.
#[derive(Clone, Debug)]
pub struct GuardFleetPlan {
    /// Seed of all random choices during the simulation.
    pub seed: u64,
    /// Rate error of each guard's clock, in parts per million; the length is the number of guards.
    pub drift_ppm: Vec<i64>,
    /// Number of guards that are ring members from the start.
    pub n_initial_members: usize,
    /// Faults with their start times in milliseconds.
    pub faults: Vec<(u64, GuardFault)>,
    /// Length of the simulation in milliseconds.
    pub length_ms: u64,
    /// Interval between two new keys in milliseconds.
    pub key_interval_ms: u64,
    /// Kind of the callers' idempotency keys.
    pub keys: KeyKind,
    /// Delays and fault rates of the links.
    pub quality: LinkQuality,
    /// Options of the claim tables.
    pub claims: ClaimOptions,
    /// Whether a pause may occur between the last check of the lease and the start of the run.
    pub pauses_before_run: bool,
    /// Deliberate bug, if any.
    pub bug: InjectedBug,
}

impl GuardFleetPlan {
    /// Returns a simulation of `n_guards` guards without faults, with a new key every `key_interval_ms` milliseconds.
    pub fn fault_free(
        n_guards: usize,
        keys: KeyKind,
        length_ms: u64,
        key_interval_ms: u64,
    ) -> GuardFleetPlan {
        let quality = LinkQuality {
            lost_per_mille: 0,
            duplicated_per_mille: 0,
            delayed_per_mille: 0,
            ..Default::default()
        };
        GuardFleetPlan {
            seed: 1,
            drift_ppm: vec![0; n_guards],
            n_initial_members: n_guards,
            faults: Vec::new(),
            length_ms,
            key_interval_ms,
            keys,
            quality,
            claims: ClaimOptions::default(),
            pauses_before_run: false,
            bug: InjectedBug::None,
        }
    }
}

/// Returns claim options with a resend horizon that is shorter than a simulation, so that keys outlive it.
pub fn short_retention() -> ClaimOptions {
    ClaimOptions {
        resend_horizon: Duration::from_secs(45),
        retention: Duration::from_secs(300),
        clock_skew: Duration::from_millis(200),
        max_key_lead: Duration::from_millis(100),
        ..Default::default()
    }
}

/// Simulated guards with the ring's row on the platform, the links and the entry.
#[derive(Debug)]
pub struct GuardFleet {
    plan: GuardFleetPlan,
    rng: StdRng,
    queue: EventQueue<GuardFleetEvent>,
    links: LinkTable<MemberId>,
    guards: Vec<GuardNode>,
    row: RingDefinition,
    outage_until: TimePoint,
    caller: CallerState,
    checker: InvariantChecker,
    lease_options: LeaseOptions,
}

impl GuardFleet {
    /// Runs a simulation and returns its counts.
    ///
    /// # Errors
    ///
    /// Returns the first violation of an invariant with its simulated time.
    pub fn run(plan: GuardFleetPlan) -> Result<GuardFleetReport, String> {
        let length = TimePoint::from_millis(plan.length_ms);
        let mut fleet = GuardFleet::new(plan);
        while let Some(event) = fleet.queue.pop() {
            let now = fleet.queue.now();
            if length <= now {
                break;
            }
            // Leases end as time passes, but a second owner can appear only when a ring changes.
            let changes_ring = event.changes_ring();
            fleet.apply(event).map_err(|violation| format!("at {now}: {violation}"))?;
            if changes_ring {
                let owners = fleet.checker.check_owners(now, &fleet.guards);
                owners.map_err(|violation| format!("at {now}: {violation}"))?;
            }
        }
        Ok(fleet.checker.report())
    }

    fn new(plan: GuardFleetPlan) -> GuardFleet {
        let lease_options =
            LeaseOptions { max_members: plan.drift_ppm.len(), ..Default::default() };
        let guards: Vec<GuardNode> = plan
            .drift_ppm
            .iter()
            .enumerate()
            .map(|(idx, drift)| GuardNode::new(idx, *drift, &lease_options, &plan.claims))
            .collect();
        let initial_members =
            guards[..plan.n_initial_members].iter().map(GuardNode::ring_member).collect();
        let mut fleet = GuardFleet {
            rng: StdRng::seed_from_u64(plan.seed),
            queue: EventQueue::default(),
            links: LinkTable::new(plan.quality.clone()),
            guards,
            row: RingDefinition {
                name: "claims/booking".into(),
                epoch: 1,
                members: initial_members,
            },
            outage_until: TimePoint::ORIGIN,
            caller: CallerState::new(plan.keys),
            checker: InvariantChecker::default(),
            lease_options,
            plan,
        };
        fleet.schedule();
        fleet
    }

    fn schedule(&mut self) {
        for (at, fault) in self.plan.faults.clone() {
            self.queue.push_at(TimePoint::from_millis(at), GuardFleetEvent::Fault(fault));
        }
        for idx in 0..self.guards.len() {
            self.start_timers(idx);
        }
        self.queue.push(Duration::ZERO, GuardFleetEvent::NewKey);
        self.queue.push(OWNERSHIP_CHECK_START, GuardFleetEvent::OwnershipCheck);
    }

    fn start_timers(&mut self, guard: usize) {
        let incarnation = self.guards[guard].incarnation();
        self.queue.push(Duration::ZERO, GuardFleetEvent::Poll { guard, incarnation });
        self.queue.push(Duration::ZERO, GuardFleetEvent::Tick { guard, incarnation });
    }

    fn apply(&mut self, event: GuardFleetEvent) -> Result<(), String> {
        let Some(event) = self.drop_or_defer(event) else { return Ok(()) };
        match event {
            GuardFleetEvent::Fault(fault) => self.inject_fault(fault),
            GuardFleetEvent::NewKey => self.send_new_key(),
            GuardFleetEvent::OwnershipCheck => {
                self.checker.count_unowned(self.queue.now(), &self.guards);
                self.queue.push(OWNERSHIP_CHECK_INTERVAL, GuardFleetEvent::OwnershipCheck);
            }
            GuardFleetEvent::Resend { key, tries } => self.send_key(key, tries),
            GuardFleetEvent::StatusQuery { serial, tries } => self.query_status(serial, tries),
            GuardFleetEvent::Deliver { from, to, message } if to == caller::entry() => {
                self.handle_reply(&from, message);
            }
            GuardFleetEvent::Deliver { from, to, message } => self.deliver(&from, &to, message)?,
            GuardFleetEvent::Tick { guard, incarnation } => self.tick(guard, incarnation),
            GuardFleetEvent::Poll { guard, incarnation } => self.poll(guard, incarnation),
            GuardFleetEvent::RowRead { guard, row, .. } => {
                let now = self.local_now(guard);
                self.guards[guard].ring.install(now, row);
            }
            GuardFleetEvent::RowWrite { row } => self.write_row(row),
            GuardFleetEvent::StartRun { guard, claim, .. } => self.start_run(guard, claim)?,
            GuardFleetEvent::Execute { guard, claim, checked_at, .. } => {
                self.execute_run(guard, claim, checked_at)?;
            }
            GuardFleetEvent::EndRun { guard, claim, .. } => self.end_run(guard, claim)?,
            GuardFleetEvent::QuestionTimeout { guard, claim, .. } => {
                self.abandon_question(guard, claim);
            }
            GuardFleetEvent::HandOver { guard, round, .. } => self.hand_over(guard, round),
            GuardFleetEvent::Restarted { guard } => self.restart_guard(guard),
        }
        Ok(())
    }

    /// Drops an event for an ended incarnation, and defers one for a guard that is paused.
    fn drop_or_defer(&mut self, event: GuardFleetEvent) -> Option<GuardFleetEvent> {
        let Some((guard, incarnation)) = event.guard(&self.guards) else { return Some(event) };
        let node = &self.guards[guard];
        if !node.is_up() || node.incarnation() != incarnation {
            return None;
        }
        if self.queue.now() < node.paused_until {
            self.queue.push_at(node.paused_until, event);
            return None;
        }
        Some(event)
    }

    fn inject_fault(&mut self, fault: GuardFault) {
        let GuardFault { kind, guard, ms } = fault;
        let n_guards = self.guards.len();
        let until = self.queue.now().plus(Duration::from_millis(ms));
        match kind {
            FaultKind::Pause => self.guards[guard].paused_until = until,
            FaultKind::Restart => {
                self.guards[guard].stop();
                self.queue.push(Duration::from_millis(ms), GuardFleetEvent::Restarted { guard });
            }
            FaultKind::Leave => self.start_leave(guard, ms),
            FaultKind::DropToNext => self.drop_messages(guard, (guard + 1) % n_guards, until),
            FaultKind::Isolate => {
                for other in (0..n_guards).filter(|other| *other != guard) {
                    self.drop_messages(guard, other, until);
                    self.drop_messages(other, guard, until);
                }
            }
            FaultKind::PlatformOutage => self.outage_until = until,
        }
    }

    /// Drops messages from one guard to another until `until`.
    ///
    /// Links belong to instances, so a restart doesn't restore them.
    fn drop_messages(&mut self, from: usize, to: usize, until: TimePoint) {
        let (from, to) = (guard::link_endpoint(from), guard::link_endpoint(to));
        self.links.drop_until(from, to, until);
    }

    fn restart_guard(&mut self, guard: usize) {
        let keeps_incarnation = self.plan.bug == InjectedBug::ReusedIncarnation;
        let now_ms = self.queue.now().as_micros() / 1_000;
        let incarnation = if keeps_incarnation {
            self.guards[guard].incarnation()
        } else {
            WALL_START_MS + now_ms
        };
        let paused_until = self.guards[guard].paused_until;
        if self.guards[guard].is_up() {
            return;
        }
        let drift = self.plan.drift_ppm[guard];
        let mut node = GuardNode::new(guard, drift, &self.lease_options, &self.plan.claims);
        node.set_incarnation(incarnation, &self.lease_options);
        node.paused_until = paused_until;
        self.guards[guard] = node;
        self.start_timers(guard);
    }

    fn tick(&mut self, guard: usize, incarnation: u64) {
        let now = self.local_now(guard);
        let mut out = Vec::new();
        self.guards[guard].ring.tick(now, &mut out);
        self.send_lease(guard, out);
        self.queue.push(TICK_INTERVAL, GuardFleetEvent::Tick { guard, incarnation });
        let must_restart = self.guards[guard].ring.is_expelled() && !self.guards[guard].is_leaving;
        if must_restart {
            self.guards[guard].stop();
            self.queue.push(Duration::from_millis(500), GuardFleetEvent::Restarted { guard });
        }
    }

    fn poll(&mut self, guard: usize, incarnation: u64) {
        self.queue.push(POLL_INTERVAL, GuardFleetEvent::Poll { guard, incarnation });
        if self.queue.now() < self.outage_until {
            return;
        }
        let row = self.row.clone();
        let delay = Duration::from_micros(self.rng.random_range(1_000..400_000));
        self.queue.push(delay, GuardFleetEvent::RowRead { guard, incarnation, row });
        let alive: Vec<RingMember> = self
            .guards
            .iter()
            .filter(|it| it.wants_membership())
            .map(GuardNode::ring_member)
            .collect();
        let now = self.local_now(guard);
        let wanted = match self.plan.bug {
            InjectedBug::UncheckedEpochs => self.unchecked_change(guard, alive),
            _ => self.guards[guard].ring.proposed_change(now, &alive),
        };
        if let Some(row) = wanted {
            let delay = Duration::from_micros(self.rng.random_range(1_000..400_000));
            self.queue.push(delay, GuardFleetEvent::RowWrite { row });
        }
    }

    /// Returns a definition with random running guards as members, regardless of the current ones.
    fn unchecked_change(&mut self, guard: usize, alive: Vec<RingMember>) -> Option<RingDefinition> {
        let definition = self.guards[guard].ring.definition()?;
        let members: Vec<RingMember> =
            alive.into_iter().filter(|_| self.rng.random_bool(0.7)).collect();
        let (name, epoch) = (definition.name.clone(), definition.epoch + 1);
        (!members.is_empty()).then_some(RingDefinition { name, epoch, members })
    }

    /// Stores the row if its epoch directly follows the current one and the platform is up.
    fn write_row(&mut self, row: RingDefinition) {
        if self.outage_until <= self.queue.now() && row.epoch == self.row.epoch + 1 {
            self.row = row;
            self.checker.count("epochs");
        }
    }

    fn send(&mut self, from: &MemberId, to: &MemberId, message: &GuardFleetMessage) {
        let now = self.queue.now();
        let ends = (guard::link_endpoint_of(from), guard::link_endpoint_of(to));
        for delay in self.links.delivery_delays(now, &ends.0, &ends.1, &mut self.rng) {
            let event = GuardFleetEvent::Deliver {
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            };
            self.queue.push(delay, event);
        }
    }

    fn local_now(&self, guard: usize) -> TimePoint {
        self.guards[guard].clock(self.queue.now())
    }

    fn local_wall(&self, guard: usize) -> WallClock {
        self.guards[guard].wall(self.queue.now())
    }
}

/// Returns the sample of keys whose ownership is checked.
fn sample_keys() -> Vec<ContentDigest> {
    (0..6_u8).map(|idx| ContentDigest::of_parts(&[b"probe", &[idx]])).collect()
}

/// Counters by name.
type CounterMap = BTreeMap<&'static str, u64>;

fn ledger_options() -> LedgerOptions {
    LedgerOptions::default()
}
