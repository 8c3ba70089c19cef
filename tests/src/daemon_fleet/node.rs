//! Simulated daemons with their clocks.

use std::collections::BTreeMap;

use ivytrail::{
    id::{AttemptId, MemberId},
    reducer::{DaemonEvent, DaemonIdentity, DaemonReducer, TimedEvent},
    settings::Revision,
    time::{TimePoint, WallClock},
};

use super::{
    DaemonFleet, FakeBackend, MS, POLL_US, ScheduledEvent, TICK_US, effects::PeerExchange,
};

/// Wall clock time at the start of a simulation, in milliseconds since the Unix epoch.
const WALL_START_MS: u64 = 1_790_000_000_000;

/// Identifies one run of a daemon, from start to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeRun {
    /// Index of the daemon in the fleet.
    pub idx: usize,
    /// Run number, from 1.
    pub run: u32,
}

/// A simulated daemon and its backend server.
#[derive(Debug)]
pub struct DaemonNode {
    /// Member identifier of the current run.
    pub member: MemberId,
    /// Reducer of the current run.
    pub reducer: DaemonReducer,
    /// Fake backend server.
    pub backend: FakeBackend,
    /// Whether the daemon is running.
    pub is_up: bool,
    /// Number of the current or last run.
    pub run: u32,
    /// Start and end of each pause so far, in microseconds of true time.
    pub pauses: Vec<(u64, u64)>,
    pub(super) paused_until: u64,
    pub(super) armed_pause: Option<u64>,
    pub(super) pending_replies: BTreeMap<AttemptId, Vec<PeerExchange>>,
    pub(super) has_joined: bool,
    pub(super) domain: &'static str,
    skew_ms: u64,
    started_at: u64,
}

impl DaemonNode {
    pub(super) fn new(idx: usize, service: &str, domain: &'static str, skew_ms: u64) -> DaemonNode {
        let member =
            MemberId { instance: format!("{service}-{idx}").as_str().into(), incarnation: 0 };
        let identity = DaemonIdentity::new(member.clone(), domain, member.instance.as_str());
        DaemonNode {
            reducer: DaemonReducer::new(identity, [0; 32]),
            member,
            backend: FakeBackend::new(service),
            is_up: false,
            run: 0,
            pauses: Vec::new(),
            paused_until: 0,
            armed_pause: None,
            pending_replies: BTreeMap::new(),
            has_joined: false,
            domain,
            skew_ms,
            started_at: 0,
        }
    }

    /// Returns the wall clock's time, which is ahead of true time by a constant below the supported clock skew.
    pub fn wall(&self, now: u64) -> WallClock {
        WallClock::from_millis(WALL_START_MS + now / MS + self.skew_ms)
    }

    /// Returns the monotonic clock's time, whose origin is one second before the start of the run.
    pub fn clock(&self, now: u64) -> TimePoint {
        TimePoint::from_micros(now + 1_000 * MS - self.started_at)
    }

    pub(super) fn node_run_at(&self, idx: usize) -> NodeRun {
        NodeRun { idx, run: self.run }
    }

    pub(super) fn pause(&mut self, now: u64, length: u64) {
        if self.paused_until <= now {
            self.paused_until = now + length;
            self.pauses.push((now, now + length));
        }
    }
}

/// Returns the true time in milliseconds since the Unix epoch.
pub(super) fn true_wall_ms(now: u64) -> u64 {
    WALL_START_MS + now / MS
}

impl DaemonFleet {
    /// Returns the identifier of a daemon's current run.
    pub fn node_run(&self, idx: usize) -> NodeRun {
        self.nodes[idx].node_run_at(idx)
    }

    /// Starts the next run of a daemon.
    pub(super) fn start_node(&mut self, idx: usize) {
        let now = self.now;
        let node = &mut self.nodes[idx];
        node.started_at = now;
        node.run += 1;
        node.is_up = true;
        node.has_joined = false;
        node.paused_until = 0;
        node.backend.mode = super::BackendMode::Serving;
        node.member.incarnation = node.wall(now).as_millis();
        let address = node.member.instance.as_str();
        let identity = DaemonIdentity::new(node.member.clone(), node.domain, address);
        let mut seed = [idx as u8 + 1; 32];
        seed[0] = node.run as u8;
        node.reducer = DaemonReducer::new(identity, seed);
        self.drain_starts.remove(&idx);
        let node_run = self.node_run(idx);
        let offset = MS * (1 + idx as u64);
        self.schedule_at(now + offset % TICK_US, ScheduledEvent::Tick(node_run));
        self.schedule_at(now + offset % POLL_US, ScheduledEvent::PlatformPoll(node_run));
        self.schedule_at(now + offset, ScheduledEvent::BackendAnnouncement(node_run));
    }

    /// Applies an event to a daemon's reducer and schedules the effects.
    pub(super) fn apply(&mut self, node_run: NodeRun, event: DaemonEvent) {
        if !self.is_up(node_run) {
            return;
        }
        let node = &mut self.nodes[node_run.idx];
        let before: Revision = node.reducer.revision();
        let name = node.member.instance.clone();
        let event = TimedEvent { now: node.clock(self.now), wall: node.wall(self.now), event };
        let mut lines =
            self.trace.as_mut().map(|it| it.begin_event(self.now, name.as_str(), &event));
        let effects = node.reducer.apply(event);
        self.n_events += 1;
        if node.reducer.revision() < before {
            self.violations.push(format!("settings revision decreased at {name}"));
        }
        for effect in effects {
            if let Some(lines) = &mut lines {
                lines.push_effect(&effect);
            }
            self.schedule_at(self.now, ScheduledEvent::Effect(node_run, effect));
        }
        if let (Some(trace), Some(lines)) = (self.trace.as_mut(), lines) {
            trace.finish_event(lines);
        }
    }
}
