//! A fleet of reducers in one process, four unless a test names others. Frames are delivered in order unless a fault is injected.

mod calls;
mod faults;
mod fixtures;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use rand::rngs::SmallRng;

pub(super) use self::fixtures::{
    RELEASE_TARGET, answered, answered_with, call_of, nested_call_of, public_call_of, refused,
    server_advertisement,
};
use self::fixtures::{settings_of, settings_with_warm_up};
use crate::{
    id::{ContentDigest, InstanceName, MemberId},
    mesh::{
        MeshOptions, MeshReducer,
        event::{
            CallAnswer, HealthReport, MeshEffect, MeshEvent, PeerAddress, RunEnd, RunId,
            ServerDeparture,
        },
        frame::{AttemptRequest, AttemptResult, PeerFrame, ServerAdvertisement},
        policy::{FleetSettings, WarmUpPolicy},
        quota::quota_owner,
        retry_budget::RetryPolicy,
    },
    quarantine::{EvidenceRecord, StoredSuspect},
    time::TimePoint,
};

/// Account of all clients.
pub(super) const CLIENT: &str = "meteo";
/// Version of the initial settings.
pub(super) const VERSION: u64 = 5;
/// Timeout of all routes.
pub(super) const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Failure domain of all daemons, unless a test names others.
const DOMAIN: &str = "kolkata";
/// Services of the four daemons' backend servers.
const SERVICES: [&str; 4] = ["tracker", "booking", "tracker", "booking"];
/// Slots of each backend server.
const SLOTS: u32 = 10;

/// Start time of the backend servers that run at the beginning of a test, in milliseconds.
const INITIAL_SERVER_START_MS: u64 = 1_000;

/// A frame in transit: sender, receiver, header and body.
pub(super) type FrameInTransit = (usize, usize, (PeerFrame, Bytes));

/// A run at a daemon's backend server.
#[derive(Clone, Debug)]
pub(super) struct TestRun {
    pub(super) daemon: usize,
    pub(super) request: Arc<AttemptRequest>,
    /// Time from the start to the deadline that the backend server was given.
    pub(super) time_left: Duration,
    run: RunId,
}

/// Faults of the frames that carry crash evidence.
pub(super) struct EvidenceFaults {
    pub(super) rng: SmallRng,
    /// Longest delay of a frame.
    pub(super) max_delay: Duration,
    /// Share of the frames that arrive twice.
    pub(super) duplicate_share: f64,
}

/// The daemons, the frames in transit between them and the effects observed so far.
pub(super) struct TestFleet {
    daemons: Vec<MeshReducer>,
    /// Services of the daemons' backend servers.
    services: Vec<&'static str>,
    /// Failure domains of the daemons.
    domains: Vec<&'static str>,
    incarnations: Vec<u64>,
    /// Start time of each backend server, in milliseconds.
    server_starts: Vec<u64>,
    /// Backend servers that accept no connections.
    down_servers: HashSet<usize>,
    /// Runs that could not be sent to their backend server, and have not ended yet.
    unsent_runs: VecDeque<(usize, RunId)>,
    /// Evidence in the platform's table.
    stored_suspects: BTreeMap<ContentDigest, StoredSuspect>,
    /// Departures of backend servers in the platform's table.
    stored_departures: Vec<ServerDeparture>,
    /// Departures that the platform's table doesn't accept while it is away, by the daemon that stores them.
    unstored_departures: Vec<(usize, ServerDeparture)>,
    is_table_away: bool,
    /// Daemons that probe their backend server.
    probes: VecDeque<usize>,
    /// Daemons that request the health of their backend server.
    health_probes: VecDeque<usize>,
    /// Time until which each backend server is cold.
    cold_until: Vec<TimePoint>,
    /// Delays and duplicates crash evidence, if set.
    evidence_faults: Option<EvidenceFaults>,
    /// Delayed frames and the time of their delivery.
    delayed: Vec<(TimePoint, FrameInTransit)>,
    now: TimePoint,
    settings: Arc<FleetSettings>,
    answers: HashMap<u64, CallAnswer>,
    runs: Vec<TestRun>,
    /// All runs started since the beginning of the test.
    started: Vec<TestRun>,
    cancelled: HashSet<(usize, RunId)>,
    redialed: HashSet<(usize, InstanceName)>,
    undialed: HashSet<(usize, InstanceName)>,
    dead: HashSet<usize>,
    muted: HashSet<usize>,
    /// Daemons whose frames on inbound links are dropped.
    inbound_muted: HashSet<usize>,
    /// Daemons whose frames on outbound links are dropped.
    outbound_muted: HashSet<usize>,
    cuts: HashSet<(usize, usize)>,
    /// Frames that frozen daemons have not received yet, by daemon.
    frozen: HashMap<usize, Vec<FrameInTransit>>,
    /// Links on which all frames are lost, by the daemon that dialed and the one that accepted.
    silent_links: HashSet<(usize, usize)>,
    is_holding: bool,
    held: Vec<FrameInTransit>,
    queue: VecDeque<FrameInTransit>,
}

fn name_of(daemon: usize) -> InstanceName {
    format!("i-{daemon}").into()
}

fn index_of(name: &InstanceName) -> usize {
    name.as_str()[2..].parse().expect("instances are named i-0 to i-3")
}

fn reducer_of(daemon: usize, incarnation: u64, service: &str, domain: &str) -> MeshReducer {
    MeshReducer::new(MeshOptions {
        member: MemberId { instance: name_of(daemon), incarnation },
        domain: domain.into(),
        address: format!("10.0.0.{daemon}:7000"),
        service: service.into(),
        retry_policy: RetryPolicy { ratio: 0.2, window_s: 10.0, base_allowance: 40.0 },
        seed: daemon as u64,
    })
}

impl TestFleet {
    /// Starts four connected daemons that have their backend servers and the settings.
    pub(super) fn start() -> TestFleet {
        TestFleet::start_with(&SERVICES)
    }

    /// Starts one connected daemon for each item of `services`, with its backend server and the settings.
    pub(super) fn start_with(services: &[&'static str]) -> TestFleet {
        TestFleet::start_in(services, &vec![DOMAIN; services.len()])
    }

    /// Starts a fleet like [`TestFleet::start_with`] whose daemons are in the failure domains of `domains`.
    pub(super) fn start_in(services: &[&'static str], domains: &[&'static str]) -> TestFleet {
        TestFleet::start_from(services, domains, settings_of(VERSION, 0.0, 0.0))
    }

    /// Starts a fleet like [`TestFleet::start_in`] whose backend servers need a warm-up. They are warm at the start.
    pub(super) fn start_with_warm_up(
        services: &[&'static str],
        domains: &[&'static str],
        policy: WarmUpPolicy,
    ) -> TestFleet {
        TestFleet::start_from(services, domains, settings_with_warm_up(policy))
    }

    fn start_from(
        services: &[&'static str],
        domains: &[&'static str],
        settings: Arc<FleetSettings>,
    ) -> TestFleet {
        let n_daemons = services.len();
        let mut fleet = TestFleet {
            daemons: (0..n_daemons)
                .map(|it| reducer_of(it, 1, services[it], domains[it]))
                .collect(),
            services: services.to_vec(),
            domains: domains.to_vec(),
            incarnations: vec![1; n_daemons],
            server_starts: vec![INITIAL_SERVER_START_MS; n_daemons],
            down_servers: HashSet::new(),
            unsent_runs: VecDeque::new(),
            stored_suspects: BTreeMap::new(),
            stored_departures: Vec::new(),
            unstored_departures: Vec::new(),
            is_table_away: false,
            probes: VecDeque::new(),
            health_probes: VecDeque::new(),
            cold_until: vec![TimePoint::ORIGIN; n_daemons],
            evidence_faults: None,
            delayed: Vec::new(),
            now: TimePoint::from_millis(1_000),
            settings,
            answers: HashMap::new(),
            runs: Vec::new(),
            started: Vec::new(),
            cancelled: HashSet::new(),
            redialed: HashSet::new(),
            undialed: HashSet::new(),
            dead: HashSet::new(),
            muted: HashSet::new(),
            inbound_muted: HashSet::new(),
            outbound_muted: HashSet::new(),
            cuts: HashSet::new(),
            frozen: HashMap::new(),
            silent_links: HashSet::new(),
            is_holding: false,
            held: Vec::new(),
            queue: VecDeque::new(),
        };
        for daemon in 0..n_daemons {
            let event = fleet.settings_event(VERSION);
            fleet.apply(daemon, event);
            let advertisement = fleet.running_server(daemon);
            fleet.apply(daemon, MeshEvent::ServerAnnounced { advertisement, sequence: 1 });
            let peers = (0..n_daemons)
                .map(|it| PeerAddress {
                    instance: name_of(it),
                    address: format!("10.0.0.{it}:7000"),
                })
                .collect();
            fleet.apply(daemon, MeshEvent::PeersDiscovered(peers));
        }
        for daemon in 0..n_daemons {
            fleet.link_all(daemon);
        }
        fleet.advance(Duration::from_millis(1_000));
        fleet
    }

    pub(super) fn daemon(&self, daemon: usize) -> &MeshReducer {
        &self.daemons[daemon]
    }

    pub(super) fn n_daemons(&self) -> usize {
        self.daemons.len()
    }

    pub(super) fn now(&self) -> TimePoint {
        self.now
    }

    /// Returns the fingerprints of the requests against which the platform's table has evidence.
    pub(super) fn stored_suspects(&self) -> Vec<ContentDigest> {
        self.stored_suspects.keys().copied().collect()
    }

    fn stored_evidence(&self) -> Vec<EvidenceRecord> {
        self.stored_suspects.values().flat_map(|it| it.records.clone()).collect()
    }

    /// Returns the advertisement of a daemon's backend server in its current run.
    fn running_server(&self, daemon: usize) -> ServerAdvertisement {
        ServerAdvertisement {
            started_at_ms: self.server_starts[daemon],
            warm_up: self.cold_until[daemon].since(self.now),
            ..server_advertisement(daemon, self.services[daemon])
        }
    }

    pub(super) fn settings_event(&self, version: u64) -> MeshEvent {
        let settings = if version == VERSION {
            Arc::clone(&self.settings)
        } else {
            settings_of(version, 0.0, 0.0)
        };
        MeshEvent::SettingsReceived { settings, document: Bytes::from_static(b"document") }
    }

    /// Applies settings with a quota for the clients' account to all daemons.
    pub(super) fn set_quota(&mut self, rate_per_s: f64, burst: f64) {
        let settings = settings_of(VERSION + 1, rate_per_s, burst);
        for daemon in 0..self.daemons.len() {
            let settings = Arc::clone(&settings);
            let document = Bytes::from_static(b"document");
            self.apply(daemon, MeshEvent::SettingsReceived { settings, document });
        }
    }

    /// Applies an event and delivers (or holds) all frames that result from it.
    pub(super) fn apply(&mut self, daemon: usize, event: MeshEvent) {
        self.apply_one(daemon, event);
        while let Some(frame) = self.queue.pop_front() {
            match self.is_holding {
                true => self.held.push(frame),
                false => self.deliver(frame),
            }
        }
    }

    fn apply_one(&mut self, daemon: usize, event: MeshEvent) {
        if self.dead.contains(&daemon) || self.frozen.contains_key(&daemon) {
            return;
        }
        let mut effects = Vec::new();
        self.daemons[daemon].apply(self.now, event, &mut effects);
        for effect in effects {
            self.apply_effect(daemon, effect);
        }
        while let Some((daemon, run)) = self.unsent_runs.pop_front() {
            self.apply_one(daemon, MeshEvent::RunEnded { run, end: RunEnd::Unreachable });
        }
        while let Some(daemon) = self.probes.pop_front() {
            let is_reachable = !self.down_servers.contains(&daemon);
            self.apply_one(daemon, MeshEvent::ServerProbed { is_reachable });
        }
        while let Some(daemon) = self.health_probes.pop_front() {
            let report = (!self.down_servers.contains(&daemon)).then(|| HealthReport {
                server_id: self.running_server(daemon).id,
                cold_for: self.cold_until[daemon].since(self.now),
            });
            self.apply_one(daemon, MeshEvent::HealthProbed(report));
        }
    }

    fn apply_effect(&mut self, daemon: usize, effect: MeshEffect) {
        match effect {
            MeshEffect::Answer { call, answer } => {
                let previous = self.answers.insert(call.0, answer);
                assert!(previous.is_none(), "{call} was answered twice");
            }
            MeshEffect::SendOnInbound { .. } if self.inbound_muted.contains(&daemon) => {}
            MeshEffect::Send { .. } if self.outbound_muted.contains(&daemon) => {}
            MeshEffect::Send { peer, .. }
                if self.silent_links.contains(&(daemon, index_of(&peer))) => {}
            MeshEffect::SendOnInbound { peer, .. }
                if self.silent_links.contains(&(index_of(&peer), daemon)) => {}
            MeshEffect::Send { peer, frame: frame @ PeerFrame::Evidence(_), body }
                if self.evidence_faults.is_some() =>
            {
                self.delay_evidence(&(daemon, index_of(&peer), (frame, body)));
            }
            MeshEffect::Send { peer, frame, body }
            | MeshEffect::SendOnInbound { peer, frame, body } => {
                let to = index_of(&peer);
                if !self.is_cut(daemon, to) && !self.muted.contains(&daemon) {
                    self.queue.push_back((daemon, to, (frame, body)));
                }
            }
            MeshEffect::StartRun { run, .. } if self.down_servers.contains(&daemon) => {
                self.unsent_runs.push_back((daemon, run));
            }
            MeshEffect::StartRun { run, request, time_left, .. } => {
                let started = TestRun { daemon, request, time_left, run };
                self.started.push(started.clone());
                self.runs.push(started);
            }
            MeshEffect::SaveSuspects(changes) => {
                self.stored_suspects.retain(|it, _| !changes.removed.contains(it));
                self.stored_suspects.extend(changes.stored);
            }
            MeshEffect::SaveDeparture(departure) if self.is_table_away => {
                self.unstored_departures.push((daemon, departure));
            }
            MeshEffect::SaveDeparture(departure) => self.stored_departures.push(departure),
            MeshEffect::ProbeServer => self.probes.push_back(daemon),
            MeshEffect::ProbeHealth { .. } => self.health_probes.push_back(daemon),
            MeshEffect::CancelRun { run } => {
                self.cancelled.insert((daemon, run));
                self.runs.retain(|it| (it.daemon, it.run) != (daemon, run));
            }
            MeshEffect::Redial { peer } => {
                self.redialed.insert((daemon, peer));
            }
            MeshEffect::StopDialing { peer } => {
                self.undialed.insert((daemon, peer));
            }
            MeshEffect::DecodeSettings { .. } => {
                let event = self.settings_event(VERSION);
                self.apply_one(daemon, event);
            }
            MeshEffect::Dial(_) | MeshEffect::RemovePeerRow(_) | MeshEffect::Log(_) => {}
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    /// Delivers a frame and all frames that result from it.
    pub(super) fn deliver(&mut self, (from, to, (frame, body)): FrameInTransit) {
        if let Some(waiting) = self.frozen.get_mut(&to) {
            return waiting.push((from, to, (frame, body)));
        }
        let peer = self.member(from);
        self.apply_one(to, MeshEvent::FrameReceived { peer, frame, body });
        while let Some(frame) = self.queue.pop_front() {
            self.deliver(frame);
        }
    }

    fn member(&self, daemon: usize) -> MemberId {
        MemberId { instance: name_of(daemon), incarnation: self.incarnations[daemon] }
    }

    /// Opens the links between a daemon and all others, in both directions.
    pub(super) fn link_all(&mut self, daemon: usize) {
        for other in (0..self.daemons.len()).filter(|it| *it != daemon) {
            self.link(daemon, other);
            self.link(other, daemon);
        }
    }

    fn link(&mut self, from: usize, to: usize) {
        if self.dead.contains(&from) || self.dead.contains(&to) {
            return;
        }
        let advertisement = Box::new(self.daemons[from].advertisement());
        self.apply(to, MeshEvent::InboundLinkOpened(advertisement));
        let advertisement = Box::new(self.daemons[to].advertisement());
        self.apply(from, MeshEvent::OutboundLinkOpened(advertisement));
    }

    pub(super) fn is_undialed(&self, daemon: usize, name: &str) -> bool {
        self.undialed.contains(&(daemon, name.into()))
    }

    /// Returns the daemon that is the quota owner of the clients' account.
    pub(super) fn quota_owner_of_client(&self) -> usize {
        let names: Vec<InstanceName> = (0..self.daemons.len()).map(name_of).collect();
        quota_owner(&CLIENT.into(), names.iter()).map(index_of).expect("the fleet has daemons")
    }

    /// Advances the time, with a tick of all daemons every 10 ms.
    pub(super) fn advance(&mut self, span: Duration) {
        const STEP: Duration = Duration::from_millis(10);
        let end = self.now.plus(span);
        while self.now < end {
            self.now = self.now.plus(STEP);
            self.deliver_delayed();
            for daemon in 0..self.daemons.len() {
                self.apply(daemon, MeshEvent::Tick);
            }
        }
    }

    pub(super) fn is_redialed(&self, daemon: usize, peer: usize) -> bool {
        self.redialed.contains(&(daemon, name_of(peer)))
    }

    /// Delivers a frame from one daemon to another, regardless of injected faults.
    pub(super) fn send_frame(&mut self, from: usize, to: usize, frame: PeerFrame) {
        self.deliver((from, to, (frame, Bytes::new())));
    }

    /// Delivers a reply with an HTTP status for the run's attempt to the current incarnation of the entry.
    pub(super) fn reply_to(&mut self, entry: usize, run: &TestRun, status: u16) {
        let result = AttemptResult::Answered {
            status,
            headers: Vec::new(),
            run_us: 1_000,
            is_call_failed: false,
        };
        let load = self.daemons[run.daemon].load();
        self.send_frame(
            run.daemon,
            entry,
            PeerFrame::Reply { serial: run.request.serial, result, load },
        );
    }
}
