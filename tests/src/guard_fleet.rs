//! Two to seven guards with a ring, a claim table and an attempt ledger each, joined by faulty links.
//!
//! One entry sends attempts, asks for their status and sends again, as callers and entries do. The run stops at the first
//! violation: two owners at one instant, a second run of one key, or a run of an attempt that was said not to have run.

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

/// Wall clock at the start of a run, in milliseconds since the Unix epoch.
const WALL_START_MS: u64 = 1_800_000_000_000;
/// Time between two ticks of a guard.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reads of the ring's row by a guard.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two counts of keys without an owner.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time of the first such count: the ring has started by then.
const OWNERSHIP_CHECK_START: Duration = Duration::from_millis(3_000);

/// Something that happens to the fleet for a number of milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct GuardFault {
    /// What happens.
    pub kind: FaultKind,
    /// The guard that it happens to.
    pub guard: usize,
    /// Its length in milliseconds.
    pub ms: u64,
}

/// What can happen to a guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Its process stands still.
    Pause,
    /// It dies and comes back as a new incarnation with empty hands.
    Restart,
    /// It leaves cleanly and comes back later.
    Leave,
    /// Its messages to the next guard are lost.
    DropToNext,
    /// It is cut off from all others.
    Isolate,
    /// The platform does not answer any guard.
    PlatformOutage,
}

/// A deliberate mistake, to show that the invariants can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// None.
    None,
    /// A promise counts from the arrival of its answer instead of the sending of its request.
    GrantFromArrival,
    /// Every promise counts as given.
    GrantAlways,
    /// A restarted guard keeps its incarnation.
    ReusedIncarnation,
    /// The table takes any next epoch from anyone, also one that replaces several members.
    UncheckedEpochs,
    /// A successor does not ask who owned a key before.
    NoPriorOwners,
    /// An attempt that was said not to have run may run when a late copy arrives.
    NoTombstone,
    /// A run starts without a second look at the lease.
    UncheckedRunStart,
}

/// One randomised run.
#[derive(Clone, Debug)]
pub struct GuardFleetPlan {
    /// Seed of everything that the plan leaves open.
    pub seed: u64,
    /// Rate error of each guard's clock, in parts per million; its length is the number of guards.
    pub drift_ppm: Vec<i64>,
    /// Number of guards that are members from the start.
    pub n_founders: usize,
    /// Faults and their times in milliseconds.
    pub faults: Vec<(u64, GuardFault)>,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Time between two new keys in milliseconds.
    pub key_every_ms: u64,
    /// Kind of the callers' keys.
    pub keys: KeyKind,
    /// Quality of the links.
    pub quality: LinkQuality,
    /// Options of the claim tables.
    pub claims: ClaimOptions,
    /// Whether pauses may fall between the last look at the lease and the run.
    pub pauses_before_run: bool,
    /// The deliberate mistake.
    pub bug: InjectedBug,
}

impl GuardFleetPlan {
    /// Returns a calm run of `n_guards` guards, with one new key in `key_every_ms` milliseconds.
    pub fn calm(
        n_guards: usize,
        keys: KeyKind,
        length_ms: u64,
        key_every_ms: u64,
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
            n_founders: n_guards,
            faults: Vec::new(),
            length_ms,
            key_every_ms,
            keys,
            quality,
            claims: ClaimOptions::default(),
            pauses_before_run: false,
            bug: InjectedBug::None,
        }
    }
}

/// Returns options like those of the product, with a short horizon so that a run reaches beyond it.
pub fn short_retention() -> ClaimOptions {
    ClaimOptions {
        resend_horizon: Duration::from_secs(45),
        retention: Duration::from_secs(300),
        clock_skew: Duration::from_millis(200),
        key_lead: Duration::from_millis(100),
        ..Default::default()
    }
}

/// The guards, the platform's row, the links and the entry.
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
    /// Runs a plan.
    ///
    /// # Errors
    ///
    /// Returns the first violation of an invariant, with its time.
    pub fn run(plan: GuardFleetPlan) -> Result<GuardFleetReport, String> {
        let length = TimePoint::from_millis(plan.length_ms);
        let mut fleet = GuardFleet::new(plan);
        while let Some(event) = fleet.queue.pop() {
            let now = fleet.queue.now();
            if length <= now {
                break;
            }
            // Time alone only ends leases, so a second owner can appear only where a ring changes.
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
        let founders = guards[..plan.n_founders].iter().map(GuardNode::ring_member).collect();
        let mut fleet = GuardFleet {
            rng: StdRng::seed_from_u64(plan.seed),
            queue: EventQueue::default(),
            links: LinkTable::new(plan.quality.clone()),
            guards,
            row: RingDefinition { name: "claims/booking".into(), epoch: 1, members: founders },
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
            GuardFleetEvent::Execute { guard, claim, checked, .. } => {
                self.execute_run(guard, claim, checked)?;
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

    /// Drops events of dead incarnations and puts off those of a guard that stands still.
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

    /// Links belong to instances, so that they stay silent across restarts.
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
            _ => self.guards[guard].ring.wanted_change(now, &alive),
        };
        if let Some(row) = wanted {
            let delay = Duration::from_micros(self.rng.random_range(1_000..400_000));
            self.queue.push(delay, GuardFleetEvent::RowWrite { row });
        }
    }

    /// Replaces the members by whoever this guard has heard of lately, as a careless writer would.
    fn unchecked_change(&mut self, guard: usize, alive: Vec<RingMember>) -> Option<RingDefinition> {
        let definition = self.guards[guard].ring.definition()?;
        let members: Vec<RingMember> =
            alive.into_iter().filter(|_| self.rng.random_bool(0.7)).collect();
        let (name, epoch) = (definition.name.clone(), definition.epoch + 1);
        (!members.is_empty()).then_some(RingDefinition { name, epoch, members })
    }

    /// Applies a compare-and-set of the row.
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

/// Returns the keys whose owners are checked after each event.
fn sample_keys() -> Vec<ContentDigest> {
    (0..6_u8).map(|idx| ContentDigest::of_parts(&[b"probe", &[idx]])).collect()
}

/// Counts by name.
type CounterMap = BTreeMap<&'static str, u64>;

fn ledger_options() -> LedgerOptions {
    LedgerOptions::default()
}
