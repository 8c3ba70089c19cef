//! Executes the reducer's effects.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use ivytrail::{
    id::{AttemptId, CallId, CallToken, MemberId},
    message::{AttemptHeader, AttemptReply, ControlMessage},
    reducer::{AttemptFailure, CallAnswer, DaemonEffect, DaemonEvent, RunEnd},
};
use tokio::sync::{Notify, mpsc::UnboundedSender};

use crate::{
    driver::DaemonDriver,
    metrics::DaemonMetrics,
    peer_client::{PeerClient, SendError},
    platform_loop::PlatformRequest,
    run_client::RunClient,
};

/// Executes effects with the driver and its HTTP clients. Clones share the same state.
#[derive(Clone, Debug)]
pub struct EffectExecutor(Arc<ExecutorInner>);

#[derive(Debug)]
struct ExecutorInner {
    driver: DaemonDriver,
    peer_client: PeerClient,
    run_client: RunClient,
    requests: UnboundedSender<PlatformRequest>,
    local_member: MemberId,
    restart: Notify,
    metrics: Arc<DaemonMetrics>,
}

impl EffectExecutor {
    /// Creates an executor; requests to the platform are sent to `requests`.
    pub fn new(
        driver: DaemonDriver,
        peer_client: PeerClient,
        run_client: RunClient,
        requests: UnboundedSender<PlatformRequest>,
    ) -> EffectExecutor {
        let restart = Notify::new();
        let metrics = peer_client.metrics().clone();
        let local_member = peer_client.local_member().clone();
        EffectExecutor(Arc::new(ExecutorInner {
            driver,
            peer_client,
            run_client,
            requests,
            local_member,
            restart,
            metrics,
        }))
    }

    /// Returns the driver of the reducer.
    pub fn driver(&self) -> &DaemonDriver {
        &self.0.driver
    }

    /// Waits until the daemon must restart because the other members have fenced it.
    pub async fn wait_for_restart(&self) {
        self.0.restart.notified().await;
    }

    /// Returns the metrics of this daemon.
    pub fn metrics(&self) -> &DaemonMetrics {
        &self.0.metrics
    }

    /// Returns the client of the local backend server.
    pub fn run_client(&self) -> &RunClient {
        &self.0.run_client
    }

    /// Applies an event to the reducer and executes the resulting effects.
    pub fn apply(&self, event: DaemonEvent) {
        let effects = self.0.driver.reduce(event);
        self.execute(effects);
    }

    /// Applies control messages of `from` and returns the replies to it; all other effects are executed.
    pub fn handle_control(
        &self,
        from: &MemberId,
        messages: Vec<ControlMessage>,
    ) -> Vec<ControlMessage> {
        let mut replies = Vec::new();
        for message in messages {
            let event = DaemonEvent::ControlReceived { from: from.clone(), message };
            let mut other_effects = Vec::new();
            for effect in self.0.driver.reduce(event) {
                match effect {
                    DaemonEffect::SendControl { to, message, .. } if to == *from => {
                        replies.push(message);
                    }
                    effect => other_effects.push(effect),
                }
            }
            self.execute(other_effects);
        }
        replies
    }

    fn execute(&self, effects: Vec<DaemonEffect>) {
        let mut control: BTreeMap<String, Vec<ControlMessage>> = BTreeMap::new();
        for effect in effects {
            match effect {
                DaemonEffect::AnswerCall { call, answer } => self.answer_call(call, answer),
                DaemonEffect::SendAttempt { call, to, address, header } => {
                    self.send_attempt(call, to, address, header);
                }
                DaemonEffect::SendInquiry { address, attempt, timeout } => {
                    self.send_inquiry(address, attempt, timeout);
                }
                DaemonEffect::SendCancel { address, attempt } => self.send_cancel(address, attempt),
                DaemonEffect::StartRun { attempt, header, token, start_by, time_left } => {
                    match self.driver().now() <= start_by {
                        true => self.start_run(attempt, header, token, time_left),
                        // The process was paused after the check of the claim's lease.
                        false => {
                            self.apply(DaemonEvent::RunEnded { attempt, end: RunEnd::NotSent });
                        }
                    }
                }
                DaemonEffect::CancelRun { attempt } => {
                    if let Some(handle) = self.driver().remove_run(&attempt) {
                        handle.abort();
                    }
                }
                DaemonEffect::SendReply { reply, body } => self.reply_attempt(&reply, &body),
                DaemonEffect::SendControl { address, message, .. } => {
                    control.entry(address).or_default().push(message);
                }
                DaemonEffect::ProbeBackend => self.probe_backend(),
                // The receiver is dropped only when the daemon stops.
                DaemonEffect::ProposeRing(definition) => {
                    drop(self.0.requests.send(PlatformRequest::WriteRing(definition)));
                }
                DaemonEffect::ReadChanges { after } => {
                    drop(self.0.requests.send(PlatformRequest::ReadChanges { after }));
                }
                DaemonEffect::ReadTree => drop(self.0.requests.send(PlatformRequest::ReadTree)),
                DaemonEffect::Restart => self.0.restart.notify_one(),
                DaemonEffect::LogLine(line) => log::info!("{line}"),
            }
        }
        for (address, messages) in control {
            self.send_control(address, messages);
        }
    }

    fn answer_call(&self, call: CallId, answer: CallAnswer) {
        if let Some(pending) = self.driver().remove_call(call) {
            self.metrics().record_answer(&answer, pending.received_at.elapsed());
            // The receiver is gone if the caller has disconnected in the meantime.
            let _ = pending.sender.send(answer);
        }
    }

    fn send_attempt(
        &self,
        call: CallId,
        to: MemberId,
        address: String,
        header: Box<AttemptHeader>,
    ) {
        let Some(body) = self.driver().call_body(call) else { return };
        let executor = self.clone();
        tokio::spawn(async move {
            let serial = header.attempt.serial;
            let timeout = header.time_left;
            let exchange = match to == executor.0.local_member {
                // The local guard is reached without a connection.
                true => executor.attempt_locally(&header, body, timeout).await,
                false => {
                    executor.0.peer_client.send_attempt(&address, &header, &body, timeout).await
                }
            };
            let event = match exchange {
                Ok((reply, body)) if reply.attempt == header.attempt => {
                    DaemonEvent::AttemptAnswered { reply, body }
                }
                Ok(_) => {
                    log::warn!("event=reply_mismatch guard={to} attempt={}", header.attempt);
                    DaemonEvent::AttemptFailed { serial, cause: AttemptFailure::Lost }
                }
                Err(SendError::NotSent(cause)) => {
                    log::info!("event=attempt_not_sent guard={to} cause={cause:?}");
                    DaemonEvent::AttemptFailed { serial, cause: AttemptFailure::NotSent }
                }
                Err(SendError::Lost(cause)) => {
                    executor.metrics().record_lost_attempt();
                    log::info!("event=attempt_lost guard={to} cause={cause:?}");
                    DaemonEvent::AttemptFailed { serial, cause: AttemptFailure::Lost }
                }
            };
            executor.apply(event);
        });
    }

    /// Passes an attempt to the guard of this daemon and waits for its reply for at most `timeout`.
    async fn attempt_locally(
        &self,
        header: &AttemptHeader,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(AttemptReply, Bytes), SendError> {
        let receiver = self.driver().add_attempt(header.attempt.clone(), Some(body));
        self.apply(DaemonEvent::AttemptReceived(Box::new(header.clone())));
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(exchange)) => Ok(exchange),
            Ok(Err(_)) => Err(SendError::Lost("the local guard dropped the attempt".to_string())),
            Err(_) => Err(SendError::Lost("the local guard did not reply in time".to_string())),
        }
    }

    fn send_inquiry(&self, address: String, attempt: AttemptId, timeout: Duration) {
        let executor = self.clone();
        tokio::spawn(async move {
            let event = match executor.0.peer_client.send_inquiry(&address, &attempt, timeout).await
            {
                Ok((reply, body)) if reply.attempt == attempt => {
                    DaemonEvent::AttemptAnswered { reply, body }
                }
                Ok(_) | Err(_) => DaemonEvent::InquiryFailed { serial: attempt.serial },
            };
            executor.apply(event);
        });
    }

    fn send_cancel(&self, address: String, attempt: AttemptId) {
        let executor = self.clone();
        tokio::spawn(async move { executor.0.peer_client.send_cancel(&address, &attempt).await });
    }

    fn send_control(&self, address: String, messages: Vec<ControlMessage>) {
        let executor = self.clone();
        tokio::spawn(async move {
            match executor.0.peer_client.send_control(&address, &messages).await {
                Ok((from, replies)) => {
                    for message in replies {
                        let from = from.clone();
                        executor.apply(DaemonEvent::ControlReceived { from, message });
                    }
                }
                Err(cause) => {
                    log::debug!(
                        "event=control_lost address={address} cause={:?}",
                        cause.to_string()
                    );
                    for message in messages {
                        executor.apply(DaemonEvent::ControlSendFailed { message });
                    }
                }
            }
        });
    }

    fn start_run(
        &self,
        attempt: AttemptId,
        header: Arc<AttemptHeader>,
        token: CallToken,
        time_left: Duration,
    ) {
        let body = self.driver().take_attempt_body(&attempt);
        let executor = self.clone();
        let key = attempt.clone();
        let task = tokio::spawn(async move {
            let end = executor.0.run_client.run(&header, token, time_left, body).await;
            executor.driver().remove_run(&attempt);
            executor.apply(DaemonEvent::RunEnded { attempt, end });
        });
        // If the task finishes right after this check, its handle has no effect; a later reply to the attempt drops it.
        if !task.is_finished() {
            self.driver().add_run(key, task.abort_handle());
        }
    }

    fn probe_backend(&self) {
        let executor = self.clone();
        tokio::spawn(async move {
            let is_alive = executor.0.run_client.probe().await;
            executor.apply(DaemonEvent::BackendProbed { is_alive });
        });
    }

    fn reply_attempt(&self, reply: &AttemptReply, body: &Bytes) {
        for sender in self.driver().take_reply_senders(&reply.attempt) {
            // The receiver is gone if the connection has closed; the entry then sends an inquiry if it needs the reply.
            let _ = sender.send((reply.clone(), body.clone()));
        }
        self.driver().remove_run(&reply.attempt);
    }
}
