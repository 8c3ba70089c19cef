//! Changes on their way through the fleet.

use std::collections::BTreeMap;

use super::{
    message::MemberRumor,
    record::{MemberRecord, MemberState},
};
use crate::id::InstanceName;

/// A rumor and how often it is still passed on.
#[derive(Debug)]
struct HotRumor {
    rumor: MemberRumor,
    sends_left: u32,
}

/// Rumors that this member still passes on, one per instance.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    hot: BTreeMap<InstanceName, HotRumor>,
}

impl RumorQueue {
    /// Queues `rumor`, in place of an earlier one about the same instance.
    pub(crate) fn push(&mut self, rumor: MemberRumor, sends: u32) {
        let name = rumor.member().instance.clone();
        self.hot.insert(name, HotRumor { rumor, sends_left: sends });
    }

    /// Notes that another member knows `rumor` too: one send less is needed.
    pub(crate) fn note_known(&mut self, rumor: &MemberRumor) {
        let name = &rumor.member().instance;
        match self.hot.get_mut(name) {
            Some(hot) if hot.rumor == *rumor && hot.sends_left <= 1 => {
                self.hot.remove(name);
            }
            Some(hot) if hot.rumor == *rumor => hot.sends_left -= 1,
            _ => {}
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.hot.is_empty()
    }

    /// Takes the most urgent rumors that fit into `max_bytes`, to be sent to `n_receivers` members.
    pub(crate) fn take(&mut self, max_bytes: usize, n_receivers: u32) -> Vec<MemberRumor> {
        let mut order: Vec<(u32, u32, InstanceName)> = self
            .hot
            .iter()
            .map(|(name, it)| (urgency(&it.rumor), u32::MAX - it.sends_left, name.clone()))
            .collect();
        order.sort();
        let mut rumors = Vec::new();
        let mut bytes_left = max_bytes;
        for (_, _, name) in order {
            let Some(hot) = self.hot.get_mut(&name) else { continue };
            let len = hot.rumor.encoded_len();
            if bytes_left < len {
                break;
            }
            bytes_left -= len;
            rumors.push(hot.rumor.clone());
            hot.sends_left = hot.sends_left.saturating_sub(n_receivers);
            if hot.sends_left == 0 {
                self.hot.remove(&name);
            }
        }
        rumors
    }
}

/// Orders rumors: what ends or endangers calls comes before what adds capacity.
fn urgency(rumor: &MemberRumor) -> u32 {
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
