//! What travels between guards and the entry, and what happens at one of them.

use ivytrail::{
    claim::{AttemptStatus, ClaimAnswer, ClaimHandover, ClaimQuestion},
    id::{AttemptId, ContentDigest, MemberId},
    lease::{LeaseMessage, RingDefinition},
    message::CallOutcome,
    time::TimePoint,
};

use super::{FleetFault, guard::GuardNode};

/// A request as an entry sends it.
#[derive(Clone, Debug)]
pub(super) struct ClaimRequest {
    pub(super) attempt: AttemptId,
    pub(super) claim: ContentDigest,
    pub(super) made_ms: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) enum FleetMessage {
    Lease(LeaseMessage),
    Attempt(ClaimRequest),
    Told { attempt: AttemptId, outcome: CallOutcome },
    AskFate(AttemptId),
    Fate { attempt: AttemptId, fate: AttemptStatus },
    Question(ClaimQuestion),
    Answer(ClaimAnswer),
    Handover(ClaimHandover),
}

#[derive(Debug)]
pub(super) enum FleetEvent {
    Fault(FleetFault),
    NewKey,
    Probe,
    Resend { key: usize, tries: u32 },
    AskFate { serial: u64, tries: u32 },
    Deliver { from: MemberId, to: MemberId, message: FleetMessage },
    Tick { guard: usize, incarnation: u64 },
    Poll { guard: usize, incarnation: u64 },
    RowRead { guard: usize, incarnation: u64, row: RingDefinition },
    RowWrite { row: RingDefinition },
    StartRun { guard: usize, incarnation: u64, claim: ContentDigest },
    Execute { guard: usize, incarnation: u64, claim: ContentDigest, checked: TimePoint },
    EndRun { guard: usize, incarnation: u64, claim: ContentDigest },
    GiveUp { guard: usize, incarnation: u64, claim: ContentDigest },
    HandOver { guard: usize, incarnation: u64, round: u32 },
    Reborn { guard: usize },
}

impl FleetEvent {
    /// Returns whether the event can change the state of a ring.
    pub(super) fn changes_ring(&self) -> bool {
        match self {
            FleetEvent::Deliver { message, .. } => matches!(message, FleetMessage::Lease(_)),
            FleetEvent::Tick { .. } | FleetEvent::RowRead { .. } | FleetEvent::Reborn { .. } => {
                true
            }
            _ => false,
        }
    }

    /// Returns the guard and the incarnation at which this happens, if it happens at a guard.
    pub(super) fn guard(&self, guards: &[GuardNode]) -> Option<(usize, u64)> {
        match self {
            FleetEvent::Tick { guard, incarnation }
            | FleetEvent::Poll { guard, incarnation }
            | FleetEvent::RowRead { guard, incarnation, .. }
            | FleetEvent::StartRun { guard, incarnation, .. }
            | FleetEvent::Execute { guard, incarnation, .. }
            | FleetEvent::EndRun { guard, incarnation, .. }
            | FleetEvent::GiveUp { guard, incarnation, .. }
            | FleetEvent::HandOver { guard, incarnation, .. } => Some((*guard, *incarnation)),
            FleetEvent::Deliver { to, .. } => guards
                .iter()
                .position(|guard| guard.instance() == &to.instance)
                .map(|idx| (idx, to.incarnation)),
            _ => None,
        }
    }
}
