//! The guard in front of the own backend server: attempts from their arrival to their reply.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use smol_str::SmolStr;

use super::{
    MeshReducer, Turn,
    cost::CostEstimator,
    ended_attempts::{AttemptStatus, EndedAttempts},
    event::{MeshEffect, RunEnd, RunId},
    frame::{AttemptOrder, AttemptResult, PeerFrame, ServerCard, ServerLoad, ServerPhase},
    log_budget::LineWeight,
    queue::{QueueRank, SlotDecision, SlotQueue, SlotRequest},
};
use crate::{
    id::{AttemptId, ContentDigest, MemberId, RouteName},
    message::{CallOutcome, RefusalReason},
    time::TimePoint,
};

/// Share of the announced slots that is used; some servers slow down when their last slots fill.
const USED_SLOTS: f64 = 0.95;
/// Time without the entry's link after which what it waits for is given up.
const LOST_ENTRY_PATIENCE: Duration = Duration::from_millis(1_000);
/// Stands between the identifier of a request and what tells its calls apart.
const CALL_SEPARATOR: char = '.';

/// An attempt that waits or runs here.
#[derive(Debug)]
pub(super) struct GuardAttempt {
    attempt: AttemptId,
    pub(super) order: Arc<AttemptOrder>,
    body: Bytes,
    deadline: TimePoint,
    pub(super) arrived_at: TimePoint,
    pub(super) started_at: Option<TimePoint>,
    /// Whether the entry has given it up.
    is_abandoned: bool,
    /// Calls that the run has made, by route.
    pub(super) calls: Vec<(RouteName, u32)>,
    /// Whether one of them failed.
    has_failed_call: bool,
}

/// Attempts at the own backend server.
#[derive(Debug, Default)]
pub(super) struct GuardRuns {
    pub(super) server: Option<ServerCard>,
    pub(super) sequence: u64,
    pub(super) queue: SlotQueue<RunId>,
    pub(super) attempts: HashMap<RunId, GuardAttempt>,
    runs: HashMap<AttemptId, RunId>,
    ended: EndedAttempts,
    next_run: u64,
    /// Until when no run is started, since the backend server took no connection.
    pub(super) paused_until: TimePoint,
    pub(super) broken: VecDeque<(TimePoint, ContentDigest)>,
    /// Runs by the identifier of their request.
    by_request: HashMap<SmolStr, RunId>,
    /// When a call failed whose parent is not known.
    call_failed_at: Option<TimePoint>,
    /// What is learned of the routes that run here.
    pub(super) learner: CostEstimator,
}

impl GuardRuns {
    pub(super) fn server(&self) -> Option<&ServerCard> {
        self.server.as_ref()
    }

    pub(super) fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.queue.n_running() as u32,
            queued: self.queue.n_waiting() as u32,
            limit: self.queue.limit(),
            mean_run_us: u32::try_from(self.queue.mean_run_time().as_micros()).unwrap_or(u32::MAX),
            pressure: (self.queue.pressure() * 1_000.0) as u16,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the number of attempts that may run at once now.
    pub(super) fn wanted_limit(&self, now: TimePoint) -> u32 {
        match &self.server {
            Some(server) if server.phase == ServerPhase::Ready && self.paused_until <= now => {
                ((f64::from(server.slots) * USED_SLOTS) as u32).max(1)
            }
            _ => 0,
        }
    }

    /// Returns the running request that makes the call with this identifier: backend servers name their calls after it.
    pub(super) fn parent_of(&self, request_id: &str) -> Option<RunId> {
        let (parent_id, _) = request_id.rsplit_once(CALL_SEPARATOR)?;
        self.by_request.get(parent_id).copied()
    }

    /// Records a call of a running request and returns the priority and the start of its root.
    pub(super) fn note_call(
        &mut self,
        parent: RunId,
        route: &RouteName,
    ) -> Option<(u8, TimePoint)> {
        let run = self.attempts.get_mut(&parent)?;
        match run.calls.iter_mut().find(|(it, _)| it == route) {
            Some((_, n_calls)) => *n_calls += 1,
            None => run.calls.push((route.clone(), 1)),
        }
        let root_age = Duration::from_micros(run.order.root_age_us);
        Some((run.order.priority, run.arrived_at.minus(root_age)))
    }

    /// Records that a call failed.
    pub(super) fn note_failed_call(&mut self, now: TimePoint, parent: Option<RunId>) {
        match parent.and_then(|it| self.attempts.get_mut(&it)) {
            Some(run) => run.has_failed_call = true,
            None => self.call_failed_at = Some(now),
        }
    }

    fn take(&mut self, run: RunId) -> Option<GuardAttempt> {
        let ended = self.attempts.remove(&run)?;
        self.runs.remove(&ended.attempt);
        if self.by_request.get(&ended.order.request_id) == Some(&run) {
            self.by_request.remove(&ended.order.request_id);
        }
        Some(ended)
    }
}

impl MeshReducer {
    pub(super) fn receive_attempt(
        &mut self,
        turn: &mut Turn<'_>,
        from: &MemberId,
        order: AttemptOrder,
        body: Bytes,
    ) {
        let attempt = AttemptId { entry: from.clone(), serial: order.serial };
        if self.guard.runs.contains_key(&attempt) {
            return;
        }
        match self.guard.ended.status(&attempt) {
            AttemptStatus::Unseen => {}
            AttemptStatus::Tombstone => {
                let result = not_run(RefusalReason::ConnectionLost, None);
                return self.reply(turn, &attempt, result, Bytes::new());
            }
            AttemptStatus::Replied { .. } => return,
            AttemptStatus::Forgotten => {
                return self.reply(turn, &attempt, reply_gone(), Bytes::new());
            }
        }
        if let Some(reason) = self.reason_against(turn.now, &order) {
            return self.reply(turn, &attempt, not_run(reason, None), Bytes::new());
        }
        let run = RunId(self.guard.next_run);
        self.guard.next_run += 1;
        let deadline = turn.now.plus(Duration::from_micros(order.time_left_us));
        let max_wait = Duration::from_micros(order.max_wait_us);
        let ticket = SlotRequest {
            key: run,
            rank: QueueRank(order.rank),
            root_start: turn.now.minus(Duration::from_micros(order.root_age_us)),
            start_by: turn.now.plus(max_wait).min(deadline),
        };
        self.guard.runs.insert(attempt.clone(), run);
        let waiting = GuardAttempt {
            attempt,
            order: Arc::new(order),
            body,
            deadline,
            arrived_at: turn.now,
            started_at: None,
            is_abandoned: false,
            calls: Vec::new(),
            has_failed_call: false,
        };
        self.guard.attempts.insert(run, waiting);
        let mut verdicts = Vec::new();
        self.guard.queue.offer(turn.now, ticket, &mut verdicts);
        self.carry_out(turn, verdicts);
    }

    /// Returns why the own backend server can't run the attempt now, if so.
    fn reason_against(&self, now: TimePoint, order: &AttemptOrder) -> Option<RefusalReason> {
        match &self.guard.server {
            None => Some(RefusalReason::NoUpstream),
            Some(server) if server.service != order.service => Some(RefusalReason::NoUpstream),
            Some(server) if server.phase == ServerPhase::Draining => Some(RefusalReason::Draining),
            Some(_) if now < self.guard.paused_until => Some(RefusalReason::NoUpstream),
            Some(_) if self.quarantine.remaining_quarantine(now, &order.fingerprint).is_some() => {
                Some(RefusalReason::Quarantined)
            }
            Some(_) => None,
        }
    }

    pub(super) fn carry_out(&mut self, turn: &mut Turn<'_>, verdicts: Vec<SlotDecision<RunId>>) {
        for verdict in verdicts {
            match verdict {
                SlotDecision::Start(run) => self.start_run(turn, run),
                SlotDecision::Refuse { key, retry_after } => {
                    let retry_after = self.jitter(retry_after);
                    let reason = match &self.guard.server {
                        Some(it) if it.phase == ServerPhase::Ready => RefusalReason::Overloaded,
                        _ => RefusalReason::Draining,
                    };
                    self.refuse_run(turn, key, not_run(reason, Some(retry_after)));
                }
            }
        }
    }

    fn start_run(&mut self, turn: &mut Turn<'_>, run: RunId) {
        let Some(server) = &self.guard.server else { return };
        let server_id = server.id.clone();
        let Some(attempt) = self.guard.attempts.get_mut(&run) else { return };
        attempt.started_at = Some(turn.now);
        self.guard.by_request.insert(attempt.order.request_id.clone(), run);
        turn.out.push(MeshEffect::StartRun {
            run,
            order: Arc::clone(&attempt.order),
            server_id,
            body: std::mem::take(&mut attempt.body),
            time_left: attempt.deadline.since(turn.now),
        });
    }

    fn refuse_run(&mut self, turn: &mut Turn<'_>, run: RunId, result: AttemptResult) {
        let Some(ended) = self.guard.take(run) else { return };
        if self.log.allows(turn.now, LineWeight::Notable) {
            turn.log(format!(
                "event=attempt_refused request={} attempt={} route={} rank={} waited_ms={} running={} queued={} limit={} result={result:?}",
                ended.order.request_id,
                ended.attempt,
                ended.order.route,
                ended.order.rank,
                turn.now.since(ended.arrived_at).as_millis(),
                self.guard.queue.n_running(),
                self.guard.queue.n_waiting(),
                self.guard.queue.limit(),
            ));
        }
        self.reply(turn, &ended.attempt, result, Bytes::new());
    }

    pub(super) fn end_run(&mut self, turn: &mut Turn<'_>, run: RunId, end: RunEnd) {
        let Some(ended) = self.guard.take(run) else { return };
        let started = ended.started_at.unwrap_or(ended.arrived_at);
        let is_whole = matches!(end, RunEnd::Answered { .. });
        let weight = if is_whole { LineWeight::Routine } else { LineWeight::Notable };
        if self.log.allows(turn.now, weight) {
            turn.log(format!(
                "event=run_ended request={} attempt={} route={} waited_ms={} ran_ms={} end={}",
                ended.order.request_id,
                ended.attempt,
                ended.order.route,
                started.since(ended.arrived_at).as_millis(),
                turn.now.since(started).as_millis(),
                end.name(),
            ));
        }
        let mut verdicts = Vec::new();
        self.guard.queue.release(turn.now, &run, is_whole, &mut verdicts);
        self.record_run_outcome(turn, &ended, &end);
        self.carry_out(turn, verdicts);
        let (result, body) = self.result_of(&ended, turn.now, end);
        match ended.is_abandoned {
            // Its entry may come back and ask.
            true => self.guard.ended.keep_reply(turn.now, ended.attempt, result, body),
            false => self.reply(turn, &ended.attempt, result, body),
        }
    }

    fn result_of(
        &self,
        ended: &GuardAttempt,
        now: TimePoint,
        end: RunEnd,
    ) -> (AttemptResult, Bytes) {
        let refused = |outcome, reason, is_sent| AttemptResult::Refused {
            outcome,
            reason,
            retry_after: None,
            is_sent,
        };
        let result = match end {
            RunEnd::Answered { status, headers, body } => {
                let started = ended.started_at.unwrap_or(ended.arrived_at);
                let run_us = u64::try_from(now.since(started).as_micros()).unwrap_or(u64::MAX);
                let is_any_failed = self.guard.call_failed_at.is_some_and(|at| started <= at);
                let is_call_failed = ended.has_failed_call || is_any_failed;
                let result = AttemptResult::Answered { status, headers, run_us, is_call_failed };
                return (result, body);
            }
            RunEnd::Rejected { .. } => {
                refused(CallOutcome::NotRun, RefusalReason::Overloaded, true)
            }
            RunEnd::NotSent => refused(CallOutcome::NotRun, RefusalReason::NoUpstream, false),
            RunEnd::Broken => refused(CallOutcome::Unknown, RefusalReason::BrokenAnswer, true),
            RunEnd::TimedOut => {
                refused(CallOutcome::Unknown, RefusalReason::DeadlineExceeded, true)
            }
        };
        (result, Bytes::new())
    }

    pub(super) fn cancel_attempt(&mut self, turn: &mut Turn<'_>, from: &MemberId, serial: u64) {
        let attempt = AttemptId { entry: from.clone(), serial };
        let Some(run) = self.guard.runs.get(&attempt).copied() else { return };
        self.give_up_run(turn, run);
    }

    /// Gives up what nobody waits for any more. A run that may be made only once goes on, since its effect may be half
    /// done.
    fn give_up_run(&mut self, turn: &mut Turn<'_>, run: RunId) {
        if self.guard.queue.remove_waiting(&run) {
            if let Some(ended) = self.guard.take(run) {
                self.guard.ended.add_tombstone(turn.now, ended.attempt);
            }
            return;
        }
        let Some(running) = self.guard.attempts.get_mut(&run) else { return };
        running.is_abandoned = true;
        if running.order.is_idempotent {
            turn.out.push(MeshEffect::CancelRun { run });
            if let Some(cancelled) = self.guard.take(run) {
                self.guard.ended.mark_forgotten(&cancelled.attempt);
            }
            let mut verdicts = Vec::new();
            self.guard.queue.release(turn.now, &run, false, &mut verdicts);
            self.carry_out(turn, verdicts);
        }
    }

    /// Tells an entry on its new link what became of an attempt.
    pub(super) fn resume_run(&mut self, turn: &mut Turn<'_>, from: &MemberId, serial: u64) {
        let attempt = AttemptId { entry: from.clone(), serial };
        if self.guard.runs.contains_key(&attempt) {
            return;
        }
        let (result, body) = match self.guard.ended.status(&attempt) {
            AttemptStatus::Replied { result, body } => (result.clone(), body.clone()),
            AttemptStatus::Forgotten => (reply_gone(), Bytes::new()),
            AttemptStatus::Tombstone => {
                (not_run(RefusalReason::ConnectionLost, None), Bytes::new())
            }
            AttemptStatus::Unseen => {
                self.guard.ended.add_tombstone(turn.now, attempt);
                (not_run(RefusalReason::ConnectionLost, None), Bytes::new())
            }
        };
        let frame = PeerFrame::Reply { serial, result, load: self.guard.load() };
        turn.send_back(&from.instance, frame, body);
    }

    fn reply(
        &mut self,
        turn: &mut Turn<'_>,
        attempt: &AttemptId,
        result: AttemptResult,
        body: Bytes,
    ) {
        let load = self.guard.load();
        if attempt.entry == self.options.member {
            let me = attempt.entry.instance.clone();
            return self.receive_reply(turn, &me, attempt.serial, result, Some(load), body);
        }
        self.guard.ended.keep_reply(turn.now, attempt.clone(), result.clone(), body.clone());
        let frame = PeerFrame::Reply { serial: attempt.serial, result, load };
        turn.send_back(&attempt.entry.instance, frame, body);
    }

    pub(super) fn tick_runs(&mut self, turn: &mut Turn<'_>) {
        self.guard.ended.expire(turn.now);
        if self.guard.wanted_limit(turn.now) != self.guard.queue.limit() {
            self.update_limit(turn);
        }
        let mut verdicts = Vec::new();
        self.guard.queue.expire(turn.now, &mut verdicts);
        self.carry_out(turn, verdicts);
    }

    /// Gives up what entries wait for whose links have been away for long.
    pub(super) fn give_up_lost_entries(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        let lost: Vec<MemberId> = self
            .guard
            .attempts
            .values()
            .filter(|it| !it.is_abandoned)
            .map(|it| &it.attempt.entry)
            .filter(|entry| {
                let lost_at = self.links.get(&entry.instance).and_then(|link| link.lost_at);
                lost_at.is_some_and(|at| LOST_ENTRY_PATIENCE <= now.since(at))
            })
            .cloned()
            .collect();
        if !lost.is_empty() {
            self.give_up_runs(turn, |entry| lost.contains(entry));
        }
    }

    /// Gives up what earlier runs of an entry daemon wait for.
    pub(super) fn give_up_earlier_runs(&mut self, turn: &mut Turn<'_>, member: &MemberId) {
        self.guard.ended.remove_earlier_runs(member);
        self.give_up_runs(turn, |entry| {
            entry.instance == member.instance && entry.incarnation != member.incarnation
        });
    }

    /// Gives up what the entries wait for that are meant.
    pub(super) fn give_up_runs<F>(&mut self, turn: &mut Turn<'_>, is_meant: F)
    where
        F: Fn(&MemberId) -> bool,
    {
        let attempts = self.guard.attempts.iter();
        let runs: Vec<RunId> = attempts
            .filter(|(_, it)| !it.is_abandoned && is_meant(&it.attempt.entry))
            .map(|(run, _)| *run)
            .collect();
        for run in runs {
            self.give_up_run(turn, run);
        }
    }
}

fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> AttemptResult {
    AttemptResult::Refused { outcome: CallOutcome::NotRun, reason, retry_after, is_sent: false }
}

/// Returns the reply to a question for an attempt that may have run, and whose reply is gone.
fn reply_gone() -> AttemptResult {
    AttemptResult::Refused {
        outcome: CallOutcome::Unknown,
        reason: RefusalReason::ConnectionLost,
        retry_after: None,
        is_sent: true,
    }
}
