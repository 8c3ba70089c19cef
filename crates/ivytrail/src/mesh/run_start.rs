//! Start or refusal of attempts that the queue of the local backend server has decided on.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    MeshReducer, ReducerStep,
    event::{MeshEffect, RunId},
    frame::{AttemptResult, ServerPhase},
    log_limit::LogPriority,
    queue::SlotDecision,
};
use crate::{message::RefusalReason, quarantine::RunPermission, time::TimePoint};

/// Retry delay sent to callers of a request that may run as a trial only, while another trial runs.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(500);

impl MeshReducer {
    /// Applies decisions of the queue, and those that follow from them.
    pub(super) fn apply_decisions(
        &mut self,
        step: &mut ReducerStep<'_>,
        decisions: Vec<SlotDecision<RunId>>,
    ) {
        let mut pending = VecDeque::from(decisions);
        while let Some(decision) = pending.pop_front() {
            match decision {
                SlotDecision::Start(run) => match self.start_refusal(step.now, run) {
                    None => self.start_run(step, run),
                    Some(result) => {
                        let mut freed = Vec::new();
                        self.guard.queue.release(step.now, &run, false, &mut freed);
                        pending.extend(freed);
                        self.refuse_run(step, run, result);
                    }
                },
                SlotDecision::Refuse { key, retry_after } => {
                    let retry_after = self.jitter(retry_after);
                    let reason = match &self.guard.server {
                        Some(it) if it.phase == ServerPhase::Ready && !self.guard.is_evacuated => {
                            RefusalReason::Overloaded
                        }
                        _ => RefusalReason::Draining,
                    };
                    self.refuse_run(step, key, AttemptResult::not_run(reason, Some(retry_after)));
                }
            }
        }
    }

    /// Returns the result of an attempt that may not start, or `None` if it may. What was decided at its arrival may no
    /// longer hold after a wait.
    fn start_refusal(&mut self, now: TimePoint, run: RunId) -> Option<AttemptResult> {
        let attempt = self.guard.attempts.get(&run)?;
        let time_left = attempt.deadline.since(now);
        if let Some(reason) = self.server_refusal_reason(now, &attempt.request, time_left) {
            return Some(AttemptResult::not_run(reason, None));
        }
        let retry_after = self.trial_refusal(now, run)?;
        Some(AttemptResult::not_run(RefusalReason::Quarantined, Some(retry_after)))
    }

    /// Refuses the attempts that wait for a server of another service than the present one, so that their entries can
    /// send them to another guard.
    pub(super) fn refuse_foreign_attempts(&mut self, step: &mut ReducerStep<'_>) {
        let Some(service) = self.guard.server.as_ref().map(|it| it.service.clone()) else { return };
        let attempts = self.guard.attempts.iter();
        let foreign: Vec<RunId> = attempts
            .filter(|(_, it)| it.started_at.is_none() && it.request.service != service)
            .map(|(run, _)| *run)
            .collect();
        for run in foreign {
            if self.guard.queue.remove_waiting(&run) {
                let result = AttemptResult::not_run(RefusalReason::Draining, None);
                self.refuse_run(step, run, result);
            }
        }
    }

    /// Returns the retry delay of an attempt that may not start because its request is quarantined or may run as a trial
    /// only. Reserves the slot for trials if one starts.
    fn trial_refusal(&mut self, now: TimePoint, run: RunId) -> Option<Duration> {
        let fingerprint = self.guard.attempts.get(&run)?.request.fingerprint;
        // The request may have become a suspect while the attempt waited.
        match self.quarantine.permission(now, &fingerprint) {
            RunPermission::Unrestricted => None,
            RunPermission::TrialOnly => {
                let may_start = self.quarantine.try_start_trial(&fingerprint);
                (!may_start).then_some(TRIAL_RETRY_AFTER)
            }
            RunPermission::Quarantined { remaining } => Some(remaining),
        }
    }

    fn start_run(&mut self, step: &mut ReducerStep<'_>, run: RunId) {
        let Some(server) = &self.guard.server else { return };
        let server_id = server.id.clone();
        let Some(attempt) = self.guard.attempts.get_mut(&run) else { return };
        let deadline = match self.shutdown {
            // A run that is not repeated elsewhere gets a deadline before the exit, so that its server can still respond.
            Some(plan) if !attempt.request.is_idempotent => {
                attempt.deadline.min(plan.run_deadline())
            }
            _ => attempt.deadline,
        };
        attempt.started_at = Some(step.now);
        attempt.server_id = Some(server_id.clone());
        self.guard.warm_up.record_start(step.now);
        self.guard.runs_by_request.insert(attempt.request.request_id.clone(), run);
        step.out.push(MeshEffect::StartRun {
            run,
            request: Arc::clone(&attempt.request),
            server_id,
            body: std::mem::take(&mut attempt.body),
            time_left: deadline.since(step.now),
        });
    }

    /// Counts and logs an attempt that waits for the warm-up of the local backend server.
    pub(super) fn record_held_start(&mut self, step: &mut ReducerStep<'_>, run: RunId) {
        self.guard.warm_up.count_held_start();
        let Some(attempt) = self.guard.attempts.get(&run) else { return };
        if self.log_limit.allows(step.now, LogPriority::Notable) {
            step.log(format!(
                "event=start_held request={} attempt={} cold_ms={} running={} queued={}",
                attempt.request.request_id,
                attempt.id,
                self.guard.warm_up.cold_for(step.now).unwrap_or_default().as_millis(),
                self.guard.queue.n_running(),
                self.guard.queue.n_waiting(),
            ));
        }
    }

    fn refuse_run(&mut self, step: &mut ReducerStep<'_>, run: RunId, result: AttemptResult) {
        let Some(ended) = self.guard.remove_attempt(run) else { return };
        if self.log_limit.allows(step.now, LogPriority::Notable) {
            step.log(format!(
                "event=attempt_refused request={} attempt={} route={} rank={} waited_ms={} running={} queued={} limit={} result={result:?}",
                ended.request.request_id,
                ended.id,
                ended.request.route,
                ended.request.rank,
                step.now.since(ended.arrived_at).as_millis(),
                self.guard.queue.n_running(),
                self.guard.queue.n_waiting(),
                self.guard.queue.limit(),
            ));
        }
        self.reply(step, &ended.id, result, Bytes::new());
    }
}
