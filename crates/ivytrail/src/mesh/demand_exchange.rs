//! Exchange of the demand that entries receive, so that each daemon knows the demand on the whole fleet.
//!
//! In each failure domain one daemon, the collector, adds up the reports of the others. It sends the sum to the
//! collectors of the other domains and all sums to the daemons of its own domain. The number of messages thus grows with
//! the number of daemons, not with its square, and the reports can be frequent. The collector follows from the known
//! daemons by rendezvous hashing. While two daemons disagree about it, a report may be missing or counted twice until it
//! expires.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::admission::RouteDemand;
use crate::{
    id::{ContentDigest, DomainName, InstanceName, rendezvous_weight},
    time::TimePoint,
};

/// Minimum interval between the reports of a daemon.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between reports per daemon of the failure domain, which bounds the work of its collector.
const EXCHANGE_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(5);
/// Number of intervals after which a report or a sum that was not renewed no longer counts.
const MAX_MISSED_REPORTS: u32 = 3;

/// Demand on all entries of one failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DomainDemand {
    /// Failure domain of the entries.
    pub domain: DomainName,
    /// Sum of their demand, by route and rank.
    pub demand: Vec<RouteDemand>,
}

/// A daemon that takes part in the exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangePeer {
    /// Instance of the daemon.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
}

/// Content of a message between two daemons.
#[derive(Clone, Debug, PartialEq)]
pub enum DemandContent {
    /// Demand on the sender, for its collector.
    Report(Vec<RouteDemand>),
    /// Demand by failure domain. The sum of the receiver's own domain leaves out the receiver.
    Sums(Vec<DomainDemand>),
}

/// A message to another daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandMessage {
    /// Receiver of the message.
    pub to: InstanceName,
    /// Content of the message.
    pub content: DemandContent,
}

/// Demand received from others, with the time of its arrival.
#[derive(Debug)]
struct ReceivedDemand {
    received_at: TimePoint,
    demand: Vec<RouteDemand>,
}

/// One daemon's part in the exchange.
#[derive(Debug)]
pub struct DemandExchange {
    local: ExchangePeer,
    /// Demand on the other daemons of the domain that take this one for the collector.
    reports: HashMap<InstanceName, ReceivedDemand>,
    /// Demand on each failure domain. That on the local one leaves out this daemon.
    sums: HashMap<DomainName, ReceivedDemand>,
    exchanged_at: TimePoint,
    interval: Duration,
}

impl DemandExchange {
    /// Creates the exchange of a daemon that knows only its own demand.
    pub fn new(local: ExchangePeer) -> DemandExchange {
        DemandExchange {
            local,
            reports: HashMap::new(),
            sums: HashMap::new(),
            exchanged_at: TimePoint::ORIGIN,
            interval: MIN_EXCHANGE_INTERVAL,
        }
    }

    /// Returns whether [`DemandExchange::tick`] has messages to send.
    pub fn is_due(&self, now: TimePoint) -> bool {
        self.interval <= now.since(self.exchanged_at)
    }

    /// Returns the messages that are due, given the demand on this daemon and the other daemons that it can reach.
    pub fn tick(
        &mut self,
        now: TimePoint,
        local_demand: &[RouteDemand],
        peers: &[ExchangePeer],
    ) -> Vec<DemandMessage> {
        if !self.is_due(now) {
            return Vec::new();
        }
        self.exchanged_at = now;
        self.expire(now);
        let mut domains: HashMap<&DomainName, Vec<&InstanceName>> = HashMap::new();
        for peer in peers.iter().chain([&self.local]) {
            domains.entry(&peer.domain).or_default().push(&peer.instance);
        }
        let mut collectors: HashMap<&DomainName, &InstanceName> = HashMap::new();
        for (domain, instances) in &domains {
            collectors.extend(collector_of(domain, instances).map(|it| (*domain, it)));
        }
        let members = domains.get(&self.local.domain).map_or(&[][..], Vec::as_slice);
        self.interval = MIN_EXCHANGE_INTERVAL
            .max(EXCHANGE_INTERVAL_PER_DAEMON.saturating_mul(members.len() as u32));
        match collectors.get(&self.local.domain) {
            Some(collector) if **collector != self.local.instance => {
                let content = DemandContent::Report(local_demand.to_vec());
                vec![DemandMessage { to: (*collector).clone(), content }]
            }
            _ => {
                let others = members.iter().filter(|it| ***it != self.local.instance);
                let others: Vec<InstanceName> = others.map(|it| (*it).clone()).collect();
                collectors.remove(&self.local.domain);
                let collectors: Vec<InstanceName> = collectors.into_values().cloned().collect();
                self.collect(now, local_demand, &others, collectors)
            }
        }
    }

    /// Adds up the reports as the collector of the local domain and returns the messages with the sums.
    fn collect(
        &mut self,
        now: TimePoint,
        local_demand: &[RouteDemand],
        others: &[InstanceName],
        collectors: Vec<InstanceName>,
    ) -> Vec<DemandMessage> {
        let domain = self.local.domain.clone();
        let reported = sum_of(self.reports.values().flat_map(|it| &it.demand));
        let total = sum_of(reported.iter().chain(local_demand));
        self.sums.insert(domain.clone(), ReceivedDemand { received_at: now, demand: reported });
        let own_sum = DomainDemand { domain: domain.clone(), demand: total.clone() };
        let mut messages: Vec<DemandMessage> = collectors
            .into_iter()
            .map(|to| DemandMessage { to, content: DemandContent::Sums(vec![own_sum.clone()]) })
            .collect();
        let other_sums = self.sums.iter().filter(|(it, _)| **it != domain);
        let other_sums: Vec<DomainDemand> = other_sums
            .map(|(domain, it)| DomainDemand { domain: domain.clone(), demand: it.demand.clone() })
            .collect();
        messages.extend(others.iter().map(|to| {
            let own = self.reports.get(to).map_or(&[][..], |it| it.demand.as_slice());
            let demand = difference_of(&total, own);
            let mut sums = other_sums.clone();
            sums.push(DomainDemand { domain: domain.clone(), demand });
            DemandMessage { to: to.clone(), content: DemandContent::Sums(sums) }
        }));
        messages
    }

    /// Records the demand on another daemon of the domain.
    pub fn record_report(&mut self, now: TimePoint, from: &InstanceName, demand: Vec<RouteDemand>) {
        self.reports.insert(from.clone(), ReceivedDemand { received_at: now, demand });
    }

    /// Records the demand by failure domain that a collector has sent.
    pub fn record_sums(&mut self, now: TimePoint, sums: Vec<DomainDemand>) {
        for DomainDemand { domain, demand } in sums {
            self.sums.insert(domain, ReceivedDemand { received_at: now, demand });
        }
    }

    /// Removes the demand on a daemon that is no longer reachable.
    pub fn remove_peer(&mut self, instance: &InstanceName) {
        self.reports.remove(instance);
    }

    /// Returns the demand on all other daemons as far as it is known, by failure domain.
    pub fn remote_demand(&self) -> impl Iterator<Item = &RouteDemand> {
        self.sums.values().flat_map(|it| &it.demand)
    }

    fn expire(&mut self, now: TimePoint) {
        let max_age = self.interval * MAX_MISSED_REPORTS;
        self.reports.retain(|_, it| now.since(it.received_at) < max_age);
        self.sums.retain(|_, it| now.since(it.received_at) < max_age);
    }
}

/// Returns the collector among the daemons of a failure domain.
fn collector_of<'i>(
    domain: &DomainName,
    instances: &[&'i InstanceName],
) -> Option<&'i InstanceName> {
    let digest = ContentDigest::of_parts(&[b"demand", domain.as_str().as_bytes()]);
    instances.iter().copied().max_by_key(|it| (rendezvous_weight(it, &digest), *it))
}

/// Returns the sum of demands, sorted by route and rank.
fn sum_of<'d, D>(demands: D) -> Vec<RouteDemand>
where
    D: IntoIterator<Item = &'d RouteDemand>,
{
    let mut sorted: Vec<RouteDemand> = demands.into_iter().cloned().collect();
    sorted.sort_unstable_by(|one, other| (&one.route, one.rank).cmp(&(&other.route, other.rank)));
    let mut total: Vec<RouteDemand> = Vec::new();
    for demand in sorted {
        match total.last_mut() {
            Some(last) if (&last.route, last.rank) == (&demand.route, demand.rank) => {
                last.per_s += demand.per_s;
            }
            _ => total.push(demand),
        }
    }
    total
}

/// Returns `total` without `part`, which was added to it before.
fn difference_of(total: &[RouteDemand], part: &[RouteDemand]) -> Vec<RouteDemand> {
    let part_of = |it: &RouteDemand| {
        let same = part.iter().filter(|own| (&own.route, own.rank) == (&it.route, it.rank));
        same.map(|own| own.per_s).sum::<f64>()
    };
    let rest = total.iter().map(|it| RouteDemand { per_s: it.per_s - part_of(it), ..it.clone() });
    rest.filter(|it| 1e-6 < it.per_s).collect()
}

#[cfg(test)]
mod tests;
