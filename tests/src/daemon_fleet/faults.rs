//! What goes wrong in a fleet, and what operators do meanwhile.

use ivytrail::settings::TreeEdit;

use super::{BackendMode, DaemonFleet, MS, MessageFaultRates, NodeRun, ScheduledEvent};
use crate::firms::key_name;

/// A withdrawal of a key that the platform has accepted.
#[derive(Clone, Copy, Debug)]
pub struct KeyWithdrawal {
    /// Revision of the settings without the key.
    pub revision: u64,
    /// When the platform accepted it.
    pub accepted_at: u64,
    /// When a majority of the control ring's members first held the revision: from then on it is reported as confirmed.
    pub confirmed_at: Option<u64>,
}

/// Something that goes wrong, or that an operator does.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetFault {
    /// A daemon stops for some milliseconds: at once, or just before it carries out its next run or attempt.
    Pause(usize, u64, bool),
    /// A daemon is replaced: empty hands and a new incarnation.
    Restart(usize),
    /// A daemon leaves gracefully.
    Leave(usize),
    /// Two daemons can't reach each other for some milliseconds.
    Partition(usize, usize, u64),
    /// The fault_rates of all messages change for some milliseconds.
    Queue(MessageFaultRates, u64),
    /// A backend server changes its manners.
    Backend(usize, BackendMode),
    /// The platform is down for some milliseconds.
    PlatformDown(u64),
    /// The platform answers late and loses one answer in three, for some milliseconds.
    PlatformLossy(u64),
    /// An operator withdraws the key of an account.
    Withdraw(usize),
    /// An operator replaces the team's subtree with the same content.
    Resubmit,
}

impl FleetFault {
    /// Returns the kind, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            FleetFault::Pause(..) => "pause",
            FleetFault::Restart(_) => "restart",
            FleetFault::Leave(_) => "leave",
            FleetFault::Partition(..) => "cut",
            FleetFault::Queue(..) => "queue",
            FleetFault::Backend(..) => "backend",
            FleetFault::PlatformDown(_) => "platform_down",
            FleetFault::PlatformLossy(_) => "platform_lossy",
            FleetFault::Withdraw(_) => "withdraw",
            FleetFault::Resubmit => "resubmit",
        }
    }

    /// Returns for how many milliseconds the fault disturbs daemons, messages or the platform; `None` where it doesn't.
    /// An armed pause begins later and is found in [`DaemonNode::pauses`](super::DaemonNode::pauses).
    fn length_ms(&self) -> Option<u64> {
        match *self {
            FleetFault::Pause(_, ms, false)
            | FleetFault::Partition(_, _, ms)
            | FleetFault::Queue(_, ms)
            | FleetFault::PlatformDown(ms)
            | FleetFault::PlatformLossy(ms) => Some(ms),
            FleetFault::Restart(_) | FleetFault::Leave(_) => Some(0),
            FleetFault::Pause(_, _, true)
            | FleetFault::Backend(..)
            | FleetFault::Withdraw(_)
            | FleetFault::Resubmit => None,
        }
    }
}

impl DaemonFleet {
    pub(super) fn inject_fault(&mut self, fault: &FleetFault) {
        *self.n_faults.entry(fault.kind()).or_default() += 1;
        let now = self.now;
        self.injected_intervals.extend(fault.length_ms().map(|ms| (now, now + ms * MS)));
        match *fault {
            FleetFault::Pause(idx, ms, true) => self.nodes[idx].pause_armed = Some(ms * MS),
            FleetFault::Pause(idx, ms, false) => self.nodes[idx].pause(now, ms * MS),
            FleetFault::Restart(idx) => self.restart_node(idx),
            FleetFault::Leave(idx) => {
                let node_run = self.node_run(idx);
                self.schedule_at(now, ScheduledEvent::Leave(node_run, 0));
            }
            FleetFault::Partition(from, to, ms) => {
                self.partitions.insert((from.min(to), from.max(to)), now + ms * MS);
            }
            FleetFault::Queue(fault_rates, ms) => {
                self.fault_rates = fault_rates;
                self.fault_rates_until = now + ms * MS;
            }
            FleetFault::Backend(idx, mode) => self.set_backend(idx, mode),
            FleetFault::PlatformDown(ms) => self.platform.down_until = now + ms * MS,
            FleetFault::PlatformLossy(ms) => self.platform.lossy_until = now + ms * MS,
            FleetFault::Withdraw(idx) => {
                let account = self.firm.accounts[idx].name;
                let is_first = !self.withdrawals.contains_key(account);
                let edit = TreeEdit::WithdrawKey { name: key_name(account).as_str().into() };
                if is_first && self.platform.accept(now, edit) {
                    let withdrawal = KeyWithdrawal {
                        revision: self.platform.revision,
                        accepted_at: now,
                        confirmed_at: None,
                    };
                    self.withdrawals.insert(account, withdrawal);
                }
            }
            FleetFault::Resubmit => {
                let edit = self.firm.changes().swap_remove(0);
                self.platform.accept(now, edit);
            }
        }
    }

    /// Notes which withdrawals a majority of the control ring's members holds by now.
    pub(super) fn record_confirmations(&mut self) {
        if self.withdrawals.values().all(|it| it.confirmed_at.is_some()) {
            return;
        }
        let Some(ring) = self.platform.ring("control") else { return };
        let members: Vec<_> = ring.members.iter().map(|it| &it.member).collect();
        for withdrawal in self.withdrawals.values_mut().filter(|it| it.confirmed_at.is_none()) {
            let holders = self.nodes.iter().filter(|node| {
                node.is_up
                    && members.contains(&&node.member)
                    && withdrawal.revision <= node.reducer.revision().0
            });
            if members.len() / 2 < holders.count() {
                withdrawal.confirmed_at = Some(self.now);
            }
        }
    }

    /// Returns the starts and ends of all faults that disturbed daemons, messages or the platform.
    pub fn fault_intervals(&self) -> impl Iterator<Item = (u64, u64)> {
        let pauses = self.nodes.iter().flat_map(|it| &it.pauses);
        self.injected_intervals.iter().chain(pauses).copied()
    }

    /// Replaces a daemon: the next run starts a moment later with empty hands.
    pub(super) fn restart_node(&mut self, idx: usize) {
        self.stop_node(idx);
        let delay = 20 * MS;
        self.schedule_at(self.now + delay, ScheduledEvent::NodeStart(idx));
    }

    /// Ends a daemon's run; its connections break.
    pub(super) fn stop_node(&mut self, idx: usize) {
        let node = &mut self.nodes[idx];
        node.is_up = false;
        node.backend.in_flight.clear();
        for exchange in std::mem::take(&mut node.pending_replies).into_values().flatten() {
            self.fail_exchange(MS, &exchange, false);
        }
        self.drop_calls_at(idx);
    }

    /// Takes a graceful leave one step further.
    pub(super) fn advance_leave(&mut self, node_run: NodeRun, step: u8) {
        use ivytrail::reducer::DaemonEvent;
        const LAST_TRY: u8 = 100;
        const END: u8 = u8::MAX;
        let wait = match step {
            0 => {
                self.drain_starts.entry(node_run.idx).or_insert(self.now);
                self.apply(node_run, DaemonEvent::DrainRequested);
                500 * MS
            }
            END => {
                self.platform.remove_member(self.now, &self.nodes[node_run.idx].member);
                return self.stop_node(node_run.idx);
            }
            _ if step < LAST_TRY && !self.nodes[node_run.idx].reducer.is_idle() => 100 * MS,
            _ => {
                self.apply(node_run, DaemonEvent::HandoverRequested);
                return self.schedule_at(self.now + 500 * MS, ScheduledEvent::Leave(node_run, END));
            }
        };
        self.schedule_at(self.now + wait, ScheduledEvent::Leave(node_run, step + 1));
    }
}
