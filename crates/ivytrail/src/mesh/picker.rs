//! Choice of the backend server for an attempt, by the time at which its answer can be expected.

use std::{collections::HashMap, time::Duration};

use crate::{
    id::{DomainName, InstanceName, RouteName, ServiceName},
    mesh::{
        frame::{PeerAdvertisement, ServerLoad, ServerPhase},
        gate::ServiceSlots,
    },
    time::TimePoint,
};

/// Weight of the newest sample in the mean of a route's run times.
const ROUTE_GAIN: f64 = 0.05;
/// Weight of the newest sample in a server's pace while answers come often.
const PACE_GAIN: f64 = 0.05;
/// Time in which what is held against a server fades to a third while it gets no work.
const JUDGEMENT_LIFE: Duration = Duration::from_secs(3);
/// Bounds of one sample of a server's pace.
const PACE_BOUNDS: (f64, f64) = (0.2, 8.0);
/// Run time that is assumed of a route before the first answer.
const ASSUMED_RUN: Duration = Duration::from_millis(100);
/// Time that a hop into another failure domain adds, in seconds, network and cost of the bytes taken together. A server
/// in the own domain loses this lead as it fills.
const REMOTE_PENALTY_S: f64 = 0.03;
/// Share of the limit from which a server counts as nearly full.
const NEARLY_FULL: f64 = 0.85;
/// Part that is added to the expected run time of a full server.
const FULL_PENALTY: f64 = 0.3;
/// Factor on the run time of a server that is still warming up.
const COLD_FACTOR: f64 = 2.0;
/// Failed answers in a row after which a server is left alone for a while.
const MAX_FAILURES_IN_A_ROW: u32 = 5;
/// Weight of the newest answer in a server's share of failures.
const FAILURE_GAIN: f64 = 0.05;
/// Expected run times that one failed answer costs, since the request must be sent again.
const FAILURE_COST: f64 = 3.0;
/// First time for which a failing server is left alone; it doubles with each further one.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Longest time for which a failing server is left alone.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// What one daemon knows of the backend server beside another, or beside itself.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// The daemon beside it.
    pub instance: InstanceName,
    /// The server's service.
    pub service: ServiceName,
    domain: DomainName,
    phase: ServerPhase,
    is_reachable: bool,
    /// Whether the daemon beside it has stopped answering.
    is_silent: bool,
    is_leaving: bool,
    cold_until: TimePoint,
    server_id: String,
    load: ServerLoad,
    n_sent: u32,
    n_outstanding: u32,
    pace: f64,
    failure_share: f64,
    /// When the last answer or failure came.
    judged_at: TimePoint,
    n_failures_in_a_row: u32,
    n_ejections: u32,
    ejected_until: TimePoint,
}

/// How an attempt at a server ended, for the picker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptNews {
    /// It ran to an answer.
    Answered {
        /// Time that it held a slot.
        run: Duration,
    },
    /// The server failed it.
    Failed,
    /// It was refused or given up, which says nothing about the server.
    Neutral,
}

/// The backend servers of all services, with what this daemon has seen of them.
#[derive(Debug)]
pub struct ServerPicker {
    domain: DomainName,
    records: HashMap<InstanceName, ServerRecord>,
    by_service: HashMap<ServiceName, Vec<InstanceName>>,
    route_runs: HashMap<RouteName, f64>,
}

impl ServerPicker {
    /// Returns a picker for a daemon in `domain`.
    pub fn new(domain: DomainName) -> ServerPicker {
        ServerPicker {
            domain,
            records: HashMap::new(),
            by_service: HashMap::new(),
            route_runs: HashMap::new(),
        }
    }

    /// Takes what a daemon says of itself and its backend server.
    pub fn note_card(&mut self, now: TimePoint, card: &PeerAdvertisement) {
        let instance = &card.member.instance;
        let Some(server) = &card.server else {
            return self.remove(instance);
        };
        let is_same = self
            .records
            .get(instance)
            .is_some_and(|it| it.service == server.service && it.server_id == server.id.as_str());
        if !is_same {
            self.remove(instance);
            let record = ServerRecord {
                instance: instance.clone(),
                service: server.service.clone(),
                domain: card.domain.clone(),
                phase: server.phase,
                is_reachable: true,
                is_silent: false,
                is_leaving: card.is_leaving,
                cold_until: now.plus(server.warm_up),
                server_id: server.id.to_string(),
                load: card.load,
                n_sent: 0,
                n_outstanding: 0,
                pace: 1.0,
                failure_share: 0.0,
                judged_at: now,
                n_failures_in_a_row: 0,
                n_ejections: 0,
                ejected_until: TimePoint::ORIGIN,
            };
            self.by_service.entry(server.service.clone()).or_default().push(instance.clone());
            self.records.insert(instance.clone(), record);
        }
        if let Some(record) = self.records.get_mut(instance) {
            record.phase = server.phase;
            record.is_reachable = true;
            record.is_leaving = card.is_leaving;
            record.note_load(card.load);
        }
    }

    /// Takes the load of the own backend server.
    pub fn set_load(&mut self, instance: &InstanceName, load: ServerLoad) {
        if let Some(record) = self.records.get_mut(instance) {
            record.note_load(load);
        }
    }

    /// Returns the slots of a service's open servers. A server that is warming up counts for part of its slots.
    pub fn slots_of(&self, now: TimePoint, service: &ServiceName) -> ServiceSlots {
        let mut total = ServiceSlots::default();
        let mut pressure_sum = 0.0;
        for record in self.open_servers(service) {
            let limit = f64::from(record.load.limit);
            let usable = if now < record.cold_until { limit / COLD_FACTOR } else { limit };
            total.slots += usable;
            pressure_sum += usable * f64::from(record.load.pressure) / 1_000.0;
        }
        total.pressure = if 0.0 < total.slots { pressure_sum / total.slots } else { 0.0 };
        total
    }

    /// Records whether the daemon beside a server can be reached.
    pub fn set_reachable(&mut self, instance: &InstanceName, is_reachable: bool) {
        if let Some(record) = self.records.get_mut(instance) {
            record.is_reachable = is_reachable;
            record.n_outstanding = 0;
            record.n_sent = 0;
        }
    }

    /// Records whether the daemon beside a server has stopped answering. Such a server is the last choice.
    pub fn set_silent(&mut self, instance: &InstanceName, is_silent: bool) {
        if let Some(record) = self.records.get_mut(instance) {
            record.is_silent = is_silent;
        }
    }

    /// Forgets the server beside a daemon.
    pub fn remove(&mut self, instance: &InstanceName) {
        let Some(record) = self.records.remove(instance) else { return };
        if let Some(instances) = self.by_service.get_mut(&record.service) {
            instances.retain(|it| it != instance);
        }
    }

    /// Records that an attempt is sent.
    pub fn note_sent(&mut self, instance: &InstanceName) {
        if let Some(record) = self.records.get_mut(instance) {
            record.n_sent += 1;
            record.n_outstanding += 1;
        }
    }

    /// Records how an attempt ended, with the load that came with its reply.
    pub fn note_end(
        &mut self,
        now: TimePoint,
        instance: &InstanceName,
        route: &RouteName,
        news: AttemptNews,
        load: Option<ServerLoad>,
    ) {
        let Some(record) = self.records.get_mut(instance) else { return };
        record.n_outstanding = record.n_outstanding.saturating_sub(1);
        if let Some(load) = load {
            record.note_load(load);
        }
        match news {
            AttemptNews::Answered { run } => {
                let run_s = run.as_secs_f64();
                let mean = self.route_runs.entry(route.clone()).or_insert(run_s);
                *mean += ROUTE_GAIN * (run_s - *mean);
                let pace = (run_s / mean.max(1e-4)).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
                record.note_pace(now, pace);
                record.note_result(now, true);
            }
            AttemptNews::Failed => record.note_result(now, false),
            AttemptNews::Neutral => {}
        }
    }

    /// Returns the mean run time of a route.
    pub fn route_run(&self, route: &RouteName) -> Duration {
        self.route_runs.get(route).map_or(ASSUMED_RUN, |it| Duration::from_secs_f64(*it))
    }

    /// Returns the daemon beside the server of `service` that is expected to answer first, leaving out `tried`.
    pub fn pick(
        &self,
        now: TimePoint,
        service: &ServiceName,
        route: &RouteName,
        tried: &[InstanceName],
    ) -> Option<&InstanceName> {
        let run_s = self.route_run(route).as_secs_f64();
        let candidates =
            || self.open_servers(service).filter(|record| !tried.contains(&record.instance));
        let spare = candidates().map(|it| self.remote_spare(it)).fold(0.0, f64::max);
        let cost =
            |record: &&ServerRecord| record.expected_s(now, run_s) + self.hop_s(record, spare);
        let best = |it: &&ServerRecord, other: &&ServerRecord| cost(it).total_cmp(&cost(other));
        candidates()
            .filter(|record| record.ejected_until <= now && !record.is_silent)
            .min_by(best)
            .or_else(|| candidates().min_by(best))
            .map(|record| &record.instance)
    }

    /// Returns how much room a server in another domain has, from 0 (full) to 1.
    fn remote_spare(&self, record: &ServerRecord) -> f64 {
        if record.domain == self.domain { 0.0 } else { 1.0 - record.fullness() }
    }

    /// Returns what the hop to a server adds, in seconds: the own domain loses its lead as it fills while `spare` room is
    /// left elsewhere. Where all servers are full, none is gained by crossing.
    fn hop_s(&self, record: &ServerRecord, spare: f64) -> f64 {
        let part = if record.domain == self.domain { record.fullness() * spare } else { 1.0 };
        REMOTE_PENALTY_S * part
    }

    /// Returns the servers of a service that take work.
    pub fn open_servers(&self, service: &ServiceName) -> impl Iterator<Item = &ServerRecord> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|instance| self.records.get(instance))
            .filter(|record| record.is_open())
    }
}

impl ServerRecord {
    fn is_open(&self) -> bool {
        self.is_reachable && !self.is_leaving && self.phase == ServerPhase::Ready
    }

    fn note_load(&mut self, load: ServerLoad) {
        self.load = load;
        self.n_sent = 0;
    }

    /// Returns how much of what is held against the server still counts.
    fn judgement(&self, now: TimePoint) -> f64 {
        (-now.since(self.judged_at).as_secs_f64() / JUDGEMENT_LIFE.as_secs_f64()).exp()
    }

    /// Returns the server's run time as a multiple of the mean.
    fn pace_at(&self, now: TimePoint) -> f64 {
        1.0 + (self.pace - 1.0) * self.judgement(now)
    }

    /// Takes a sample of the pace; the longer none came, the more it counts.
    fn note_pace(&mut self, now: TimePoint, sample: f64) {
        let gain = PACE_GAIN.max(1.0 - self.judgement(now));
        let pace = self.pace_at(now);
        self.pace = pace + gain * (sample - pace);
    }

    fn note_result(&mut self, now: TimePoint, is_good: bool) {
        let sample = if is_good { 0.0 } else { 1.0 };
        self.failure_share *= self.judgement(now);
        self.failure_share += FAILURE_GAIN * (sample - self.failure_share);
        self.judged_at = now;
        self.n_failures_in_a_row = if is_good { 0 } else { self.n_failures_in_a_row + 1 };
        if is_good {
            if self.ejected_until <= now {
                self.n_ejections = 0;
            }
        } else if MAX_FAILURES_IN_A_ROW <= self.n_failures_in_a_row {
            let span = MIN_EJECTION * 2_u32.pow(self.n_ejections.min(3));
            self.ejected_until = now.plus(span.min(MAX_EJECTION));
            self.n_ejections += 1;
            self.n_failures_in_a_row = 0;
        }
    }

    /// Returns the requests that run or wait there, as far as is known here.
    fn n_busy(&self) -> f64 {
        let reported = self.load.running + self.load.queued + self.n_sent;
        f64::from(reported.max(self.n_outstanding))
    }

    /// Returns how far the server is on the way from nearly full (0) to full (1).
    fn fullness(&self) -> f64 {
        let usage = self.n_busy() / f64::from(self.load.limit.max(1));
        ((usage - NEARLY_FULL) / (1.0 - NEARLY_FULL)).clamp(0.0, 1.0)
    }

    /// Returns the time until an answer can be expected, without the way there, in seconds.
    fn expected_s(&self, now: TimePoint, route_run_s: f64) -> f64 {
        let limit = f64::from(self.load.limit.max(1));
        let cold = if now < self.cold_until { COLD_FACTOR } else { 1.0 };
        let run_s = route_run_s * self.pace_at(now) * cold * (1.0 + FULL_PENALTY * self.fullness());
        let mean_run_s = f64::from(self.load.mean_run_us) / 1e6;
        let wait_s = (self.n_busy() + 1.0 - limit).max(0.0) / limit * mean_run_s.max(1e-3);
        let failure_share = self.failure_share * self.judgement(now);
        (run_s + wait_s) * (1.0 + FAILURE_COST * failure_share)
    }
}

#[cfg(test)]
mod tests;
