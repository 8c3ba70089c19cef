//! Discrete-event simulation of a fleet of reducers with their servers and clients.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use ivytrail::{
    id::{CallId, ContentDigest, InstanceName, MemberId},
    mesh::{
        MeshReducer,
        event::{CallAnswer, CallRequest, MeshEffect, MeshEvent, PeerAddress, RunEnd, RunId},
        frame::{AttemptRequest, PeerFrame},
        policy::FleetSettings,
    },
    message::CallOutcome,
    time::TimePoint,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    load::{CLASSES, HeavyLoad, LEAF, ROOTS, SERVICES},
    topology::{KEY, N_DOMAINS, address_of, declaration, name_of, reducer_of, server_of},
};

const TICK_US: u64 = 20_000;
const LOCAL_HOP_US: u64 = 200;
const REMOTE_HOP_US: u64 = 900;
/// Time that a server takes to reject a request.
const REJECTION_US: u64 = 1_000;
/// Time before the first request, in which the daemons connect.
const LEAD_US: u64 = 1_000_000;
/// Time after the last arrival in which requests may still be answered.
const TAIL_US: u64 = 16_000_000;

/// Counts of one class of root requests.
#[derive(Clone, Default)]
pub struct ClassCounts {
    pub n_offered: u32,
    pub n_in_target: u32,
    pub n_late: u32,
    pub n_refused: u32,
    pub n_failed: u32,
    /// Time for which runs of served and of unserved root requests held slots, nested calls included.
    pub useful_slot_s: f64,
    pub wasted_slot_s: f64,
}

/// Result of a load.
#[derive(Default)]
pub struct HeavyResult {
    pub classes: [ClassCounts; CLASSES.len()],
}

enum WorldEvent {
    Tick {
        daemon: usize,
    },
    Frame {
        from: usize,
        to: usize,
        frame: PeerFrame,
        body: Bytes,
    },
    Arrival,
    Return {
        root: usize,
    },
    /// The first half of a run's work is done, and its calls are due.
    HalfDone {
        run: (usize, RunId),
    },
    Done {
        run: (usize, RunId),
    },
    TimedOut {
        run: (usize, RunId),
    },
    Rejected {
        run: (usize, RunId),
    },
}

/// A request of a client, with all of its tries.
struct RootRequest {
    class: usize,
    first_at: u64,
    n_tries: u32,
    slot_s: f64,
    is_served: bool,
}

/// A request that a server runs.
struct ServerRun {
    class: usize,
    root: usize,
    request_id: String,
    started_at: u64,
    work_us: u64,
    n_calls_left: u32,
    n_calls_open: u32,
}

enum Caller {
    Client { root: usize },
    Run { run: (usize, RunId) },
}

/// Daemons, their servers and their clients.
pub struct HeavyFleet {
    load: HeavyLoad,
    daemons: Vec<MeshReducer>,
    speeds: Vec<f64>,
    services: Vec<usize>,
    names: HashMap<InstanceName, usize>,
    now_us: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, WorldEvent>,
    next_event: u64,
    next_call: u64,
    roots: Vec<RootRequest>,
    runs: HashMap<(usize, RunId), ServerRun>,
    callers: HashMap<CallId, Caller>,
    rng: SmallRng,
    result: HeavyResult,
}

impl HeavyFleet {
    /// Plays a load and returns its counts.
    pub fn play(load: HeavyLoad, seed: u64) -> HeavyResult {
        let mut fleet = HeavyFleet::start(load, seed);
        let end_us = LEAD_US + (fleet.load.length_s * 1e6) as u64 + TAIL_US;
        while let Some(Reverse((at, id))) = fleet.heap.pop().filter(|it| it.0.0 < end_us) {
            fleet.now_us = at;
            if let Some(event) = fleet.events.remove(&id) {
                fleet.handle(event);
            }
        }
        for root in &fleet.roots {
            let counts = &mut fleet.result.classes[root.class];
            match root.is_served {
                true => counts.useful_slot_s += root.slot_s,
                false => counts.wasted_slot_s += root.slot_s,
            }
        }
        fleet.result
    }

    fn start(load: HeavyLoad, seed: u64) -> HeavyFleet {
        let mut fleet = HeavyFleet {
            load,
            daemons: Vec::new(),
            speeds: Vec::new(),
            services: Vec::new(),
            names: HashMap::new(),
            now_us: 0,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_call: 0,
            roots: Vec::new(),
            runs: HashMap::new(),
            callers: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            result: HeavyResult::default(),
        };
        for (service, spec) in SERVICES.iter().enumerate() {
            for n_server in 0..spec.n_servers {
                fleet.services.push(service);
                fleet.speeds.push(spec.speeds[n_server % spec.speeds.len()]);
            }
        }
        fleet.connect_daemons();
        fleet.schedule(LEAD_US, WorldEvent::Arrival);
        fleet
    }

    fn connect_daemons(&mut self) {
        let n_daemons = self.services.len();
        let peers: Vec<PeerAddress> = (0..n_daemons)
            .map(|idx| PeerAddress { instance: name_of(idx), address: address_of(idx) })
            .collect();
        let settings = Arc::new(FleetSettings::new(declaration()));
        for idx in 0..n_daemons {
            self.names.insert(name_of(idx), idx);
            self.daemons.push(reducer_of(idx, self.services[idx]));
        }
        for idx in 0..n_daemons {
            let document = Bytes::from_static(b"document");
            let settings = Arc::clone(&settings);
            self.apply(idx, MeshEvent::SettingsReceived { settings, document });
            let advertisement = server_of(idx, self.services[idx]);
            self.apply(idx, MeshEvent::ServerAnnounced { advertisement, sequence: 1 });
            self.apply(idx, MeshEvent::PeersDiscovered(peers.clone()));
            // Daemons tick at different moments, as processes do.
            self.schedule(
                TICK_US * idx as u64 / n_daemons as u64,
                WorldEvent::Tick { daemon: idx },
            );
        }
        for from in 0..n_daemons {
            for to in (0..n_daemons).filter(|it| *it != from) {
                let advertisement = Box::new(self.daemons[from].advertisement());
                self.apply(to, MeshEvent::InboundLinkOpened(advertisement));
                let advertisement = Box::new(self.daemons[to].advertisement());
                self.apply(from, MeshEvent::OutboundLinkOpened(advertisement));
            }
        }
    }

    fn schedule(&mut self, after_us: u64, event: WorldEvent) {
        let id = self.next_event;
        self.next_event += 1;
        self.events.insert(id, event);
        self.heap.push(Reverse((self.now_us + after_us, id)));
    }

    /// Returns the time since the first arrival, in seconds.
    fn seconds(&self) -> f64 {
        self.now_us.saturating_sub(LEAD_US) as f64 / 1e6
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick { daemon } => {
                self.schedule(TICK_US, WorldEvent::Tick { daemon });
                self.apply(daemon, MeshEvent::Tick);
            }
            WorldEvent::Frame { from, to, frame, body } => {
                let peer = MemberId { instance: name_of(from), incarnation: 1 };
                self.apply(to, MeshEvent::FrameReceived { peer, frame, body });
            }
            WorldEvent::Arrival => self.add_root(),
            WorldEvent::Return { root } => self.send_root(root),
            WorldEvent::HalfDone { run } => self.start_calls(run),
            WorldEvent::Done { run } => self.end_run(run, 200),
            WorldEvent::TimedOut { run } => self.end_run(run, 504),
            WorldEvent::Rejected { run: (daemon, run) } => {
                let end = RunEnd::Rejected { is_misdirected: false };
                self.apply(daemon, MeshEvent::RunEnded { run, end });
            }
        }
    }

    fn apply(&mut self, daemon: usize, event: MeshEvent) {
        let mut effects = Vec::new();
        let now = TimePoint::from_micros(1_000_000 + self.now_us);
        self.daemons[daemon].apply(now, event, &mut effects);
        for effect in effects {
            match effect {
                MeshEffect::Answer { call, answer } => self.handle_answer(call, &answer),
                MeshEffect::Send { peer, frame, body }
                | MeshEffect::SendOnInbound { peer, frame, body } => {
                    let to = self.names[&peer];
                    let is_local = daemon % N_DOMAINS == to % N_DOMAINS;
                    let hop_us = if is_local { LOCAL_HOP_US } else { REMOTE_HOP_US };
                    self.schedule(hop_us, WorldEvent::Frame { from: daemon, to, frame, body });
                }
                MeshEffect::StartRun { run, request, time_left, .. } => {
                    self.start_run((daemon, run), &request, time_left);
                }
                MeshEffect::CancelRun { run } => {
                    self.drop_run((daemon, run));
                }
                MeshEffect::Dial(_)
                | MeshEffect::Redial { .. }
                | MeshEffect::StopDialing { .. }
                | MeshEffect::RemovePeerRow(_)
                | MeshEffect::DecodeSettings { .. }
                | MeshEffect::ProbeServer
                | MeshEffect::ProbeHealth { .. }
                | MeshEffect::SaveSuspects(_)
                | MeshEffect::SaveDeparture(_)
                | MeshEffect::Log(_) => {}
            }
        }
    }

    fn add_root(&mut self) {
        let seconds = self.seconds();
        if self.load.length_s <= seconds {
            return;
        }
        let per_s = self.load.roots_per_s * self.load.factor_at(seconds);
        let gap_s = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / per_s;
        self.schedule((gap_s * 1e6) as u64, WorldEvent::Arrival);
        let mut pick = self.rng.random_range(0.0..1.0_f64);
        let class = ROOTS.into_iter().find(|idx| {
            pick -= CLASSES[*idx].mix;
            pick < 0.0
        });
        let class = class.unwrap_or(ROOTS[0]);
        let first_at = self.now_us;
        self.result.classes[class].n_offered += 1;
        self.roots.push(RootRequest { class, first_at, n_tries: 0, slot_s: 0.0, is_served: false });
        self.send_root(self.roots.len() - 1);
    }

    fn send_root(&mut self, root: usize) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let request = &mut self.roots[root];
        request.n_tries += 1;
        let class = request.class;
        let elapsed = Duration::from_micros(self.now_us - request.first_at);
        let deadline = Duration::from_millis(CLASSES[class].deadline_ms);
        let request_id = format!("{root}-{}", request.n_tries);
        let time_left = deadline.saturating_sub(elapsed);
        let caller = Caller::Client { root };
        self.send_call(daemon, class, root, request_id, Some(time_left), caller);
    }

    fn send_call(
        &mut self,
        daemon: usize,
        class: usize,
        root: usize,
        request_id: String,
        time_limit: Option<Duration>,
        caller: Caller,
    ) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.callers.insert(call, caller);
        let request = CallRequest {
            call,
            request_id: request_id.into(),
            method: "GET".into(),
            host: "mesh.example".into(),
            target: format!("/{}/{root}", CLASSES[class].name).into(),
            headers: Vec::new(),
            key: (0.0 < CLASSES[class].mix).then(|| ContentDigest::of_parts(&[KEY])),
            time_limit,
            body: Bytes::new(),
        };
        self.apply(daemon, MeshEvent::CallReceived(Box::new(request)));
    }

    fn handle_answer(&mut self, call: CallId, answer: &CallAnswer) {
        let is_success = matches!(answer, CallAnswer::Complete { status, .. } if *status < 500);
        match self.callers.remove(&call) {
            Some(Caller::Client { root }) if is_success => self.serve_root(root),
            Some(Caller::Client { root }) => self.fail_root(root, answer),
            Some(Caller::Run { run }) if is_success => self.continue_calls(run),
            Some(Caller::Run { run }) => self.end_run(run, 500),
            None => {}
        }
    }

    fn serve_root(&mut self, root: usize) {
        let request = &mut self.roots[root];
        request.is_served = true;
        let class = &CLASSES[request.class];
        let counts = &mut self.result.classes[request.class];
        match self.now_us - request.first_at <= class.target_ms * 1_000 {
            true => counts.n_in_target += 1,
            false => counts.n_late += 1,
        }
    }

    /// Lets a client return once: after the announced delay if its request has not run, and at once if it is idempotent.
    fn fail_root(&mut self, root: usize, answer: &CallAnswer) {
        let request = &self.roots[root];
        let class = &CLASSES[request.class];
        let left_us = (class.deadline_ms * 1_000).saturating_sub(self.now_us - request.first_at);
        let not_run = match answer {
            CallAnswer::Refused { outcome: CallOutcome::NotRun, retry_after, .. } => {
                Some(retry_after.unwrap_or_default())
            }
            _ => None,
        };
        let delay_us = match not_run {
            Some(_) if self.rng.random_bool(self.load.impatient) => Some(0),
            Some(wait) => Some((wait.as_micros() as u64).min(left_us / 3)),
            None => class.is_idempotent.then_some(0),
        };
        match delay_us.filter(|_| request.n_tries < 2 && 0 < left_us) {
            Some(delay_us) => self.schedule(delay_us, WorldEvent::Return { root }),
            None if not_run.is_some() => self.result.classes[request.class].n_refused += 1,
            None => self.result.classes[request.class].n_failed += 1,
        }
    }

    fn start_run(&mut self, run: (usize, RunId), request: &AttemptRequest, time_left: Duration) {
        let service = self.services[run.0];
        let rejected = if service == LEAF { self.load.rejected_at(self.seconds()) } else { 0.0 };
        if self.rng.random_bool(rejected) {
            return self.schedule(REJECTION_US, WorldEvent::Rejected { run });
        }
        let class = CLASSES
            .iter()
            .position(|it| it.name == request.route.as_str())
            .expect("each route is named after a class");
        let digits = request.request_id.split('-').next().unwrap_or_default();
        let root = digits.parse().expect("requests are named after their root");
        let exponential = -self.rng.random_range(f64::EPSILON..1.0_f64).ln();
        let work_ms = CLASSES[class].work_ms * (0.6 + 0.4 * exponential) / self.speeds[run.0];
        let started = ServerRun {
            class,
            root,
            request_id: request.request_id.to_string(),
            started_at: self.now_us,
            work_us: (work_ms * 1e3) as u64,
            n_calls_left: CLASSES[class].calls.map_or(0, |(_, n_calls)| n_calls),
            n_calls_open: 0,
        };
        self.schedule(started.work_us / 2, WorldEvent::HalfDone { run });
        self.schedule(time_left.as_micros() as u64, WorldEvent::TimedOut { run });
        self.runs.insert(run, started);
    }

    fn start_calls(&mut self, run: (usize, RunId)) {
        let Some(running) = self.runs.get(&run) else { return };
        if running.n_calls_left == 0 {
            return self.schedule(running.work_us / 2, WorldEvent::Done { run });
        }
        let n_calls = match CLASSES[running.class].is_together {
            true => running.n_calls_left,
            false => 1,
        };
        for _ in 0..n_calls {
            self.call_from(run);
        }
    }

    fn call_from(&mut self, run: (usize, RunId)) {
        let Some(running) = self.runs.get_mut(&run) else { return };
        let Some((class, _)) = CLASSES[running.class].calls else { return };
        let request_id = format!("{}.{}", running.request_id, running.n_calls_left);
        running.n_calls_left -= 1;
        running.n_calls_open += 1;
        let root = running.root;
        self.send_call(run.0, class, root, request_id, None, Caller::Run { run });
    }

    fn continue_calls(&mut self, run: (usize, RunId)) {
        let Some(running) = self.runs.get_mut(&run) else { return };
        running.n_calls_open -= 1;
        match (running.n_calls_left, running.n_calls_open) {
            (0, 0) => {
                let work_us = running.work_us / 2;
                self.schedule(work_us, WorldEvent::Done { run });
            }
            (0, _) => {}
            _ => self.call_from(run),
        }
    }

    fn end_run(&mut self, run: (usize, RunId), status: u16) {
        if self.drop_run(run) {
            let end = RunEnd::Answered { status, headers: Vec::new(), body: Bytes::new() };
            self.apply(run.0, MeshEvent::RunEnded { run: run.1, end });
        }
    }

    /// Removes a run, counts its slot time and returns whether it was still there.
    fn drop_run(&mut self, run: (usize, RunId)) -> bool {
        let Some(ended) = self.runs.remove(&run) else { return false };
        self.roots[ended.root].slot_s += (self.now_us - ended.started_at) as f64 / 1e6;
        true
    }
}
