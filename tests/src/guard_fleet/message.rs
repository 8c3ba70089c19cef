//! Messages between guards and the entry, and events of the simulation.

use ivytrail::{
    claim::{AttemptStatus, ClaimAnswer, ClaimHandover, ClaimQuestion},
    id::{AttemptId, ContentDigest, MemberId},
    lease::{LeaseMessage, RingDefinition},
    message::CallOutcome,
    time::TimePoint,
};

use super::{GuardFault, guard::GuardNode};

/// An attempt that the entry sends to a guard.
#[derive(Clone, Debug)]
pub(super) struct ClaimRequest {
    pub(super) attempt: AttemptId,
    pub(super) claim: ContentDigest,
    pub(super) made_ms: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) enum GuardFleetMessage {
    Lease(LeaseMessage),
    Attempt(ClaimRequest),
    Outcome { attempt: AttemptId, outcome: CallOutcome },
    StatusQuery(AttemptId),
    StatusReply { attempt: AttemptId, status: AttemptStatus },
    Question(ClaimQuestion),
    Answer(ClaimAnswer),
    Handover(ClaimHandover),
}

#[derive(Debug)]
pub(super) enum GuardFleetEvent {
    Fault(GuardFault),
    NewKey,
    OwnershipCheck,
    Resend { key: usize, tries: u32 },
    StatusQuery { serial: u64, tries: u32 },
    Deliver { from: MemberId, to: MemberId, message: GuardFleetMessage },
    Tick { guard: usize, incarnation: u64 },
    Poll { guard: usize, incarnation: u64 },
    RowRead { guard: usize, incarnation: u64, row: RingDefinition },
    RowWrite { row: RingDefinition },
    StartRun { guard: usize, incarnation: u64, claim: ContentDigest },
    Execute { guard: usize, incarnation: u64, claim: ContentDigest, checked_at: TimePoint },
    EndRun { guard: usize, incarnation: u64, claim: ContentDigest },
    QuestionTimeout { guard: usize, incarnation: u64, claim: ContentDigest },
    HandOver { guard: usize, incarnation: u64, round: u32 },
    Restarted { guard: usize },
}

impl GuardFleetEvent {
    /// Returns whether the event can change the state of a ring.
    pub(super) fn changes_ring(&self) -> bool {
        match self {
            GuardFleetEvent::Deliver { message, .. } => {
                matches!(message, GuardFleetMessage::Lease(_))
            }
            GuardFleetEvent::Tick { .. }
            | GuardFleetEvent::RowRead { .. }
            | GuardFleetEvent::Restarted { .. } => true,
            _ => false,
        }
    }

    /// Returns the index and incarnation of the guard that handles the event, if any.
    pub(super) fn guard(&self, guards: &[GuardNode]) -> Option<(usize, u64)> {
        match self {
            GuardFleetEvent::Tick { guard, incarnation }
            | GuardFleetEvent::Poll { guard, incarnation }
            | GuardFleetEvent::RowRead { guard, incarnation, .. }
            | GuardFleetEvent::StartRun { guard, incarnation, .. }
            | GuardFleetEvent::Execute { guard, incarnation, .. }
            | GuardFleetEvent::EndRun { guard, incarnation, .. }
            | GuardFleetEvent::QuestionTimeout { guard, incarnation, .. }
            | GuardFleetEvent::HandOver { guard, incarnation, .. } => Some((*guard, *incarnation)),
            GuardFleetEvent::Deliver { to, .. } => guards
                .iter()
                .position(|guard| guard.instance() == &to.instance)
                .map(|idx| (idx, to.incarnation)),
            _ => None,
        }
    }
}
