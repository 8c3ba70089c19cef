//! Selection of the backend server for an attempt, by expected response time.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use smol_str::SmolStr;

use crate::{
    id::{ContentDigest, DomainName, InstanceName, RouteName, ServiceName, rendezvous_weight},
    mesh::{
        admission::ServiceSlots,
        frame::{PeerAdvertisement, RequestLimit, ServerLoad, ServerPhase},
    },
    time::TimePoint,
};

/// Weight of the newest sample in the mean run time of a route.
const ROUTE_GAIN: f64 = 0.05;
/// Weight of the newest sample in a server's slowdown while responses are frequent.
const SLOWDOWN_GAIN: f64 = 0.05;
/// Time constant with which a server's slowdown and failures decay while it gets no work.
const HISTORY_DECAY_TIME: Duration = Duration::from_secs(3);
/// Smallest and largest sample of a server's slowdown.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.2, 8.0);
/// Run time of a route that is assumed before its first response.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(100);
/// Cost of a hop into another failure domain, in seconds: network latency and the cost of the bytes combined. The
/// advantage of a server in the local domain shrinks as that server fills up.
const REMOTE_PENALTY_S: f64 = 0.03;
/// Share of its limit from which on a server counts as partly saturated.
const SATURATION_THRESHOLD: f64 = 0.85;
/// Fraction by which the expected run time grows at a fully saturated server.
const SATURATION_PENALTY: f64 = 0.3;
/// Factor on the run time of a server that is cold.
const WARM_UP_FACTOR: f64 = 2.0;
/// Smallest limit on requests that is taken into account, in requests per second.
const MIN_REQUESTS_PER_S: f64 = 0.5;
/// Consecutive failures after which a server is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Weight of the newest result in a server's failure share.
const FAILURE_GAIN: f64 = 0.05;
/// Cost of a failed response in expected run times, since the request must be sent again.
const FAILURE_COST: f64 = 3.0;
/// Duration of a server's first ejection; each further one in sequence doubles it.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// State of a backend server as seen by the local daemon.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Instance of the server and of the daemon beside it.
    pub instance: InstanceName,
    /// Service that the server runs.
    pub service: ServiceName,
    domain: DomainName,
    phase: ServerPhase,
    is_reachable: bool,
    /// Whether the daemon beside the server has stopped responding.
    is_silent: bool,
    is_leaving: bool,
    /// Whether its failure domain is evacuated.
    is_evacuated: bool,
    /// Time until which the server is cold.
    cold_until: TimePoint,
    server_id: SmolStr,
    load: ServerLoad,
    /// Attempts sent since the last load report.
    n_sent: u32,
    n_outstanding: u32,
    /// Run time of the server as a multiple of the mean over all servers.
    slowdown: f64,
    failure_share: f64,
    /// Time of the last response or failure.
    last_result_at: TimePoint,
    n_consecutive_failures: u32,
    n_ejections: u32,
    ejected_until: TimePoint,
}

/// Outcome of an attempt, as far as it concerns the choice of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The server returned a response.
    Completed {
        /// Time for which the attempt held a slot.
        run_time: Duration,
    },
    /// The server failed.
    Failed,
    /// The attempt was refused or cancelled, which says nothing about the server.
    Neutral,
}

/// Selects backend servers by their reported load and by the outcomes of earlier attempts.
#[derive(Debug)]
pub struct ServerPicker {
    domain: DomainName,
    records: HashMap<InstanceName, ServerRecord>,
    by_service: HashMap<ServiceName, Vec<InstanceName>>,
    /// Mean run time of each route, in seconds.
    run_times: HashMap<RouteName, f64>,
    /// Evacuated failure domains.
    evacuated: BTreeSet<DomainName>,
}

impl ServerPicker {
    /// Returns a picker without servers for a daemon in `domain`.
    pub fn new(domain: DomainName) -> ServerPicker {
        ServerPicker {
            domain,
            records: HashMap::new(),
            by_service: HashMap::new(),
            run_times: HashMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Replaces the set of evacuated failure domains, whose servers are not chosen.
    pub fn set_evacuated(&mut self, domains: BTreeSet<DomainName>) {
        for record in self.records.values_mut() {
            record.is_evacuated = domains.contains(&record.domain);
        }
        self.evacuated = domains;
    }

    /// Adds or updates the server in a daemon's advertisement, or removes it when the advertisement has none. A new run
    /// of a server starts without history.
    pub fn apply_advertisement(&mut self, now: TimePoint, advertisement: &PeerAdvertisement) {
        let instance = &advertisement.member.instance;
        let Some(server) = &advertisement.server else {
            return self.remove(instance);
        };
        let is_same = self
            .records
            .get(instance)
            .is_some_and(|it| it.service == server.service && it.server_id == server.id);
        if !is_same {
            self.remove(instance);
            let record = ServerRecord {
                instance: instance.clone(),
                service: server.service.clone(),
                domain: advertisement.domain.clone(),
                phase: server.phase,
                is_reachable: true,
                is_silent: false,
                is_leaving: advertisement.is_leaving,
                is_evacuated: self.evacuated.contains(&advertisement.domain),
                cold_until: now.plus(server.warm_up),
                server_id: server.id.clone(),
                load: advertisement.load,
                n_sent: 0,
                n_outstanding: 0,
                slowdown: 1.0,
                failure_share: 0.0,
                last_result_at: now,
                n_consecutive_failures: 0,
                n_ejections: 0,
                ejected_until: TimePoint::ORIGIN,
            };
            self.by_service.entry(server.service.clone()).or_default().push(instance.clone());
            self.records.insert(instance.clone(), record);
        }
        if let Some(record) = self.records.get_mut(instance) {
            record.phase = server.phase;
            record.is_reachable = true;
            record.is_leaving = advertisement.is_leaving;
            if let Some(extension) = &advertisement.extension {
                record.cold_until = now.plus(extension.cold_for.unwrap_or_default());
            }
            record.update_load(advertisement.load);
        }
    }

    /// Updates the load of the server on an instance.
    pub fn set_load(&mut self, instance: &InstanceName, load: ServerLoad) {
        if let Some(record) = self.records.get_mut(instance) {
            record.update_load(load);
        }
    }

    /// Returns the total slots and mean pressure of a service's available servers, and the share of requests that they
    /// reject. A server with a limit on requests counts for the slots that these keep busy.
    pub fn slots_of(&self, now: TimePoint, service: &ServiceName) -> ServiceSlots {
        let mut total = ServiceSlots::default();
        let mut pressure_sum = 0.0;
        let mut rejections = Vec::new();
        for record in self.available_servers(service) {
            let usable = record.usable_slots(now);
            total.slots += usable;
            pressure_sum += usable * f64::from(record.load.pressure) / 1_000.0;
            rejections.push((record.load.rejected, usable));
        }
        if 0.0 < total.slots {
            total.pressure = pressure_sum / total.slots;
            total.rejected = rejected_by_better_half(rejections, total.slots);
        }
        total
    }

    /// Records whether the daemon beside a server is reachable, and resets the count of outstanding attempts.
    pub fn set_reachable(&mut self, instance: &InstanceName, is_reachable: bool) {
        if let Some(record) = self.records.get_mut(instance) {
            record.is_reachable = is_reachable;
            record.n_outstanding = 0;
            record.n_sent = 0;
        }
    }

    /// Records whether the daemon beside a server has stopped responding. Such a server is used only as a last resort.
    pub fn set_silent(&mut self, instance: &InstanceName, is_silent: bool) {
        if let Some(record) = self.records.get_mut(instance) {
            record.is_silent = is_silent;
        }
    }

    /// Removes the server on an instance.
    pub fn remove(&mut self, instance: &InstanceName) {
        let Some(record) = self.records.remove(instance) else { return };
        if let Some(instances) = self.by_service.get_mut(&record.service) {
            instances.retain(|it| it != instance);
        }
    }

    /// Records that an attempt is sent to the server on an instance.
    pub fn record_sent(&mut self, instance: &InstanceName) {
        if let Some(record) = self.records.get_mut(instance) {
            record.n_sent += 1;
            record.n_outstanding += 1;
        }
    }

    /// Records the outcome of an attempt, and the load that its reply carried.
    pub fn record_outcome(
        &mut self,
        now: TimePoint,
        instance: &InstanceName,
        route: &RouteName,
        outcome: AttemptOutcome,
        load: Option<ServerLoad>,
    ) {
        let Some(record) = self.records.get_mut(instance) else { return };
        record.n_outstanding = record.n_outstanding.saturating_sub(1);
        if let Some(load) = load {
            record.update_load(load);
        }
        match outcome {
            AttemptOutcome::Completed { run_time } => {
                let run_s = run_time.as_secs_f64();
                let mean = self.run_times.entry(route.clone()).or_insert(run_s);
                *mean += ROUTE_GAIN * (run_s - *mean);
                let slowdown = (run_s / mean.max(1e-4)).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
                record.record_slowdown(now, slowdown);
                record.record_result(now, true);
            }
            AttemptOutcome::Failed => record.record_result(now, false),
            AttemptOutcome::Neutral => {}
        }
    }

    /// Returns the mean run time of a route over all servers, or an assumed one if no run has completed.
    pub fn mean_run_time(&self, route: &RouteName) -> Duration {
        self.known_run_time(route).unwrap_or(INITIAL_RUN_TIME)
    }

    /// Returns the mean run time of a route over all servers, or `None` if no run has completed.
    pub fn known_run_time(&self, route: &RouteName) -> Option<Duration> {
        self.run_times.get(route).map(|it| Duration::from_secs_f64(*it))
    }

    /// Returns the instance of the available server of `service` with the shortest expected response time, leaving out
    /// `tried`. Ejected servers and those whose daemon is silent are chosen only when there is no other.
    pub fn pick(
        &self,
        now: TimePoint,
        service: &ServiceName,
        route: &RouteName,
        tried: &[InstanceName],
    ) -> Option<&InstanceName> {
        let run_s = self.mean_run_time(route).as_secs_f64();
        let candidates =
            || self.available_servers(service).filter(|record| !tried.contains(&record.instance));
        let headroom = candidates().map(|it| self.remote_headroom(it)).fold(0.0, f64::max);
        let cost = |record: &&ServerRecord| {
            record.expected_s(now, run_s) + self.hop_penalty_s(record, headroom)
        };
        let by_cost = |it: &&ServerRecord, other: &&ServerRecord| cost(it).total_cmp(&cost(other));
        candidates()
            .filter(|record| record.ejected_until <= now && !record.is_silent)
            .min_by(by_cost)
            .or_else(|| candidates().min_by(by_cost))
            .map(|record| &record.instance)
    }

    /// Returns the instance of the only available server of `service` at which a request that may run as a trial only runs.
    /// All daemons with the same view choose the same.
    pub fn trial_server(
        &self,
        service: &ServiceName,
        fingerprint: &ContentDigest,
    ) -> Option<&InstanceName> {
        self.available_servers(service)
            .map(|it| &it.instance)
            .max_by_key(|it| (rendezvous_weight(it, fingerprint), *it))
    }

    /// Returns the headroom of a server in another failure domain, from 0 (saturated) to 1, and 0 for the local domain.
    fn remote_headroom(&self, record: &ServerRecord) -> f64 {
        if record.domain == self.domain { 0.0 } else { 1.0 - record.saturation() }
    }

    /// Returns the penalty for the hop to a server, in seconds. The penalty of a server in the local domain rises with its
    /// saturation as far as other domains have `headroom`; where all are saturated, another domain has no advantage.
    fn hop_penalty_s(&self, record: &ServerRecord, headroom: f64) -> f64 {
        let fraction =
            if record.domain == self.domain { record.saturation() * headroom } else { 1.0 };
        REMOTE_PENALTY_S * fraction
    }

    /// Returns the servers of a service that accept work.
    pub fn available_servers(&self, service: &ServiceName) -> impl Iterator<Item = &ServerRecord> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|instance| self.records.get(instance))
            .filter(|record| record.is_available())
    }
}

/// Returns the greatest share of rejections among the servers that reject least and together have half of the slots, from
/// shares in thousandths and slots. Requests avoid the other servers.
fn rejected_by_better_half(mut rejections: Vec<(u16, f64)>, total_slots: f64) -> f64 {
    rejections.sort_unstable_by_key(|(rejected, _)| *rejected);
    let mut n_slots = 0.0;
    let half = rejections.into_iter().find(|(_, slots)| {
        n_slots += slots;
        total_slots / 2.0 <= n_slots
    });
    half.map_or(0.0, |(rejected, _)| f64::from(rejected) / 1_000.0)
}

impl ServerRecord {
    fn is_available(&self) -> bool {
        self.is_reachable
            && !self.is_leaving
            && !self.is_evacuated
            && self.phase == ServerPhase::Ready
    }

    /// Returns the number of slots that requests can use on average.
    fn usable_slots(&self, now: TimePoint) -> f64 {
        let limit = f64::from(self.load.limit);
        match self.load.request_limit {
            RequestLimit::PerSecond(per_s) => limit.min(per_s * self.mean_run_s()),
            RequestLimit::Unknown | RequestLimit::Unlimited if now < self.cold_until => {
                limit / WARM_UP_FACTOR
            }
            RequestLimit::Unknown | RequestLimit::Unlimited => limit,
        }
    }

    /// Returns the mean time that a request holds a slot, in seconds.
    fn mean_run_s(&self) -> f64 {
        f64::from(self.load.mean_run_us) / 1e6
    }

    /// Returns the time until a limit on requests allows another one, in seconds.
    fn rate_wait_s(&self) -> f64 {
        match self.load.request_limit {
            RequestLimit::PerSecond(per_s) => {
                f64::from(self.load.queued + self.n_sent) / per_s.max(MIN_REQUESTS_PER_S)
            }
            RequestLimit::Unknown | RequestLimit::Unlimited => 0.0,
        }
    }

    fn update_load(&mut self, load: ServerLoad) {
        self.load = load;
        self.n_sent = 0;
    }

    /// Returns the weight of the recorded slowdown and failures, which decays from 1 after the last result.
    fn history_weight(&self, now: TimePoint) -> f64 {
        (-now.since(self.last_result_at).as_secs_f64() / HISTORY_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the slowdown after its decay toward 1.
    fn slowdown_at(&self, now: TimePoint) -> f64 {
        1.0 + (self.slowdown - 1.0) * self.history_weight(now)
    }

    /// Adds a sample to the slowdown. It weighs more the longer ago the last result is.
    fn record_slowdown(&mut self, now: TimePoint, sample: f64) {
        let gain = SLOWDOWN_GAIN.max(1.0 - self.history_weight(now));
        let slowdown = self.slowdown_at(now);
        self.slowdown = slowdown + gain * (sample - slowdown);
    }

    fn record_result(&mut self, now: TimePoint, is_success: bool) {
        let sample = if is_success { 0.0 } else { 1.0 };
        self.failure_share *= self.history_weight(now);
        self.failure_share += FAILURE_GAIN * (sample - self.failure_share);
        self.last_result_at = now;
        self.n_consecutive_failures = if is_success { 0 } else { self.n_consecutive_failures + 1 };
        if is_success {
            if self.ejected_until <= now {
                self.n_ejections = 0;
            }
        } else if MAX_CONSECUTIVE_FAILURES <= self.n_consecutive_failures {
            let span = MIN_EJECTION * 2_u32.pow(self.n_ejections.min(3));
            self.ejected_until = now.plus(span.min(MAX_EJECTION));
            self.n_ejections += 1;
            self.n_consecutive_failures = 0;
        }
    }

    /// Returns the estimated number of attempts that run or wait at the server.
    fn n_in_flight(&self) -> f64 {
        let reported = self.load.running + self.load.queued + self.n_sent;
        f64::from(reported.max(self.n_outstanding))
    }

    /// Returns the saturation of the server: 0 up to [`SATURATION_THRESHOLD`] of its limit, 1 at the limit.
    fn saturation(&self) -> f64 {
        let usage = self.n_in_flight() / f64::from(self.load.limit.max(1));
        ((usage - SATURATION_THRESHOLD) / (1.0 - SATURATION_THRESHOLD)).clamp(0.0, 1.0)
    }

    /// Returns the expected response time in seconds, without the hop to the server.
    fn expected_s(&self, now: TimePoint, route_run_s: f64) -> f64 {
        let limit = f64::from(self.load.limit.max(1));
        let warm_up = if now < self.cold_until { WARM_UP_FACTOR } else { 1.0 };
        let run_s = route_run_s
            * self.slowdown_at(now)
            * warm_up
            * (1.0 + SATURATION_PENALTY * self.saturation());
        let slot_wait_s =
            (self.n_in_flight() + 1.0 - limit).max(0.0) / limit * self.mean_run_s().max(1e-3);
        let wait_s = slot_wait_s.max(self.rate_wait_s());
        let failure_share = self.failure_share * self.history_weight(now);
        (run_s + wait_s) * (1.0 + FAILURE_COST * failure_share)
    }
}

#[cfg(test)]
mod tests;
