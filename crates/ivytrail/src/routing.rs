//! Choice of the upstream for an attempt.
//!
//! [`UpstreamPicker`] knows the upstreams of each service that this daemon calls. It draws two candidates at random and
//! takes the one with the smaller load, its own failure domain first until that is loaded.

use std::{collections::HashMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    id::{DomainName, MemberId, ServiceName},
    message::LoadReport,
    time::TimePoint,
};

use self::upstream::UpstreamState;

#[cfg(test)]
mod tests;
mod upstream;

/// Draws before a search gives up on luck and scans the whole list.
const MAX_DRAWS: usize = 8;
/// Load of a candidate in the own failure domain from which other domains are compared.
const LOCAL_LOADED: f64 = 0.8;
/// Load that a candidate in another domain is charged for the longer way.
const REMOTE_PENALTY: f64 = 0.1;

/// Which decisions an [`UpstreamPicker`] takes. All are on by default; a measurement turns them off one by one.
#[derive(Clone, Debug)]
pub struct RoutingOptions {
    /// Failure domain of this daemon.
    pub domain: DomainName,
    /// Compares two candidates by load; otherwise the first one drawn is taken.
    pub load_aware: bool,
    /// Prefers the own failure domain.
    pub local_first: bool,
    /// Sends little to a server that has just joined.
    pub slow_start: bool,
    /// Ejects servers that fail.
    pub ejection: bool,
    /// Seed of the draws.
    pub seed: u64,
}

impl RoutingOptions {
    /// Returns options with every decision on.
    pub fn new(domain: DomainName, seed: u64) -> RoutingOptions {
        RoutingOptions {
            domain,
            load_aware: true,
            local_first: true,
            slow_start: true,
            ejection: true,
            seed,
        }
    }
}

/// What is known of an upstream from membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// The guard daemon beside the backend server.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
}

/// The upstreams of one service.
#[derive(Debug, Default)]
struct ServiceUpstreams {
    states: Vec<UpstreamState>,
    /// Positions in `states`: of all upstreams, of those in the own failure domain, and of the others.
    all: Vec<usize>,
    local: Vec<usize>,
    remote: Vec<usize>,
}

impl ServiceUpstreams {
    fn reindex(&mut self, domain: &DomainName) {
        let indices = 0..self.states.len();
        self.all = indices.clone().collect();
        (self.local, self.remote) =
            indices.partition(|idx| self.states[*idx].info.domain == *domain);
    }

    fn n_ejected(&self, now: TimePoint) -> usize {
        self.states.iter().filter(|state| state.is_ejected(now)).count()
    }
}

/// Chooses upstreams.
///
/// # Example
///
/// ```
/// use ivytrail::{
///     id::{MemberId, ServiceName},
///     routing::{RoutingOptions, UpstreamInfo, UpstreamPicker},
///     time::TimePoint,
/// };
///
/// let now = TimePoint::from_millis(1);
/// let service = ServiceName::from("booking");
/// let member = MemberId { instance: "booking-1".into(), incarnation: 1 };
/// let mut picker = UpstreamPicker::new(RoutingOptions::new("kolkata".into(), 7));
/// picker.upsert(
///     now,
///     UpstreamInfo {
///         member: member.clone(),
///         domain: "kolkata".into(),
///         service: service.clone(),
///         draining: false,
///     },
/// );
/// assert_eq!(picker.pick(now, &service, &[]), Some(member));
/// ```
#[derive(Debug)]
pub struct UpstreamPicker {
    options: RoutingOptions,
    rng: SmallRng,
    services: HashMap<ServiceName, ServiceUpstreams>,
    /// Service and position of each member.
    members: HashMap<MemberId, (ServiceName, usize)>,
}

impl UpstreamPicker {
    /// Returns a picker that knows no upstream.
    pub fn new(options: RoutingOptions) -> UpstreamPicker {
        UpstreamPicker {
            rng: SmallRng::seed_from_u64(options.seed),
            services: HashMap::new(),
            members: HashMap::new(),
            options,
        }
    }

    /// Adds an upstream or changes what is known of it. Its load and history stay unless its service changes.
    pub fn upsert(&mut self, now: TimePoint, info: UpstreamInfo) {
        match self.members.get(&info.member) {
            Some((service, idx)) if *service == info.service => {
                let idx = *idx;
                let upstreams = self.services.entry(info.service.clone()).or_default();
                let moved = upstreams.states[idx].info.domain != info.domain;
                upstreams.states[idx].info = info;
                if moved {
                    upstreams.reindex(&self.options.domain);
                }
                return;
            }
            Some(_) => self.remove(&info.member.clone()),
            None => {}
        }
        let upstreams = self.services.entry(info.service.clone()).or_default();
        let idx = upstreams.states.len();
        self.members.insert(info.member.clone(), (info.service.clone(), idx));
        if info.domain == self.options.domain {
            upstreams.local.push(idx);
        } else {
            upstreams.remote.push(idx);
        }
        upstreams.all.push(idx);
        upstreams.states.push(UpstreamState::new(now, info));
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, member: &MemberId) {
        let Some((service, idx)) = self.members.remove(member) else { return };
        let Some(upstreams) = self.services.get_mut(&service) else { return };
        upstreams.states.swap_remove(idx);
        if let Some(moved) = upstreams.states.get(idx) {
            self.members.insert(moved.info.member.clone(), (service.clone(), idx));
        }
        if upstreams.states.is_empty() {
            self.services.remove(&service);
        } else {
            upstreams.reindex(&self.options.domain);
        }
    }

    /// Returns the upstream for the next attempt, or `None` when there is none besides those in `exclude`.
    ///
    /// A draining upstream is never returned. An ejected one is returned only when no other is left.
    pub fn pick(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        exclude: &[MemberId],
    ) -> Option<MemberId> {
        let upstreams = self.services.get(service)?;
        let search =
            CandidateSearch { now, exclude, options: &self.options, states: &upstreams.states };
        let idx = if self.options.local_first {
            let local = search.best_of_two(&upstreams.local, &mut self.rng);
            match local {
                Some((idx, load)) if load < LOCAL_LOADED => Some((idx, load)),
                _ => {
                    let remote = search
                        .best_of_two(&upstreams.remote, &mut self.rng)
                        .map(|(idx, load)| (idx, load + REMOTE_PENALTY));
                    lesser(local, remote)
                }
            }
        } else {
            search.best_of_two(&upstreams.all, &mut self.rng)
        };
        let idx = idx.map(|(idx, _)| idx).or_else(|| search.least_bad())?;
        Some(upstreams.states[idx].info.member.clone())
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: TimePoint, member: &MemberId) {
        if let Some(state) = self.state_mut(member) {
            state.record_sent(now);
        }
    }

    /// Records a reply with the load it carried. `ok` tells whether the backend server did its work; a refusal because
    /// of load is not a failure of the server.
    pub fn record_reply(
        &mut self,
        now: TimePoint,
        member: &MemberId,
        load: LoadReport,
        latency: Duration,
        ok: bool,
    ) {
        if let Some(state) = self.state_mut(member) {
            state.record_reply(now, load, latency, ok);
        }
        self.eject_if_due(now, member);
    }

    /// Records that an attempt got no reply: the connection broke or stayed silent.
    pub fn record_failure(&mut self, now: TimePoint, member: &MemberId) {
        if let Some(state) = self.state_mut(member) {
            state.record_failure(now);
        }
        self.eject_if_due(now, member);
    }

    /// Returns the upstreams of a service, in no order.
    pub fn upstreams(&self, service: &ServiceName) -> impl Iterator<Item = &UpstreamInfo> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(|upstreams| upstreams.states.iter().map(|state| &state.info))
    }

    fn state_mut(&mut self, member: &MemberId) -> Option<&mut UpstreamState> {
        let (service, idx) = self.members.get(member)?;
        self.services.get_mut(service)?.states.get_mut(*idx)
    }

    /// Ejects the upstream when its failures call for it and not too many are ejected already.
    fn eject_if_due(&mut self, now: TimePoint, member: &MemberId) {
        let Some((service, idx)) = self.members.get(member) else { return };
        let Some(upstreams) = self.services.get_mut(service) else { return };
        if !self.options.ejection || !upstreams.states[*idx].is_failing(now) {
            return;
        }
        let bound = max_ejected(upstreams.states.len());
        if upstreams.n_ejected(now) < bound {
            upstreams.states[*idx].eject(now);
            assert!(upstreams.n_ejected(now) <= bound, "too many upstreams are ejected");
        }
    }
}

/// Returns how many of `n` upstreams may be ejected at once.
fn max_ejected(n: usize) -> usize {
    if n < 2 { 0 } else { (n / 3).max(1) }
}

fn lesser(a: Option<(usize, f64)>, b: Option<(usize, f64)>) -> Option<(usize, f64)> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.1 < a.1 { b } else { a }),
        (a, b) => a.or(b),
    }
}

struct CandidateSearch<'a> {
    now: TimePoint,
    exclude: &'a [MemberId],
    options: &'a RoutingOptions,
    states: &'a [UpstreamState],
}

impl CandidateSearch<'_> {
    /// Draws two different candidates from `indices` and returns the less loaded one with its load.
    fn best_of_two(&self, indices: &[usize], rng: &mut SmallRng) -> Option<(usize, f64)> {
        let first = self.draw(indices, None, rng)?;
        let first_load = self.load_of(first);
        if !self.options.load_aware {
            return Some((first, first_load));
        }
        let second = self.draw(indices, Some(first), rng).map(|idx| (idx, self.load_of(idx)));
        lesser(Some((first, first_load)), second)
    }

    fn draw(&self, indices: &[usize], other: Option<usize>, rng: &mut SmallRng) -> Option<usize> {
        if indices.is_empty() {
            return None;
        }
        let start = rng.random_range(0..indices.len());
        let fits = |idx: &usize| Some(*idx) != other && self.is_eligible(*idx);
        for _ in 0..MAX_DRAWS {
            let idx = indices[rng.random_range(0..indices.len())];
            if fits(&idx) {
                return Some(idx);
            }
        }
        indices[start..].iter().chain(&indices[..start]).copied().find(fits)
    }

    fn is_eligible(&self, idx: usize) -> bool {
        let state = &self.states[idx];
        self.is_allowed(idx) && !state.is_ejected(self.now)
    }

    fn is_allowed(&self, idx: usize) -> bool {
        let info = &self.states[idx].info;
        !info.draining && !self.exclude.contains(&info.member)
    }

    fn load_of(&self, idx: usize) -> f64 {
        let state = &self.states[idx];
        let warmth = if self.options.slow_start { state.warmth(self.now) } else { 1.0 };
        state.load(self.now) / warmth
    }

    /// Returns the ejected upstream whose time is over first.
    fn least_bad(&self) -> Option<usize> {
        (0..self.states.len())
            .filter(|idx| self.is_allowed(*idx))
            .min_by_key(|idx| self.states[*idx].ejected_until())
    }
}
