//! Start or refusal of attempts that the queue of the local backend server has decided on.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;

use super::{
    MeshReducer, ReducerStep,
    event::{MeshEffect, RunId},
    frame::{AttemptResult, ServerPhase},
    log_limit::LogPriority,
    queue::SlotDecision,
};
use crate::message::RefusalReason;

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
                SlotDecision::Start(run) => {
                    // The request may have been quarantined while the attempt waited.
                    let fingerprint =
                        self.guard.attempts.get(&run).map(|it| it.request.fingerprint);
                    let quarantine = fingerprint
                        .and_then(|it| self.quarantine.remaining_quarantine(step.now, &it));
                    let Some(quarantine) = quarantine else {
                        self.start_run(step, run);
                        continue;
                    };
                    let mut freed = Vec::new();
                    self.guard.queue.release(step.now, &run, false, &mut freed);
                    pending.extend(freed);
                    let result =
                        AttemptResult::not_run(RefusalReason::Quarantined, Some(quarantine));
                    self.refuse_run(step, run, result);
                }
                SlotDecision::Refuse { key, retry_after } => {
                    let retry_after = self.jitter(retry_after);
                    let reason = match &self.guard.server {
                        Some(it) if it.phase == ServerPhase::Ready => RefusalReason::Overloaded,
                        _ => RefusalReason::Draining,
                    };
                    self.refuse_run(step, key, AttemptResult::not_run(reason, Some(retry_after)));
                }
            }
        }
    }

    fn start_run(&mut self, step: &mut ReducerStep<'_>, run: RunId) {
        let Some(server) = &self.guard.server else { return };
        let server_id = server.id.clone();
        let Some(attempt) = self.guard.attempts.get_mut(&run) else { return };
        attempt.started_at = Some(step.now);
        self.guard.runs_by_request.insert(attempt.request.request_id.clone(), run);
        step.out.push(MeshEffect::StartRun {
            run,
            request: Arc::clone(&attempt.request),
            server_id,
            body: std::mem::take(&mut attempt.body),
            time_left: attempt.deadline.since(step.now),
        });
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
