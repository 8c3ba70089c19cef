//! Execution of reducer effects; messages between daemons pass through the event queue.

use ivytrail::{
    id::{AttemptId, MemberId},
    message::{AttemptHeader, AttemptReply, ControlMessage},
    reducer::{AttemptFailure, DaemonEffect, DaemonEvent},
};

use super::{DaemonFleet, DeliveryOutcome, MS, NodeRun, ScheduledEvent};

/// Timeout of cancel and control messages, in microseconds.
const CONTROL_TIMEOUT_US: u64 = 1_000 * MS;

/// A message to another daemon, with its sender.
#[derive(Clone, Debug)]
pub(super) struct PeerExchange {
    from: NodeRun,
    request: PeerRequest,
    /// Whether the sender has already seen a connection error.
    is_broken: bool,
}

#[derive(Clone, Debug)]
enum PeerRequest {
    Attempt(Box<AttemptHeader>),
    Inquiry(AttemptId),
    Cancel(AttemptId),
    Control(MemberId, ControlMessage),
}

impl DaemonFleet {
    pub(super) fn execute_effect(&mut self, node_run: NodeRun, effect: DaemonEffect) {
        match effect {
            DaemonEffect::AnswerCall { call, answer } => self.answer_call(call, &answer),
            DaemonEffect::SendAttempt { call, address, header, .. } => {
                self.record_attempt(call, &header);
                let timeout = header.time_left.as_micros() as u64;
                self.send(node_run, &address, PeerRequest::Attempt(header), timeout);
            }
            DaemonEffect::SendInquiry { address, attempt, timeout } => {
                let timeout = timeout.as_micros() as u64;
                self.send(node_run, &address, PeerRequest::Inquiry(attempt), timeout);
            }
            DaemonEffect::SendCancel { address, attempt } => {
                self.send(node_run, &address, PeerRequest::Cancel(attempt), CONTROL_TIMEOUT_US);
            }
            DaemonEffect::SendControl { address, message, .. } => {
                let member = self.nodes[node_run.idx].member.clone();
                let request = PeerRequest::Control(member, message);
                self.send(node_run, &address, request, CONTROL_TIMEOUT_US);
            }
            DaemonEffect::SendReply { reply, body } => {
                let key = &reply.attempt;
                let pending_replies =
                    self.nodes[node_run.idx].pending_replies.remove(key).unwrap_or_default();
                for exchange in pending_replies {
                    self.reply(node_run, &exchange, &reply, &body);
                }
            }
            DaemonEffect::StartRun { attempt, header, token, start_by, time_left } => {
                match start_by < self.nodes[node_run.idx].clock(self.now) {
                    true => self.refuse_run(node_run, attempt),
                    false => self.start_run(node_run, attempt, &header, token, time_left),
                }
            }
            DaemonEffect::ProbeBackend => {
                let is_alive = self.nodes[node_run.idx].backend.is_alive();
                self.schedule_event(MS, node_run, DaemonEvent::BackendProbed { is_alive });
            }
            DaemonEffect::CancelRun { attempt } => {
                self.nodes[node_run.idx].backend.in_flight.remove(&attempt);
            }
            DaemonEffect::ProposeRing(definition) => self.write_ring(node_run, definition),
            DaemonEffect::Restart => self.restart_node(node_run.idx),
            // Simulated daemons poll the platform at a fixed interval instead.
            DaemonEffect::ReadChanges { .. } | DaemonEffect::ReadTree => {}
            DaemonEffect::LogLine(_) => {}
        }
    }

    fn send(&mut self, from: NodeRun, address: &str, request: PeerRequest, timeout: u64) {
        let mut exchange = PeerExchange { from, request, is_broken: false };
        let to = self.nodes.iter().position(|it| it.member.instance.as_str() == address);
        let to = to.expect("every address belongs to a daemon of the fleet");
        if !self.nodes[to].is_up || self.is_partitioned(from.idx, to) {
            return self.fail_exchange(MS, &exchange, true);
        }
        match self.draw_delivery_outcome() {
            DeliveryOutcome::Delivered(delays) => {
                for delay in delays {
                    self.schedule_at(
                        self.now + delay,
                        ScheduledEvent::Message(to, exchange.clone()),
                    );
                }
                if !matches!(exchange.request, PeerRequest::Control(..)) {
                    self.fail_exchange(timeout, &exchange, false);
                }
            }
            DeliveryOutcome::LostWithError => self.fail_exchange(MS, &exchange, false),
            DeliveryOutcome::DeliveredWithError(delay) => {
                self.fail_exchange(MS, &exchange, false);
                exchange.is_broken = true;
                self.schedule_at(self.now + delay, ScheduledEvent::Message(to, exchange));
            }
            DeliveryOutcome::LostSilently => self.fail_exchange(timeout, &exchange, false),
        }
    }

    /// Reports a connection error to the sender of a message after `delay` microseconds.
    pub(super) fn fail_exchange(&mut self, delay: u64, exchange: &PeerExchange, unsent: bool) {
        let cause = if unsent { AttemptFailure::NotSent } else { AttemptFailure::Lost };
        let event = match &exchange.request {
            _ if exchange.is_broken => return,
            PeerRequest::Attempt(header) => {
                DaemonEvent::AttemptFailed { serial: header.attempt.serial, cause }
            }
            PeerRequest::Inquiry(attempt) => DaemonEvent::InquiryFailed { serial: attempt.serial },
            PeerRequest::Cancel(_) => return,
            PeerRequest::Control(_, message) => {
                DaemonEvent::ControlSendFailed { message: message.clone() }
            }
        };
        self.schedule_event(delay, exchange.from, event);
    }

    /// Delivers a message to the current run of the daemon at its address.
    pub(super) fn deliver_request(&mut self, to: usize, exchange: PeerExchange) {
        if !self.nodes[to].is_up {
            return self.fail_exchange(MS, &exchange, false);
        }
        let event = match exchange.request.clone() {
            PeerRequest::Attempt(header) => DaemonEvent::AttemptReceived(header),
            PeerRequest::Inquiry(attempt) => DaemonEvent::InquiryReceived { attempt },
            PeerRequest::Cancel(attempt) => DaemonEvent::CancelReceived { attempt },
            PeerRequest::Control(from, message) => DaemonEvent::ControlReceived { from, message },
        };
        let awaited = match &exchange.request {
            PeerRequest::Attempt(header) => Some(header.attempt.clone()),
            PeerRequest::Inquiry(attempt) => Some(attempt.clone()),
            PeerRequest::Cancel(_) | PeerRequest::Control(..) => None,
        };
        if let Some(attempt) = awaited {
            self.nodes[to].pending_replies.entry(attempt).or_default().push(exchange);
        }
        self.apply(self.node_run(to), event);
    }

    fn reply(
        &mut self,
        from: NodeRun,
        exchange: &PeerExchange,
        reply: &AttemptReply,
        body: &bytes::Bytes,
    ) {
        if exchange.is_broken {
            return;
        }
        if self.is_partitioned(from.idx, exchange.from.idx) {
            return self.fail_exchange(MS, exchange, false);
        }
        match self.draw_delivery_outcome() {
            DeliveryOutcome::Delivered(delays) => {
                for delay in delays {
                    let (reply, body) = (reply.clone(), body.clone());
                    let event = DaemonEvent::AttemptAnswered { reply, body };
                    self.schedule_event(delay, exchange.from, event);
                }
            }
            DeliveryOutcome::LostWithError | DeliveryOutcome::DeliveredWithError(_) => {
                self.fail_exchange(MS, exchange, false);
            }
            DeliveryOutcome::LostSilently => {}
        }
    }
}
