//! Carries out effects: messages between daemons go through the queue.

use ivytrail::{
    id::{AttemptId, MemberId},
    message::{AttemptHeader, AttemptReply, ControlMessage},
    reducer::{AttemptFailure, DaemonEffect, DaemonEvent},
};

use super::{Delivery, Fleet, MS, MessageFate, NodePlace};

/// Time after which the sender of a control message gives it up, in microseconds.
const CONTROL_PATIENCE_US: u64 = 1_000 * MS;

/// A message to another daemon, with who waits for its end.
#[derive(Clone, Debug)]
pub(super) struct PeerExchange {
    from: NodePlace,
    request: PeerRequest,
    /// Whether the sender has seen the connection break already.
    is_broken: bool,
}

#[derive(Clone, Debug)]
enum PeerRequest {
    Attempt(Box<AttemptHeader>),
    Inquiry(AttemptId),
    Cancel(AttemptId),
    Control(MemberId, ControlMessage),
}

impl Fleet {
    pub(super) fn carry_out(&mut self, place: NodePlace, effect: DaemonEffect) {
        match effect {
            DaemonEffect::AnswerCall { call, answer } => self.answer_call(call, &answer),
            DaemonEffect::SendAttempt { call, address, header, .. } => {
                self.note_attempt(call, &header);
                let patience = header.time_left.as_micros() as u64;
                self.send(place, &address, PeerRequest::Attempt(header), patience);
            }
            DaemonEffect::SendInquiry { address, attempt, timeout: patience } => {
                let patience = patience.as_micros() as u64;
                self.send(place, &address, PeerRequest::Inquiry(attempt), patience);
            }
            DaemonEffect::SendCancel { address, attempt } => {
                self.send(place, &address, PeerRequest::Cancel(attempt), CONTROL_PATIENCE_US);
            }
            DaemonEffect::SendControl { address, message, .. } => {
                let member = self.nodes[place.idx].member.clone();
                let request = PeerRequest::Control(member, message);
                self.send(place, &address, request, CONTROL_PATIENCE_US);
            }
            DaemonEffect::SendReply { reply, body } => {
                let key = &reply.attempt;
                let waiting = self.nodes[place.idx].waiting.remove(key).unwrap_or_default();
                for exchange in waiting {
                    self.reply(place, &exchange, &reply, &body);
                }
            }
            DaemonEffect::StartRun { attempt, header, token, start_by, time_left } => {
                match start_by < self.nodes[place.idx].clock(self.now) {
                    true => self.refuse_run(place, attempt),
                    false => self.start_run(place, attempt, &header, token, time_left),
                }
            }
            DaemonEffect::ProbeBackend => {
                let is_alive = self.nodes[place.idx].backend.is_alive();
                self.push_event(MS, place, DaemonEvent::BackendProbed { is_alive });
            }
            DaemonEffect::CancelRun { attempt } => {
                self.nodes[place.idx].backend.in_flight.remove(&attempt);
            }
            DaemonEffect::ProposeRing(definition) => self.write_ring(place, definition),
            DaemonEffect::Restart => self.restart(place.idx),
            // Each daemon of the fleet reads the platform at its own pace anyway.
            DaemonEffect::ReadChanges { .. } | DaemonEffect::ReadTree => {}
            DaemonEffect::LogLine(_) => {}
        }
    }

    fn send(&mut self, from: NodePlace, address: &str, request: PeerRequest, patience: u64) {
        let mut exchange = PeerExchange { from, request, is_broken: false };
        let to = self.nodes.iter().position(|it| it.member.instance.as_str() == address);
        let to = to.expect("addresses are those of the fleet's daemons");
        if !self.nodes[to].is_up || self.is_cut(from.idx, to) {
            return self.break_exchange(MS, &exchange, true);
        }
        match self.fate() {
            MessageFate::Arrives(delays) => {
                for delay in delays {
                    self.push(self.now + delay, Delivery::Arrival(to, exchange.clone()));
                }
                if !matches!(exchange.request, PeerRequest::Control(..)) {
                    self.break_exchange(patience, &exchange, false);
                }
            }
            MessageFate::Breaks => self.break_exchange(MS, &exchange, false),
            MessageFate::ArrivesAndBreaks(delay) => {
                self.break_exchange(MS, &exchange, false);
                exchange.is_broken = true;
                self.push(self.now + delay, Delivery::Arrival(to, exchange));
            }
            MessageFate::Silent => self.break_exchange(patience, &exchange, false),
        }
    }

    /// Tells the sender of a message that its connection broke.
    pub(super) fn break_exchange(&mut self, delay: u64, exchange: &PeerExchange, unsent: bool) {
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
        self.push_event(delay, exchange.from, event);
    }

    /// Hands a message to the daemon that runs at its address now.
    pub(super) fn arrive(&mut self, to: usize, exchange: PeerExchange) {
        if !self.nodes[to].is_up {
            return self.break_exchange(MS, &exchange, false);
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
            self.nodes[to].waiting.entry(attempt).or_default().push(exchange);
        }
        self.apply(self.place(to), event);
    }

    fn reply(
        &mut self,
        from: NodePlace,
        exchange: &PeerExchange,
        reply: &AttemptReply,
        body: &bytes::Bytes,
    ) {
        if exchange.is_broken {
            return;
        }
        if self.is_cut(from.idx, exchange.from.idx) {
            return self.break_exchange(MS, exchange, false);
        }
        match self.fate() {
            MessageFate::Arrives(delays) => {
                for delay in delays {
                    let (reply, body) = (reply.clone(), body.clone());
                    let event = DaemonEvent::AttemptAnswered { reply, body };
                    self.push_event(delay, exchange.from, event);
                }
            }
            MessageFate::Breaks | MessageFate::ArrivesAndBreaks(_) => {
                self.break_exchange(MS, exchange, false);
            }
            MessageFate::Silent => {}
        }
    }
}
