//! The mesh of daemons beside backend servers, on a platform that keeps a table and nothing else.
//!
//! Each daemon is the entry for the clients and the backend server on its own instance, and the guard in front of that
//! backend server: every run of a request passes the guard beside the server that runs it. What must hold for one
//! server (slots, drain, identity, at most one run) is enforced there, in one place; the entry only chooses.
//!
//! Daemons find each other in the platform's table, open one link to each other and tell each other what changes.
//! Nothing that runs depends on the platform: settings and members in force stay in force while it is away.
//!
//! [`MeshReducer::apply`] takes events and returns effects; it reads no clock and does no I/O.

pub mod admission;
pub mod cost;
mod ended_attempts;
mod entry;
mod entry_links;
pub mod event;
pub mod file;
pub mod frame;
mod guard;
mod intake;
mod leaving_servers;
mod links;
mod log_budget;
pub mod picker;
pub mod policy;
pub mod queue;
pub mod quota;
mod quota_flow;
pub mod retry_budget;
mod run_outcome;
mod server_announcements;
pub mod weighted_split;

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use self::{
    admission::AdmissionController,
    cost::CostModel,
    entry::{EntryCall, EntryCalls},
    event::{MeshEffect, MeshEvent, PeerAddress},
    frame::{PeerCard, PeerFrame, ServerCard, ServerLoad},
    guard::GuardRuns,
    leaving_servers::LeavingServers,
    links::PeerLinks,
    log_budget::LogBudget,
    picker::ServerPicker,
    policy::FleetSettings,
    quota::{QuotaBuckets, TokenCache},
    retry_budget::{RetryBudgets, RetryPolicy},
    weighted_split::WeightedSplit,
};
use crate::{
    id::{DomainName, InstanceName, MemberId, RouteName, ServiceName},
    quarantine::CrashQuarantine,
    time::TimePoint,
};

/// Time between two computations of the gate's shares.
const GATE_INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two log lines about the gate's shares.
const GATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Who a daemon is, and what its operators allow.
#[derive(Clone, Debug)]
pub struct MeshOptions {
    /// This run of the daemon.
    pub member: MemberId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address on which it takes links.
    pub address: String,
    /// Service of the backend server beside it.
    pub service: ServiceName,
    /// Bound on repeated sends.
    pub repeats: RetryPolicy,
    /// Feeds every random choice.
    pub seed: u64,
}

/// All decisions of one daemon of a mesh.
#[derive(Debug)]
pub struct MeshReducer {
    options: MeshOptions,
    settings: Option<Arc<FleetSettings>>,
    /// The settings in force as they lie in the platform's table, for peers that lack them.
    document: Bytes,
    is_leaving: bool,
    /// Whether others have been told to send no more attempts to the guard here.
    is_guard_closed: bool,
    links: PeerLinks,
    picker: ServerPicker,
    entry: EntryCalls,
    guard: GuardRuns,
    left: LeavingServers,
    quotas: QuotaBuckets,
    stash: TokenCache,
    repeats: RetryBudgets,
    splits: HashMap<RouteName, WeightedSplit>,
    costs: CostModel,
    gate: AdmissionController,
    gate_updated_at: TimePoint,
    gate_logged_at: TimePoint,
    state_told_at: TimePoint,
    quarantine: CrashQuarantine,
    log: LogBudget,
    rng: SmallRng,
}

/// One step of the reducer.
struct Turn<'o> {
    now: TimePoint,
    out: &'o mut Vec<MeshEffect>,
}

impl Turn<'_> {
    fn log(&mut self, line: String) {
        self.out.push(MeshEffect::Log(line));
    }

    fn send(&mut self, peer: &InstanceName, frame: PeerFrame, body: Bytes) {
        self.out.push(MeshEffect::Send { peer: peer.clone(), frame, body });
    }

    fn send_back(&mut self, peer: &InstanceName, frame: PeerFrame, body: Bytes) {
        self.out.push(MeshEffect::SendBack { peer: peer.clone(), frame, body });
    }
}

impl MeshReducer {
    /// Returns the reducer of a daemon that has just started and knows nothing yet.
    pub fn new(options: MeshOptions) -> MeshReducer {
        MeshReducer {
            settings: None,
            document: Bytes::new(),
            is_leaving: false,
            is_guard_closed: false,
            links: PeerLinks::default(),
            picker: ServerPicker::new(options.domain.clone()),
            entry: EntryCalls::new(options.member.incarnation),
            guard: GuardRuns::default(),
            left: LeavingServers::default(),
            quotas: QuotaBuckets::default(),
            stash: TokenCache::default(),
            repeats: RetryBudgets::default(),
            splits: HashMap::new(),
            costs: CostModel::default(),
            gate: AdmissionController::default(),
            gate_updated_at: TimePoint::ORIGIN,
            gate_logged_at: TimePoint::ORIGIN,
            state_told_at: TimePoint::ORIGIN,
            quarantine: CrashQuarantine::new(options.member.clone()),
            log: LogBudget::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            options,
        }
    }

    /// Applies one event; what has to be done is added to `out`.
    pub fn apply(&mut self, now: TimePoint, event: MeshEvent, out: &mut Vec<MeshEffect>) {
        let mut turn = Turn { now, out };
        match event {
            MeshEvent::CallReceived(request) => self.receive_call(&mut turn, *request),
            MeshEvent::CallerGone { call } => self.drop_call(&mut turn, call),
            MeshEvent::LinkOpened(card) => self.open_link(&mut turn, &card),
            MeshEvent::LinkClosed { peer } => self.close_link(&mut turn, &peer),
            MeshEvent::PeerAccepted(card) => self.accept_peer(&mut turn, &card),
            MeshEvent::PeerLost { peer } => self.lose_peer(&mut turn, &peer),
            MeshEvent::FrameReceived { peer, frame, body } => {
                self.receive_frame(&mut turn, &peer, frame, body);
            }
            MeshEvent::RunEnded { run, end } => self.end_run(&mut turn, run, end),
            MeshEvent::ServerAnnounced { card, sequence } => {
                self.handle_server_announcement(&mut turn, card, sequence);
            }
            MeshEvent::ServerLeft { id } => self.handle_server_leave(&mut turn, &id, None),
            MeshEvent::SettingsLearned { settings, document } => {
                self.learn_settings(&mut turn, settings, document);
            }
            MeshEvent::PeersLearned(peers) => self.learn_peers(&mut turn, peers),
            MeshEvent::StopRequested => self.start_leaving(&mut turn),
            MeshEvent::GuardClosed => self.close_guard(&mut turn),
            MeshEvent::Tick => self.tick(&mut turn),
        }
    }

    /// Returns whether the daemon can serve clients.
    pub fn is_ready(&self) -> bool {
        self.settings.is_some() && !self.is_leaving
    }

    /// Returns whether nothing is left that an exit would cut.
    pub fn is_idle(&self) -> bool {
        self.entry.is_empty() && self.guard.is_idle()
    }

    /// Returns whether no client waits for an answer here.
    pub fn is_entry_idle(&self) -> bool {
        self.entry.calls.values().all(EntryCall::is_nested)
    }

    /// Returns whether the daemon is about to exit.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns this run of the daemon.
    pub fn member(&self) -> &MemberId {
        &self.options.member
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Option<&Arc<FleetSettings>> {
        self.settings.as_ref()
    }

    /// Returns the own backend server, while one is known.
    pub fn server(&self) -> Option<&ServerCard> {
        self.guard.server()
    }

    /// Returns the load of the own backend server.
    pub fn load(&self) -> ServerLoad {
        self.guard.load()
    }

    /// Returns the number of calls that wait for their answer.
    pub fn n_calls(&self) -> usize {
        self.entry.len()
    }

    /// Returns the number of other daemons that this one has an open link to.
    pub fn n_open_links(&self) -> usize {
        self.links.n_open()
    }

    /// Returns what this daemon tells others about itself.
    pub fn card(&self) -> PeerCard {
        PeerCard {
            member: self.options.member.clone(),
            domain: self.options.domain.clone(),
            address: self.options.address.clone(),
            server: self.guard.server().cloned(),
            settings_version: self.settings.as_ref().map_or(0, |it| it.version()),
            is_leaving: self.is_guard_closed,
            load: self.guard.load(),
        }
    }

    fn learn_settings(
        &mut self,
        turn: &mut Turn<'_>,
        settings: Arc<FleetSettings>,
        document: Bytes,
    ) {
        let current = self.settings.as_ref().map_or(0, |it| it.version());
        if settings.version() <= current {
            return;
        }
        turn.log(format!(
            "event=settings_in_force version={} before={current} routes={}",
            settings.version(),
            settings.n_routes(),
        ));
        self.settings = Some(settings);
        self.document = document;
        self.tell_peers(turn);
    }

    fn learn_peers(&mut self, turn: &mut Turn<'_>, peers: Vec<PeerAddress>) {
        let (me, address) = (&self.options.member.instance, &self.options.address);
        for peer in peers {
            match peer.instance == *me {
                true => {}
                // This daemon has the address now; whoever wrote the row is gone.
                false if peer.address == *address => {
                    turn.log(format!(
                        "event=row_outdated peer={} address={address}",
                        peer.instance
                    ));
                    turn.out.push(MeshEffect::ForgetPeer(peer));
                }
                false => self.links.add(turn, peer),
            }
        }
    }

    fn start_leaving(&mut self, turn: &mut Turn<'_>) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        turn.log("event=leaving".to_string());
    }

    fn close_guard(&mut self, turn: &mut Turn<'_>) {
        self.start_leaving(turn);
        if !self.is_guard_closed {
            self.is_guard_closed = true;
            turn.log(format!("event=guard_closed running={}", self.guard.attempts.len()));
            self.tell_peers(turn);
        }
    }

    /// Tells all daemons what has changed here.
    fn tell_peers(&mut self, turn: &mut Turn<'_>) {
        let card = self.card();
        self.picker.apply_advertisement(turn.now, &card);
        self.broadcast(turn, &PeerFrame::Card(Box::new(card)));
    }

    /// Sends a frame to all daemons that can be reached.
    fn broadcast(&self, turn: &mut Turn<'_>, frame: &PeerFrame) {
        for peer in self.links.open_peers() {
            turn.send(peer, frame.clone(), Bytes::new());
        }
    }

    /// Tells all daemons how loaded this one is, what it is offered and what it has learned of costs.
    fn tell_state(&mut self, turn: &mut Turn<'_>) {
        self.state_told_at = turn.now;
        self.tell_peers(turn);
        let costs = self.guard.learner.report(turn.now);
        self.costs.record_report(&self.options.member.instance, costs.clone());
        self.broadcast(turn, &PeerFrame::Demand { demand: self.gate.local_demand(), costs });
    }

    fn tick(&mut self, turn: &mut Turn<'_>) {
        self.tick_calls(turn);
        self.tick_runs(turn);
        self.tick_links(turn);
        self.tick_gate(turn);
        if let Some(n_dropped) = self.log.take_dropped(turn.now) {
            turn.log(format!("event=log_lines_dropped count={n_dropped}"));
        }
    }

    /// Computes the gate's shares anew, and tells the other daemons from time to time what goes into them.
    fn tick_gate(&mut self, turn: &mut Turn<'_>) {
        let elapsed = turn.now.since(self.gate_updated_at);
        if elapsed < GATE_INTERVAL {
            return;
        }
        self.gate_updated_at = turn.now;
        let me = self.options.member.instance.clone();
        if self.links.card_interval() <= turn.now.since(self.state_told_at) {
            self.tell_state(turn);
        }
        self.picker.set_load(&me, self.guard.load());
        let picker = &self.picker;
        self.gate.update(elapsed, &self.costs, |service| picker.slots_of(turn.now, service));
        if GATE_LOG_INTERVAL <= turn.now.since(self.gate_logged_at)
            && let Some(summary) = self.gate.summary()
        {
            self.gate_logged_at = turn.now;
            turn.log(format!("event=gate_shares {summary}"));
        }
    }

    /// Returns `span` varied by up to a quarter either way, so that what waits for it doesn't come back at once.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.75..1.25))
    }
}

#[cfg(test)]
mod tests;
