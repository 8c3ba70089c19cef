//! Simulated guards, with their clocks, and the message handling, runs and shutdown at them.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use ivytrail::{
    claim::{
        AttemptLedger, AttemptVerdict, ClaimOffer, ClaimOptions, ClaimOutcome, ClaimQuestion,
        ClaimTable, ClaimVerdict, StoredResponse,
    },
    id::{AttemptId, ContentDigest, InstanceName, MemberId},
    lease::{LeaseBody, LeaseMessage, LeaseOptions, LeaseRing, RingMember},
    message::CallOutcome,
    time::{TimePoint, WallClock},
};
use rand::RngExt;

use super::{
    GuardFleet, GuardFleetEvent, GuardFleetMessage, InjectedBug, WALL_START_MS, ledger_options,
    message::ClaimRequest,
};

/// Timeout of a question to a prior owner.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between the steps of a graceful shutdown.
const LEAVE_STEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of times that a handover is sent, since messages can be lost.
const HANDOVER_ROUNDS: u32 = 2;

/// State of one guard.
#[derive(Debug)]
pub(super) struct GuardNode {
    idx: usize,
    drift_ppm: i64,
    is_up: bool,
    pub(super) is_leaving: bool,
    rejoin_after_ms: u64,
    pub(super) paused_until: TimePoint,
    pub(super) ring: LeaseRing,
    table: ClaimTable,
    ledger: AttemptLedger,
    requests: BTreeMap<ContentDigest, ClaimRequest>,
}

impl GuardNode {
    pub(super) fn new(
        idx: usize,
        drift_ppm: i64,
        lease: &LeaseOptions,
        claims: &ClaimOptions,
    ) -> GuardNode {
        GuardNode {
            idx,
            drift_ppm,
            is_up: true,
            is_leaving: false,
            rejoin_after_ms: 0,
            paused_until: TimePoint::ORIGIN,
            ring: LeaseRing::new(member_at(idx, 1), lease.clone()),
            table: ClaimTable::new(claims.clone()),
            ledger: AttemptLedger::new(ledger_options()),
            requests: BTreeMap::new(),
        }
    }

    pub(super) fn set_incarnation(&mut self, incarnation: u64, lease: &LeaseOptions) {
        self.ring = LeaseRing::new(member_at(self.idx, incarnation), lease.clone());
    }

    pub(super) fn stop(&mut self) {
        self.is_up = false;
    }

    pub(super) fn is_up(&self) -> bool {
        self.is_up
    }

    pub(super) fn member(&self) -> &MemberId {
        self.ring.local_member()
    }

    pub(super) fn instance(&self) -> &InstanceName {
        &self.member().instance
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.member().incarnation
    }

    pub(super) fn epoch(&self) -> u64 {
        self.ring.definition().map_or(0, |definition| definition.epoch)
    }

    pub(super) fn wants_membership(&self) -> bool {
        self.is_up && !self.is_leaving && !self.ring.is_expelled()
    }

    pub(super) fn ring_member(&self) -> RingMember {
        let domain = ["kolkata", "durgapur", "siliguri"][self.idx % 3];
        RingMember { member: self.member().clone(), domain: domain.into() }
    }

    /// Returns the time of the guard's monotonic clock, which has its own origin and rate, at a true time.
    pub(super) fn clock(&self, now: TimePoint) -> TimePoint {
        let micros = now.as_micros() as i64;
        let offset = 1_000_000 * (self.idx as i64 + 1) * 977;
        TimePoint::from_micros((micros + offset + micros * self.drift_ppm / 1_000_000) as u64)
    }

    /// Returns the time of the guard's wall clock, which deviates from true time by up to 100 ms.
    pub(super) fn wall(&self, now: TimePoint) -> WallClock {
        let error = 50 * (self.idx as u64 % 5);
        WallClock::from_millis(WALL_START_MS + now.as_micros() / 1_000 + error - 100)
    }

    /// Returns whether the guard holds its lease according to its own clock, even if it is paused.
    pub(super) fn holds_lease(&self, now: TimePoint) -> bool {
        self.is_up && self.ring.holds_lease(self.clock(now))
    }

    pub(super) fn owns(&self, now: TimePoint, digest: &ContentDigest) -> bool {
        self.is_up && self.ring.owns(self.clock(now), digest)
    }
}

/// Returns the identifier of a guard's link endpoint, which is the same for all incarnations.
pub(super) fn link_endpoint(idx: usize) -> MemberId {
    member_at(idx, 0)
}

pub(super) fn link_endpoint_of(member: &MemberId) -> MemberId {
    MemberId { instance: member.instance.clone(), incarnation: 0 }
}

fn member_at(idx: usize, incarnation: u64) -> MemberId {
    MemberId { instance: format!("guard-{idx}").into(), incarnation }
}

impl GuardFleet {
    pub(super) fn send_lease(&mut self, guard: usize, out: Vec<(MemberId, LeaseMessage)>) {
        let member = self.guards[guard].member().clone();
        for (to, message) in out {
            self.send(&member, &to, &GuardFleetMessage::Lease(message));
        }
    }

    pub(super) fn deliver(
        &mut self,
        from: &MemberId,
        to: &MemberId,
        message: GuardFleetMessage,
    ) -> Result<(), String> {
        let Some(guard) = self.guards.iter().position(|it| it.member() == to) else {
            return Ok(());
        };
        let (now, wall) = (self.local_now(guard), self.local_wall(guard));
        let member = to.clone();
        let node = &mut self.guards[guard];
        match message {
            GuardFleetMessage::Lease(mut message) => {
                corrupt_grant(self.plan.bug, now, &mut message);
                let mut out = Vec::new();
                node.ring.receive(now, from, message, &mut out);
                self.send_lease(guard, out);
            }
            GuardFleetMessage::Attempt(request) => self.handle_attempt(guard, &request)?,
            GuardFleetMessage::StatusQuery(attempt) => {
                let status = node.ledger.query(now, &attempt);
                if status == ivytrail::claim::AttemptStatus::NotRun {
                    self.checker.record_not_run(&attempt)?;
                }
                self.send(&member, from, &GuardFleetMessage::StatusReply { attempt, status });
            }
            GuardFleetMessage::Question(question) => {
                let priors = node.ring.prior_owners(now, &question.claim, Some(from));
                let answer = node.table.answer_question(now, wall, from, &question, &priors);
                self.send(&member, from, &GuardFleetMessage::Answer(answer));
            }
            GuardFleetMessage::Answer(answer) => {
                let claim = answer.claim;
                for (attempt, verdict) in node.table.apply_answer(now, from, answer) {
                    self.apply_verdict(guard, claim, &attempt, verdict)?;
                }
            }
            GuardFleetMessage::Handover(handover) => {
                node.table.import_handover(now, from, handover);
            }
            GuardFleetMessage::Outcome { .. } | GuardFleetMessage::StatusReply { .. } => {}
        }
        Ok(())
    }

    fn handle_attempt(&mut self, guard: usize, request: &ClaimRequest) -> Result<(), String> {
        let (now, wall) = (self.local_now(guard), self.local_wall(guard));
        let node = &mut self.guards[guard];
        match node.ledger.begin(now, &request.attempt) {
            AttemptVerdict::Fresh => {}
            AttemptVerdict::Tombstone if self.plan.bug == InjectedBug::NoTombstone => {}
            AttemptVerdict::Tombstone => {
                return self.report_outcome(guard, &request.attempt, CallOutcome::NotRun);
            }
            _ => return Ok(()),
        }
        if node.is_leaving || !node.ring.owns(now, &request.claim) {
            self.checker.count("not-owner");
            return self.report_outcome(guard, &request.attempt, CallOutcome::NotRun);
        }
        let priors = match self.plan.bug {
            InjectedBug::NoPriorOwners => Vec::new(),
            _ => node.ring.prior_owners(now, &request.claim, None),
        };
        let offer = ClaimOffer {
            claim: request.claim,
            fingerprint: request.claim,
            made_ms: request.made_ms,
            attempt: request.attempt.clone(),
            priors,
        };
        let verdict = node.table.offer(now, wall, &offer);
        if matches!(verdict, ClaimVerdict::Run | ClaimVerdict::Ask(_)) {
            node.requests.insert(request.claim, request.clone());
        }
        self.apply_verdict(guard, request.claim, &request.attempt, verdict)
    }

    fn apply_verdict(
        &mut self,
        guard: usize,
        claim: ContentDigest,
        attempt: &AttemptId,
        verdict: ClaimVerdict,
    ) -> Result<(), String> {
        let incarnation = self.guards[guard].incarnation();
        match verdict {
            ClaimVerdict::Run => {
                let wait = Duration::from_millis(self.rng.random_range(0..300));
                self.queue.push(wait, GuardFleetEvent::StartRun { guard, incarnation, claim });
                Ok(())
            }
            ClaimVerdict::Join => Ok(()),
            ClaimVerdict::Ask(owner) => {
                self.checker.count("asked");
                let member = self.guards[guard].member().clone();
                let made_ms = self.guards[guard].requests[&claim].made_ms;
                let question = ClaimQuestion { claim, fingerprint: claim, made_ms };
                self.send(&member, &owner, &GuardFleetMessage::Question(question));
                self.queue.push(
                    QUESTION_TIMEOUT,
                    GuardFleetEvent::QuestionTimeout { guard, incarnation, claim },
                );
                Ok(())
            }
            ClaimVerdict::Replay(_) => self.report_outcome(guard, attempt, CallOutcome::Ran),
            ClaimVerdict::TooNew | ClaimVerdict::Full | ClaimVerdict::KeyReused => {
                self.report_outcome(guard, attempt, CallOutcome::NotRun)
            }
            ClaimVerdict::InDoubt | ClaimVerdict::TooOld | ClaimVerdict::AnswerGone => {
                self.checker.count("in-doubt");
                self.report_outcome(guard, attempt, CallOutcome::Unknown)
            }
        }
    }

    /// Checks the lease and schedules the execution of the run, as the reducer does.
    pub(super) fn start_run(&mut self, guard: usize, claim: ContentDigest) -> Result<(), String> {
        let now = self.local_now(guard);
        let incarnation = self.guards[guard].incarnation();
        let is_owner = self.guards[guard].ring.owns(now, &claim);
        if !is_owner && self.plan.bug != InjectedBug::UncheckedRunStart {
            return self.drop_run(guard, claim);
        }
        let gap = Duration::from_micros(self.rng.random_range(0..20_000));
        self.queue
            .push(gap, GuardFleetEvent::Execute { guard, incarnation, claim, checked_at: now });
        Ok(())
    }

    /// Executes the run, as the daemon's runtime does, unless the run window after the lease check has passed.
    pub(super) fn execute_run(
        &mut self,
        guard: usize,
        claim: ContentDigest,
        checked_at: TimePoint,
    ) -> Result<(), String> {
        let now = self.local_now(guard);
        let is_late = self.lease_options.run_window() < now.since(checked_at);
        let is_checked =
            !self.plan.pauses_before_run && self.plan.bug != InjectedBug::UncheckedRunStart;
        if is_late && is_checked {
            return self.drop_run(guard, claim);
        }
        let attempt = self.guards[guard].table.running_attempt(&claim).cloned();
        let attempt = attempt.ok_or("a run started without a claim")?;
        let member = self.guards[guard].member().clone();
        self.checker.record_run(claim, attempt, &member)?;
        let true_now = self.queue.now();
        if !self.plan.pauses_before_run {
            let by = &self.guards[guard];
            self.checker.check_successor(true_now, &claim, by, &self.guards)?;
        }
        let length = Duration::from_millis(self.rng.random_range(20..400));
        let incarnation = member.incarnation;
        self.queue.push(length, GuardFleetEvent::EndRun { guard, incarnation, claim });
        Ok(())
    }

    fn drop_run(&mut self, guard: usize, claim: ContentDigest) -> Result<(), String> {
        let now = self.local_now(guard);
        self.checker.count("dropped-starts");
        let attempt = self.guards[guard].table.running_attempt(&claim).cloned();
        let joined = self.guards[guard].table.release_not_run(now, &claim);
        for attempt in attempt.into_iter().chain(joined) {
            self.report_outcome(guard, &attempt, CallOutcome::NotRun)?;
        }
        Ok(())
    }

    pub(super) fn end_run(&mut self, guard: usize, claim: ContentDigest) -> Result<(), String> {
        let now = self.local_now(guard);
        let answer =
            StoredResponse { status: 201, headers: Vec::new(), body: Bytes::from_static(b"{}") };
        let attempt = self.guards[guard].table.running_attempt(&claim).cloned();
        let joined = self.guards[guard].table.settle(now, &claim, ClaimOutcome::Answered(answer));
        for attempt in attempt.into_iter().chain(joined) {
            self.report_outcome(guard, &attempt, CallOutcome::Ran)?;
        }
        Ok(())
    }

    pub(super) fn abandon_question(&mut self, guard: usize, claim: ContentDigest) {
        let now = self.local_now(guard);
        for attempt in self.guards[guard].table.abandon_question(now, &claim) {
            self.send_outcome(guard, &attempt, CallOutcome::Unknown);
        }
    }

    fn report_outcome(
        &mut self,
        guard: usize,
        attempt: &AttemptId,
        outcome: CallOutcome,
    ) -> Result<(), String> {
        if outcome == CallOutcome::NotRun {
            self.checker.record_not_run(attempt)?;
        }
        self.send_outcome(guard, attempt, outcome);
        Ok(())
    }

    fn send_outcome(&mut self, guard: usize, attempt: &AttemptId, outcome: CallOutcome) {
        let now = self.local_now(guard);
        let member = self.guards[guard].member().clone();
        if self.plan.bug != InjectedBug::NoTombstone {
            self.guards[guard].ledger.end(now, attempt, outcome);
        }
        let message = GuardFleetMessage::Outcome { attempt: attempt.clone(), outcome };
        self.send(&member, &attempt.entry.clone(), &message);
    }

    /// Starts a graceful shutdown: refuses new claims, and hands over after running claims had time to end.
    pub(super) fn start_leave(&mut self, guard: usize, rejoin_after_ms: u64) {
        let node = &mut self.guards[guard];
        if !node.is_up || node.is_leaving {
            return;
        }
        node.is_leaving = true;
        node.rejoin_after_ms = rejoin_after_ms;
        let incarnation = node.incarnation();
        self.queue
            .push(LEAVE_STEP_INTERVAL, GuardFleetEvent::HandOver { guard, incarnation, round: 0 });
    }

    pub(super) fn hand_over(&mut self, guard: usize, round: u32) {
        let now = self.local_now(guard);
        let member = self.guards[guard].member().clone();
        let incarnation = member.incarnation;
        if round < HANDOVER_ROUNDS {
            let successors = self.guards[guard].ring.successors();
            for (to, handover) in self.guards[guard].table.handover_batches(now, &successors, 50) {
                self.send(&member, &to, &GuardFleetMessage::Handover(handover));
            }
        } else if round == HANDOVER_ROUNDS {
            let mut out = Vec::new();
            self.guards[guard].ring.leave(now, &mut out);
            self.send_lease(guard, out);
        } else {
            let after = Duration::from_millis(self.guards[guard].rejoin_after_ms);
            self.guards[guard].stop();
            self.queue.push(after, GuardFleetEvent::Restarted { guard });
            return;
        }
        let round = round + 1;
        self.queue
            .push(LEAVE_STEP_INTERVAL, GuardFleetEvent::HandOver { guard, incarnation, round });
    }
}

/// Modifies a received lease reply if the injected bug concerns lease grants.
fn corrupt_grant(bug: InjectedBug, now: TimePoint, message: &mut LeaseMessage) {
    if let LeaseBody::Reply { sent, granted, .. } = &mut message.body {
        *sent = if bug == InjectedBug::GrantFromArrival { now } else { *sent };
        *granted |= bug == InjectedBug::GrantAlways;
    }
}
