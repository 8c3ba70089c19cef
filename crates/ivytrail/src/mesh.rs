//! A mesh of daemons, one beside each backend server. The platform provides only a table.
//!
//! Each daemon has two roles. As the entry it accepts requests from clients and from the backend server on its
//! instance. As the guard it protects that backend server: each request passes the guard of the server that runs it.
//! The guard alone enforces the invariants of one server (slots, drain, identity, at most one run); the entry only
//! selects a server. The same holds for servers that are cold or whose failure domain is evacuated.
//!
//! Daemons discover each other through the platform's table. Each daemon dials every other one and sends state changes
//! over the links. Request handling doesn't depend on the platform: during a platform outage the daemons keep the last
//! known settings and members.
//!
//! [`MeshReducer::apply`] maps events to effects; it reads no clock and does no I/O.

pub mod admission;
mod advertising;
mod attempt_recovery;
pub mod cost;
mod crash_detector;
pub mod demand_exchange;
mod ended_attempts;
mod entry;
pub mod evacuation;
pub mod event;
pub mod frame;
pub mod frame_codec;
mod guard;
mod instance_service;
mod intake;
mod leaving_servers;
mod limited_servers;
mod links;
mod log_limit;
pub mod picker;
pub mod policy;
pub mod queue;
pub mod quota;
mod quota_flow;
pub mod rate_limiter;
mod rejection_share;
pub mod retry_budget;
mod run_outcome;
mod run_start;
mod server_announcements;
pub mod settings_file;
mod shutdown;
pub mod table_watch;
pub mod token_cache;
mod warm_up;
pub mod weighted_split;

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use self::{
    admission::AdmissionController,
    cost::CostModel,
    demand_exchange::{DemandContent, DemandExchange, ExchangePeer},
    entry::{EntryCall, EntryCalls},
    evacuation::{EvacuationSource, FleetEvacuations},
    event::{MeshEffect, MeshEvent, PeerAddress},
    frame::{PeerFrame, ServerAdvertisement, ServerLoad},
    guard::GuardState,
    leaving_servers::{DepartureSource, LeavingServers},
    limited_servers::LimitedServers,
    links::{LinkEnd, PeerLinks},
    log_limit::LogLimit,
    picker::ServerPicker,
    policy::FleetSettings,
    quota::QuotaBuckets,
    quota_flow::DenialCounts,
    retry_budget::{RetryBudgets, RetryPolicy},
    shutdown::ShutdownPlan,
    token_cache::TokenCache,
    weighted_split::WeightedSplit,
};
use crate::{
    id::{DomainName, InstanceName, MemberId, RouteName, ServiceName},
    quarantine::CrashQuarantine,
    time::TimePoint,
};

/// Interval at which the admitted shares are recomputed.
const ADMISSION_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two log lines about the admitted shares.
const ADMISSION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Identity and configuration of a daemon.
#[derive(Clone, Debug)]
pub struct MeshOptions {
    /// Instance and incarnation of the daemon.
    pub member: MemberId,
    /// Failure domain of the daemon's instance.
    pub domain: DomainName,
    /// Address that other daemons dial.
    pub address: String,
    /// Service of the local backend server.
    pub service: ServiceName,
    /// Limit on retries.
    pub retry_policy: RetryPolicy,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The state machine of one daemon in a mesh; it makes all of the daemon's decisions.
#[derive(Debug)]
pub struct MeshReducer {
    options: MeshOptions,
    settings: Option<Arc<FleetSettings>>,
    /// The active settings as stored in the platform's table, sent to peers that request them.
    settings_document: Bytes,
    shutdown: Option<ShutdownPlan>,
    /// Whether the daemon advertises that its guard accepts no more attempts.
    is_guard_closed: bool,
    links: PeerLinks,
    picker: ServerPicker,
    entry: EntryCalls,
    guard: GuardState,
    leaving_servers: LeavingServers,
    limited_servers: LimitedServers,
    evacuations: FleetEvacuations,
    quotas: QuotaBuckets,
    token_cache: TokenCache,
    quota_denials: DenialCounts,
    retry_budgets: RetryBudgets,
    splits: HashMap<RouteName, WeightedSplit>,
    costs: CostModel,
    admission: AdmissionController,
    demand_exchange: DemandExchange,
    admission_updated_at: TimePoint,
    admission_logged_at: TimePoint,
    state_published_at: TimePoint,
    /// Time of the last event.
    applied_at: TimePoint,
    quarantine: CrashQuarantine,
    log_limit: LogLimit,
    rng: SmallRng,
}

/// Context of one reducer step: the current time and the list that collects effects.
struct ReducerStep<'o> {
    now: TimePoint,
    out: &'o mut Vec<MeshEffect>,
}

impl ReducerStep<'_> {
    fn log(&mut self, line: String) {
        self.out.push(MeshEffect::Log(line));
    }

    fn send(&mut self, peer: &InstanceName, frame: PeerFrame, body: Bytes) {
        self.out.push(MeshEffect::Send { peer: peer.clone(), frame, body });
    }

    fn send_on_inbound(&mut self, peer: &InstanceName, frame: PeerFrame, body: Bytes) {
        self.out.push(MeshEffect::SendOnInbound { peer: peer.clone(), frame, body });
    }
}

impl MeshReducer {
    /// Creates the reducer of a newly started daemon, without settings, peers or a backend server.
    pub fn new(options: MeshOptions) -> MeshReducer {
        MeshReducer {
            settings: None,
            settings_document: Bytes::new(),
            shutdown: None,
            is_guard_closed: false,
            links: PeerLinks::default(),
            picker: ServerPicker::new(options.domain.clone()),
            entry: EntryCalls::new(options.member.incarnation),
            guard: GuardState::default(),
            leaving_servers: LeavingServers::default(),
            limited_servers: LimitedServers::default(),
            evacuations: FleetEvacuations::default(),
            quotas: QuotaBuckets::default(),
            token_cache: TokenCache::default(),
            quota_denials: DenialCounts::default(),
            retry_budgets: RetryBudgets::default(),
            splits: HashMap::new(),
            costs: CostModel::default(),
            admission: AdmissionController::default(),
            demand_exchange: DemandExchange::new(ExchangePeer {
                instance: options.member.instance.clone(),
                domain: options.domain.clone(),
            }),
            admission_updated_at: TimePoint::ORIGIN,
            admission_logged_at: TimePoint::ORIGIN,
            state_published_at: TimePoint::ORIGIN,
            applied_at: TimePoint::ORIGIN,
            quarantine: CrashQuarantine::with_trials(options.member.clone()),
            log_limit: LogLimit::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            options,
        }
    }

    /// Applies one event and appends the resulting effects to `out`.
    pub fn apply(&mut self, now: TimePoint, event: MeshEvent, out: &mut Vec<MeshEffect>) {
        let mut step = ReducerStep { now, out };
        self.record_pause(&mut step);
        match event {
            MeshEvent::CallReceived(request) => self.handle_call(&mut step, *request),
            MeshEvent::CallerDisconnected { call } => {
                self.handle_caller_disconnect(&mut step, call);
            }
            MeshEvent::OutboundLinkOpened(advertisement) => {
                self.handle_outbound_open(&mut step, &advertisement);
            }
            MeshEvent::OutboundLinkClosed { peer } => {
                self.close_outbound_link(&mut step, &peer, LinkEnd::Closed);
            }
            MeshEvent::InboundLinkOpened(advertisement) => {
                self.handle_inbound_open(&mut step, &advertisement);
            }
            MeshEvent::InboundLinkClosed { peer } => self.handle_inbound_close(&mut step, &peer),
            MeshEvent::FrameReceived { peer, frame, body } => {
                self.handle_frame(&mut step, &peer, frame, body);
            }
            MeshEvent::RunEnded { run, end } => self.end_run(&mut step, run, end),
            MeshEvent::ServerAnnounced { advertisement, sequence } => {
                self.handle_server_announcement(&mut step, advertisement, sequence);
            }
            MeshEvent::ServerLeaving { id, started_at_ms } => {
                self.handle_server_shutdown(&mut step, &id, started_at_ms, DepartureSource::Server);
            }
            MeshEvent::DeparturesLoaded(departures) => {
                self.apply_departures(&mut step, &departures);
            }
            MeshEvent::ServerNoticed { id, notice } => {
                self.handle_server_notice(&mut step, &id, notice);
            }
            MeshEvent::ServerProbed { is_reachable } => {
                self.handle_server_probe(&mut step, is_reachable);
            }
            MeshEvent::HealthProbed(report) => self.handle_health_probe(&mut step, report),
            MeshEvent::EvacuationsRead(view) => {
                self.apply_evacuations(&mut step, view, EvacuationSource::Table);
            }
            MeshEvent::SuspectsLoaded(records) => {
                records.iter().for_each(|it| self.merge_evidence(&mut step, it));
            }
            MeshEvent::SettingsReceived { settings, document } => {
                self.apply_settings(&mut step, settings, document);
            }
            MeshEvent::ServiceAssigned { service } => self.assign_service(&mut step, service),
            MeshEvent::PeersDiscovered(peers) => self.add_peers(&mut step, peers),
            MeshEvent::StopRequested { exit_within } => self.start_leaving(&mut step, exit_within),
            MeshEvent::GuardClosed => self.close_guard(&mut step),
            MeshEvent::Tick => self.tick(&mut step),
        }
    }

    /// Notices that the process was suspended or got no processor time.
    fn record_pause(&mut self, step: &mut ReducerStep<'_>) {
        let before = std::mem::replace(&mut self.applied_at, step.now);
        let pause = step.now.since(before);
        if before != TimePoint::ORIGIN && self.links.record_pause(step.now, pause) {
            step.log(format!("event=paused pause_ms={}", pause.as_millis()));
        }
    }

    /// Returns whether the daemon can serve clients: it has settings and isn't shutting down.
    pub fn is_ready(&self) -> bool {
        self.settings.is_some() && !self.is_leaving()
    }

    /// Returns whether no call or attempt is in progress, so that the daemon can exit without interrupting one.
    pub fn is_idle(&self) -> bool {
        self.entry.is_empty() && self.guard.is_idle()
    }

    /// Returns whether no client request is waiting for a response; calls of requests that run at the local backend server
    /// don't count.
    pub fn is_entry_idle(&self) -> bool {
        self.entry.calls.values().all(|it| it.parent.is_some())
    }

    /// Returns whether the daemon has begun to shut down.
    pub fn is_leaving(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns the service of the daemon's instance.
    pub fn service(&self) -> &ServiceName {
        &self.options.service
    }

    /// Returns the daemon's instance and incarnation.
    pub fn member(&self) -> &MemberId {
        &self.options.member
    }

    /// Returns the active settings, or `None` if none have been received.
    pub fn settings(&self) -> Option<&Arc<FleetSettings>> {
        self.settings.as_ref()
    }

    /// Returns the local backend server, or `None` if none has been announced.
    pub fn server(&self) -> Option<&ServerAdvertisement> {
        self.guard.server()
    }

    /// Returns the current load of the local backend server.
    pub fn load(&self) -> ServerLoad {
        self.guard.load()
    }

    /// Returns the number of crashes of the local backend server that were noticed with requests in flight.
    pub fn n_server_crashes(&self) -> u64 {
        self.guard.crash_detector.n_crashes()
    }

    /// Returns the requests that are suspected of crashing backend servers.
    pub fn quarantine(&self) -> &CrashQuarantine {
        &self.quarantine
    }

    /// Returns the number of quota tokens that this daemon has granted, by the name of their source.
    pub fn n_quota_tokens(&self) -> [(&'static str, u64); 3] {
        self.quotas.n_granted()
    }

    /// Returns the number of calls that this daemon has denied a quota token, by the name of what denied them: `home`, the
    /// account's quota owner; `entry`, its last response; `fallback`, this daemon while the owner did not respond.
    pub fn n_quota_denials(&self) -> [(&'static str, u64); 3] {
        self.quota_denials.by_source()
    }

    /// Returns a log line for each call that has no response yet, in the order of their arrival.
    pub fn open_call_lines(&self) -> Vec<String> {
        let mut calls: Vec<&EntryCall> = self.entry.calls.values().collect();
        calls.sort_unstable_by_key(|it| it.received_at);
        calls.into_iter().map(|it| it.open_line(self.applied_at)).collect()
    }

    /// Returns the number of calls that have no response yet.
    pub fn n_calls(&self) -> usize {
        self.entry.len()
    }

    /// Returns the number of open outbound links.
    pub fn n_open_links(&self) -> usize {
        self.links.n_open()
    }

    /// Returns the number of reachable daemons whose build speaks an earlier version of the protocol.
    pub fn n_older_builds(&self) -> usize {
        self.links.n_older_builds()
    }

    fn apply_settings(
        &mut self,
        step: &mut ReducerStep<'_>,
        settings: Arc<FleetSettings>,
        document: Bytes,
    ) {
        let current = self.settings.as_ref().map_or(0, |it| it.version());
        if settings.version() <= current {
            if settings.version() < current {
                step.log(format!(
                    "event=settings_ignored version={} in_force={current} cause=older",
                    settings.version()
                ));
            }
            return;
        }
        step.log(format!(
            "event=settings_in_force version={} before={current} routes={}",
            settings.version(),
            settings.n_routes(),
        ));
        self.guard.has_settings = true;
        self.settings = Some(settings);
        self.settings_document = document;
        self.update_warm_up_policy();
        self.update_request_limit(step);
        self.update_limit(step);
        self.publish_advertisement(step);
    }

    fn add_peers(&mut self, step: &mut ReducerStep<'_>, peers: Vec<PeerAddress>) {
        let (me, address) = (&self.options.member.instance, &self.options.address);
        for peer in peers {
            match peer.instance == *me {
                true => {}
                // The address now belongs to this daemon, so the daemon that wrote the row no longer exists.
                false if peer.address == *address => {
                    step.log(format!(
                        "event=row_outdated peer={} address={address}",
                        peer.instance
                    ));
                    step.out.push(MeshEffect::RemovePeerRow(peer));
                }
                false => self.links.add(step, peer),
            }
        }
    }

    /// Starts the graceful shutdown, which ends after `exit_within` at the latest; a later request changes nothing.
    fn start_leaving(&mut self, step: &mut ReducerStep<'_>, exit_within: Duration) {
        if self.shutdown.is_some() {
            return;
        }
        self.shutdown = Some(ShutdownPlan::new(step.now, exit_within));
        step.log(format!("event=leaving exit_within_ms={}", exit_within.as_millis()));
    }

    /// Notifies the other daemons that the guard accepts no more attempts.
    fn close_guard(&mut self, step: &mut ReducerStep<'_>) {
        self.start_leaving(step, Duration::ZERO);
        if !self.is_guard_closed {
            self.is_guard_closed = true;
            step.log(format!("event=guard_closed running={}", self.guard.attempts.len()));
            self.publish_advertisement(step);
        }
    }

    /// Sends a frame to all peers with an open outbound link.
    fn broadcast(&self, step: &mut ReducerStep<'_>, frame: &PeerFrame) {
        for peer in self.links.open_peers() {
            step.send(peer, frame.clone(), Bytes::new());
        }
    }

    fn tick(&mut self, step: &mut ReducerStep<'_>) {
        self.tick_calls(step);
        self.tick_runs(step);
        self.tick_links(step);
        self.tick_admission(step);
        step.out.extend(self.quarantine.take_changes().map(MeshEffect::SaveSuspects));
        if let Some(n_dropped) = self.log_limit.take_dropped(step.now) {
            step.log(format!("event=log_lines_dropped count={n_dropped}"));
        }
    }

    /// Recomputes the admitted shares, and periodically sends this daemon's demand, load and costs.
    fn tick_admission(&mut self, step: &mut ReducerStep<'_>) {
        let elapsed = step.now.since(self.admission_updated_at);
        if elapsed < ADMISSION_UPDATE_INTERVAL {
            return;
        }
        self.admission_updated_at = step.now;
        let me = self.options.member.instance.clone();
        let is_state_due =
            self.links.advertisement_interval() <= step.now.since(self.state_published_at);
        if is_state_due || self.guard.cost_estimator.has_first_cost() {
            self.publish_state(step);
        } else if self.guard.rejections.take_change(step.now) {
            self.publish_advertisement(step);
        }
        if self.demand_exchange.is_due(step.now) {
            self.exchange_demand(step);
        }
        self.picker.set_load(&me, self.guard.load());
        self.costs.update_demands();
        let picker = &self.picker;
        self.admission.update(elapsed, &self.costs, |service| picker.slots_of(step.now, service));
        if ADMISSION_LOG_INTERVAL <= step.now.since(self.admission_logged_at)
            && let Some(summary) = self.admission.summary()
        {
            self.admission_logged_at = step.now;
            step.log(format!("event=gate_shares {summary}"));
        }
    }

    /// Sends the client demand that this daemon receives, and applies what is known of the others'.
    fn exchange_demand(&mut self, step: &mut ReducerStep<'_>) {
        let peers: Vec<ExchangePeer> = self.links.exchange_peers().collect();
        let local_demand = self.admission.local_demand();
        for message in self.demand_exchange.tick(step.now, &local_demand, &peers) {
            let frame = match message.content {
                DemandContent::Report(demand) => PeerFrame::Demand { demand },
                DemandContent::Sums(sums) => PeerFrame::DomainDemands { sums },
            };
            step.send(&message.to, frame, Bytes::new());
        }
        self.admission.set_remote_demand(self.demand_exchange.remote_demand().cloned().collect());
    }

    /// Returns `span` with a random jitter of up to 25% either way, to spread out retries.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.75..1.25))
    }
}

#[cfg(test)]
mod tests;
