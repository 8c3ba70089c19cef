//! Waiting tickets of one priority class, shared fairly between client accounts.
//!
//! Start-time fair queueing: each account has a lane with a virtual time, which advances by the service time that the
//! account was given over its weight. The lane that is furthest behind is served next; of the lane that is
//! furthest ahead, the ticket with the greatest admission level is the first to be evicted.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    id::{AccountName, AttemptId},
    time::TimePoint,
};

const MIN_WEIGHT: f64 = 0.001;
const MAX_WEIGHT: f64 = 1_000.0;
const MAX_IDLE_LANES: usize = 1_024;

/// Place of a ticket inside its lane: its admission level, by which it is evicted, and its serial number, by which it is
/// served. A ticket with a great level isn't passed over, since it may hold slots further up the chain while it waits.
pub(super) type LaneOrder = (u16, u64);

/// A ticket that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct WaitingTicket {
    pub(super) attempt: AttemptId,
    pub(super) lane: Option<AccountName>,
    pub(super) weight: f64,
    pub(super) deadline: TimePoint,
    pub(super) expiry: TimePoint,
    pub(super) order: LaneOrder,
}

/// The waiting tickets of one account.
#[derive(Debug, Default)]
struct AccountLane {
    /// Service time given so far over the weight, in microseconds of virtual time.
    virtual_time: f64,
    weight: f64,
    tickets: BTreeMap<u64, WaitingTicket>,
    orders: BTreeSet<LaneOrder>,
}

impl AccountLane {
    /// Returns the virtual time at which the last ticket of the lane would be served.
    fn finish_tag(&self, cost: f64) -> f64 {
        self.virtual_time + cost * self.tickets.len() as f64 / self.weight
    }
}

/// The lanes of one priority class.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    lanes: BTreeMap<Option<AccountName>, AccountLane>,
    /// Virtual time of the last ticket that was started.
    virtual_time: f64,
    n_waiting: usize,
}

impl ClassQueue {
    pub(super) fn len(&self) -> usize {
        self.n_waiting
    }

    pub(super) fn push(&mut self, ticket: WaitingTicket) {
        let floor = self.virtual_time;
        let lane = self.lanes.entry(ticket.lane.clone()).or_default();
        if lane.tickets.is_empty() {
            lane.virtual_time = lane.virtual_time.max(floor);
        }
        lane.weight = clamp_weight(ticket.weight);
        lane.orders.insert(ticket.order);
        let replaced = lane.tickets.insert(ticket.order.1, ticket);
        assert!(replaced.is_none(), "two waiting tickets share one place");
        self.n_waiting += 1;
    }

    /// Takes the next ticket of the lane that is furthest behind and charges the lane with `cost`.
    pub(super) fn pop(&mut self, cost: Duration) -> Option<WaitingTicket> {
        let name = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.tickets.is_empty())
            .min_by(|(_, a), (_, b)| a.virtual_time.total_cmp(&b.virtual_time))
            .map(|(name, _)| name.clone())?;
        let lane = self.lanes.get_mut(&name)?;
        let (_, ticket) = lane.tickets.pop_first()?;
        lane.orders.remove(&ticket.order);
        self.virtual_time = self.virtual_time.max(lane.virtual_time);
        lane.virtual_time += virtual_cost(cost, lane.weight);
        self.n_waiting -= 1;
        self.drop_idle_lanes();
        Some(ticket)
    }

    /// Takes the ticket with the greatest level from the lane that would be served last.
    pub(super) fn evict(&mut self, cost: Duration) -> Option<WaitingTicket> {
        let cost = virtual_cost(cost, 1.0).max(1.0);
        let lane = self
            .lanes
            .values_mut()
            .filter(|lane| !lane.tickets.is_empty())
            .max_by(|a, b| a.finish_tag(cost).total_cmp(&b.finish_tag(cost)))?;
        let order = lane.orders.pop_last()?;
        let ticket = lane.tickets.remove(&order.1)?;
        self.n_waiting -= 1;
        Some(ticket)
    }

    /// Takes the ticket at `order` in `lane`.
    pub(super) fn remove(
        &mut self,
        lane: &Option<AccountName>,
        order: LaneOrder,
    ) -> Option<WaitingTicket> {
        let lane = self.lanes.get_mut(lane)?;
        let ticket = lane.tickets.remove(&order.1)?;
        lane.orders.remove(&order);
        self.n_waiting -= 1;
        Some(ticket)
    }

    /// Corrects the charge of a lane once the real service time of a ticket is known.
    pub(super) fn settle(
        &mut self,
        lane: &Option<AccountName>,
        charged: Duration,
        actual: Duration,
    ) {
        if let Some(lane) = self.lanes.get_mut(lane) {
            let correction = virtual_cost(actual, lane.weight) - virtual_cost(charged, lane.weight);
            lane.virtual_time += correction;
        }
    }

    fn drop_idle_lanes(&mut self) {
        let floor = self.virtual_time;
        let crowded = MAX_IDLE_LANES < self.lanes.len();
        if self.n_waiting == 0 || crowded {
            self.lanes.retain(|_, lane| {
                !lane.tickets.is_empty() || (floor < lane.virtual_time && !crowded)
            });
        }
    }
}

fn clamp_weight(weight: f64) -> f64 {
    if weight.is_finite() { weight.clamp(MIN_WEIGHT, MAX_WEIGHT) } else { 1.0 }
}

fn virtual_cost(cost: Duration, weight: f64) -> f64 {
    cost.as_secs_f64() * 1e6 / weight
}
