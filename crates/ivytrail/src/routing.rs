//! Load balancing of attempts across upstreams.
//!
//! [`UpstreamPicker`] tracks the upstreams of each service that this daemon calls. It samples two candidates at random
//! and selects the less loaded one. Upstreams in the local failure domain are preferred until they are loaded.

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

/// Number of random draws before a search falls back to a linear scan.
const MAX_DRAWS: usize = 8;
/// Load of the local candidate from which candidates in other failure domains are considered.
const LOCAL_LOAD_THRESHOLD: f64 = 0.8;
/// Load added to a candidate in another failure domain, to account for the longer network path.
const REMOTE_PENALTY: f64 = 0.1;

/// Options of an [`UpstreamPicker`]. All mechanisms are enabled by default; benchmarks disable them one at a time.
#[derive(Clone, Debug)]
pub struct RoutingOptions {
    /// Failure domain of this daemon.
    pub domain: DomainName,
    /// Selects the less loaded of two candidates; otherwise selects one candidate at random.
    pub load_aware: bool,
    /// Prefers upstreams in the local failure domain.
    pub local_first: bool,
    /// Ramps up the load of a backend server that has just joined.
    pub slow_start: bool,
    /// Temporarily ejects failing backend servers.
    pub ejection: bool,
    /// Seed of the random draws.
    pub seed: u64,
}

impl RoutingOptions {
    /// Returns options with all mechanisms enabled.
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

/// Properties of an upstream, taken from the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// Guard daemon in front of the backend server.
    pub member: MemberId,
    /// Failure domain of the upstream.
    pub domain: DomainName,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Whether the upstream is draining and accepts no new work.
    pub draining: bool,
}

/// Upstreams of one service.
#[derive(Debug, Default)]
struct ServiceUpstreams {
    states: Vec<UpstreamState>,
    /// Indices into `states` of all upstreams, those in the local failure domain, and those in other domains.
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

/// Selects upstreams by load, failure domain and health.
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
    /// Service of each member, and its index in the service's `states`.
    members: HashMap<MemberId, (ServiceName, usize)>,
}

impl UpstreamPicker {
    /// Returns a picker without upstreams.
    pub fn new(options: RoutingOptions) -> UpstreamPicker {
        UpstreamPicker {
            rng: SmallRng::seed_from_u64(options.seed),
            services: HashMap::new(),
            members: HashMap::new(),
            options,
        }
    }

    /// Adds an upstream or updates its properties. Its load and failure history are kept unless its service changes.
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

    /// Removes an upstream and its history.
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

    /// Returns the upstream for the next attempt, or `None` if no upstream outside `exclude` accepts work.
    ///
    /// A draining upstream is never returned. An ejected upstream is returned only if no other one is eligible.
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
                Some((idx, load)) if load < LOCAL_LOAD_THRESHOLD => Some((idx, load)),
                _ => {
                    let remote = search
                        .best_of_two(&upstreams.remote, &mut self.rng)
                        .map(|(idx, load)| (idx, load + REMOTE_PENALTY));
                    less_loaded(local, remote)
                }
            }
        } else {
            search.best_of_two(&upstreams.all, &mut self.rng)
        };
        let idx = idx.map(|(idx, _)| idx).or_else(|| search.first_to_return())?;
        Some(upstreams.states[idx].info.member.clone())
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: TimePoint, member: &MemberId) {
        if let Some(state) = self.state_mut(member) {
            state.record_sent(now);
        }
    }

    /// Records a reply and the load that it reported. `ok` is `false` if the backend server failed; a refusal because
    /// of overload is not a failure.
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

    /// Records an attempt without a reply because the connection broke or timed out.
    pub fn record_failure(&mut self, now: TimePoint, member: &MemberId) {
        if let Some(state) = self.state_mut(member) {
            state.record_failure(now);
        }
        self.eject_if_due(now, member);
    }

    /// Returns the upstreams of a service in no particular order.
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

    /// Ejects the upstream if it is failing and the limit of ejected upstreams allows it.
    fn eject_if_due(&mut self, now: TimePoint, member: &MemberId) {
        let Some((service, idx)) = self.members.get(member) else { return };
        let Some(upstreams) = self.services.get_mut(service) else { return };
        if !self.options.ejection || !upstreams.states[*idx].is_failing(now) {
            return;
        }
        let bound = max_ejected(upstreams.states.len());
        if upstreams.n_ejected(now) < bound {
            upstreams.states[*idx].eject(now);
            assert!(upstreams.n_ejected(now) <= bound, "ejected upstreams exceed the limit");
        }
    }
}

/// Returns the maximum number of `n` upstreams that may be ejected at the same time.
fn max_ejected(n: usize) -> usize {
    if n < 2 { 0 } else { (n / 3).max(1) }
}

fn less_loaded(a: Option<(usize, f64)>, b: Option<(usize, f64)>) -> Option<(usize, f64)> {
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
    /// Draws two distinct candidates from `indices` and returns the index and load of the less loaded one.
    fn best_of_two(&self, indices: &[usize], rng: &mut SmallRng) -> Option<(usize, f64)> {
        let first = self.draw(indices, None, rng)?;
        let first_load = self.load_of(first);
        if !self.options.load_aware {
            return Some((first, first_load));
        }
        let second = self.draw(indices, Some(first), rng).map(|idx| (idx, self.load_of(idx)));
        less_loaded(Some((first, first_load)), second)
    }

    fn draw(&self, indices: &[usize], other: Option<usize>, rng: &mut SmallRng) -> Option<usize> {
        if indices.is_empty() {
            return None;
        }
        let start = rng.random_range(0..indices.len());
        let is_candidate = |idx: &usize| Some(*idx) != other && self.is_eligible(*idx);
        for _ in 0..MAX_DRAWS {
            let idx = indices[rng.random_range(0..indices.len())];
            if is_candidate(&idx) {
                return Some(idx);
            }
        }
        indices[start..].iter().chain(&indices[..start]).copied().find(is_candidate)
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
        let ramp_up_share =
            if self.options.slow_start { state.ramp_up_share(self.now) } else { 1.0 };
        state.load(self.now) / ramp_up_share
    }

    /// Returns the ejected upstream whose ejection ends first.
    fn first_to_return(&self) -> Option<usize> {
        (0..self.states.len())
            .filter(|idx| self.is_allowed(*idx))
            .min_by_key(|idx| self.states[*idx].ejected_until())
    }
}
