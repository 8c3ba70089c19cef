//! Queue of rumors that this member still has to send.

use std::collections::BTreeMap;

use super::{
    message::MemberRumor,
    record::{MemberRecord, MemberState},
};
use crate::id::InstanceName;

/// Rumor with the number of times that it is still to be sent.
#[derive(Debug)]
struct QueuedRumor {
    rumor: MemberRumor,
    sends_left: u32,
}

/// Rumors to send, at most one per instance.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    queued: BTreeMap<InstanceName, QueuedRumor>,
}

impl RumorQueue {
    /// Queues `rumor` and replaces an earlier one about the same instance.
    pub(crate) fn push(&mut self, rumor: MemberRumor, sends: u32) {
        let name = rumor.member().instance.clone();
        self.queued.insert(name, QueuedRumor { rumor, sends_left: sends });
    }

    /// Records that another member already knows `rumor`, which saves one send.
    pub(crate) fn record_known(&mut self, rumor: &MemberRumor) {
        let name = &rumor.member().instance;
        match self.queued.get_mut(name) {
            Some(queued) if queued.rumor == *rumor && queued.sends_left <= 1 => {
                self.queued.remove(name);
            }
            Some(queued) if queued.rumor == *rumor => queued.sends_left -= 1,
            _ => {}
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the most urgent rumors that fit into `max_bytes` and records that they are sent to `n_receivers`
    /// members.
    pub(crate) fn take(&mut self, max_bytes: usize, n_receivers: u32) -> Vec<MemberRumor> {
        let mut order: Vec<(u32, u32, InstanceName)> = self
            .queued
            .iter()
            .map(|(name, it)| (send_rank(&it.rumor), u32::MAX - it.sends_left, name.clone()))
            .collect();
        order.sort();
        let mut rumors = Vec::new();
        let mut bytes_left = max_bytes;
        for (_, _, name) in order {
            let Some(queued) = self.queued.get_mut(&name) else { continue };
            let len = queued.rumor.encoded_len();
            if bytes_left < len {
                break;
            }
            bytes_left -= len;
            rumors.push(queued.rumor.clone());
            queued.sends_left = queued.sends_left.saturating_sub(n_receivers);
            if queued.sends_left == 0 {
                self.queued.remove(&name);
            }
        }
        rumors
    }
}

/// Returns the rank by which rumors are sent, lowest first: those that stop or endanger calls precede those that add
/// capacity.
fn send_rank(rumor: &MemberRumor) -> u32 {
    match rumor {
        MemberRumor::Record(MemberRecord {
            state: MemberState::Draining | MemberState::Left,
            ..
        }) => 0,
        MemberRumor::Dead { .. } => 1,
        MemberRumor::Suspect { .. } => 2,
        MemberRumor::Record(_) => 3,
    }
}
