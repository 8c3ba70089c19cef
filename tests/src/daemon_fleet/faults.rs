//! Injection of faults and operator actions.

use ivytrail::settings::TreeEdit;

use super::{BackendMode, DaemonFleet, MS, MessageFaultRates, NodeRun, ScheduledEvent};
use crate::firms::key_name;

/// A withdrawal of a key that the platform has accepted.
#[derive(Clone, Copy, Debug)]
pub struct KeyWithdrawal {
    /// First settings revision without the key.
    pub revision: u64,
    /// Time of acceptance by the platform, in microseconds of true time.
    pub accepted_at: u64,
    /// Time at which a majority of the control ring's members first held the revision, in microseconds of true time.
    /// From then on the withdrawal is reported as confirmed.
    pub confirmed_at: Option<u64>,
}

/// A fault or an operator action.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetFault {
    /// Pauses a daemon for some milliseconds: immediately, or if armed, before its next run, attempt or answer.
    Pause(usize, u64, bool),
    /// Restarts a daemon without its state and with a new incarnation.
    Restart(usize),
    /// Shuts down a daemon gracefully.
    Leave(usize),
    /// Disconnects two daemons from each other for some milliseconds.
    Partition(usize, usize, u64),
    /// Sets the fault rates of all messages for some milliseconds.
    Queue(MessageFaultRates, u64),
    /// Changes the behaviour of a daemon's backend server.
    Backend(usize, BackendMode),
    /// Makes the platform unavailable for some milliseconds.
    PlatformDown(u64),
    /// Delays the platform's responses and loses one in three, for some milliseconds.
    PlatformLossy(u64),
    /// Withdraws the key of an account.
    Withdraw(usize),
    /// Replaces the team's subtree with the same content.
    Resubmit,
}

impl FleetFault {
    /// Returns the name under which faults of this kind are counted.
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

    /// Returns how long the fault affects daemons, messages or the platform, in milliseconds.
    ///
    /// Returns `None` for a fault that affects none of them, and for an armed pause, which begins later and is recorded
    /// in [`DaemonNode::pauses`](super::DaemonNode::pauses).
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
            FleetFault::Pause(idx, ms, true) => self.nodes[idx].armed_pause = Some(ms * MS),
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

    /// Marks withdrawals as confirmed that a majority of the control ring's members holds.
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

    /// Returns the start and end of each fault that affected daemons, messages or the platform, in microseconds.
    pub fn fault_intervals(&self) -> impl Iterator<Item = (u64, u64)> {
        let pauses = self.nodes.iter().flat_map(|it| &it.pauses);
        self.injected_intervals.iter().chain(pauses).copied()
    }

    /// Stops a daemon and starts its next run, which has no state, 20 ms later.
    pub(super) fn restart_node(&mut self, idx: usize) {
        self.stop_node(idx);
        let delay = 20 * MS;
        self.schedule_at(self.now + delay, ScheduledEvent::NodeStart(idx));
    }

    /// Ends a daemon's run and closes its connections.
    pub(super) fn stop_node(&mut self, idx: usize) {
        let node = &mut self.nodes[idx];
        node.is_up = false;
        node.backend.in_flight.clear();
        for exchange in std::mem::take(&mut node.pending_replies).into_values().flatten() {
            self.fail_exchange(MS, &exchange, false);
        }
        self.drop_calls_at(idx);
    }

    /// Executes a step of a graceful shutdown: drain, wait until idle, hand over, stop.
    pub(super) fn advance_leave(&mut self, node_run: NodeRun, step: u8) {
        use ivytrail::reducer::DaemonEvent;
        const LAST_IDLE_CHECK: u8 = 100;
        const STOP: u8 = u8::MAX;
        let wait = match step {
            0 => {
                self.drain_starts.entry(node_run.idx).or_insert(self.now);
                self.apply(node_run, DaemonEvent::DrainRequested);
                500 * MS
            }
            STOP => {
                self.platform.remove_member(self.now, &self.nodes[node_run.idx].member);
                return self.stop_node(node_run.idx);
            }
            _ if step < LAST_IDLE_CHECK && !self.nodes[node_run.idx].reducer.is_idle() => 100 * MS,
            _ => {
                self.apply(node_run, DaemonEvent::HandoverRequested);
                return self
                    .schedule_at(self.now + 500 * MS, ScheduledEvent::Leave(node_run, STOP));
            }
        };
        self.schedule_at(self.now + wait, ScheduledEvent::Leave(node_run, step + 1));
    }
}
