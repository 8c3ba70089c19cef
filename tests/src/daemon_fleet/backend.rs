//! Fake backend servers, which record every run.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use ivytrail::{
    id::{AccountName, AttemptId, CallId, CallToken, RootId, ServiceName},
    message::AttemptHeader,
    reducer::{BackendAnnouncement, BackendState, CallAnswer, DaemonEvent, RunEnd},
};
use rand::RngExt;

use super::{DaemonFleet, MS, NodeRun, POLL_US, ScheduledEvent};

/// Number of concurrent runs that a backend server announces.
const SLOTS: u32 = 8;
/// Path segment that crashes the backend server which runs the request.
pub(super) const POISON_SEGMENT: &str = "poison";

/// Behaviour of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMode {
    /// Responds within milliseconds.
    Serving,
    /// Responds after up to three seconds, often after the deadline.
    Slow,
    /// Refuses every request before starting it.
    Shedding,
    /// Runs requests and truncates the responses.
    Truncating,
    /// Announces that it is draining.
    Draining,
    /// Announces that it is starting, and refuses every request.
    Starting,
    /// Accepts no connections.
    Crashed,
}

/// One run, as recorded by the backend server.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Start of the run, in microseconds of true time.
    pub at: u64,
    /// The daemon run that started it.
    pub node_run: NodeRun,
    /// Attempt that was run.
    pub attempt: AttemptId,
    /// Call that made the attempt.
    pub call: Option<CallId>,
    /// Identifier of the root request.
    pub root: RootId,
    /// Request path.
    pub path: String,
    /// Client account for which the request ran.
    pub account: Option<AccountName>,
}

/// Result of a run at a fake backend server.
#[derive(Clone, Copy, Debug)]
pub(super) enum RunEnding {
    Answered(u16),
    Truncated,
    TimedOut,
}

/// Fake backend server of one daemon.
#[derive(Debug)]
pub struct FakeBackend {
    /// Current behaviour.
    pub mode: BackendMode,
    service: ServiceName,
    pub(super) in_flight: BTreeMap<AttemptId, String>,
}

impl FakeBackend {
    pub(super) fn new(service: &str) -> FakeBackend {
        let service = service.into();
        FakeBackend { mode: BackendMode::Serving, service, in_flight: BTreeMap::new() }
    }

    pub(super) fn is_alive(&self) -> bool {
        self.mode != BackendMode::Crashed
    }
}

impl DaemonFleet {
    pub(super) fn announce_backend(&mut self, node_run: NodeRun) {
        self.schedule_at(self.now + POLL_US, ScheduledEvent::BackendAnnouncement(node_run));
        let backend = &self.nodes[node_run.idx].backend;
        let state = match backend.mode {
            BackendMode::Crashed => return,
            BackendMode::Starting => BackendState::Starting,
            BackendMode::Draining => BackendState::Draining,
            _ => BackendState::Serving,
        };
        let notice = BackendAnnouncement { service: backend.service.clone(), slots: SLOTS, state };
        self.apply(node_run, DaemonEvent::BackendAnnounced(notice));
    }

    pub(super) fn set_backend(&mut self, idx: usize, mode: BackendMode) {
        match mode {
            BackendMode::Crashed => self.crash_backend(idx),
            mode => self.nodes[idx].backend.mode = mode,
        }
        if mode == BackendMode::Draining {
            self.drain_starts.entry(idx).or_insert(self.now);
        } else {
            self.drain_starts.remove(&idx);
        }
    }

    pub(super) fn refuse_run(&mut self, node_run: NodeRun, attempt: AttemptId) {
        self.apply(node_run, DaemonEvent::RunEnded { attempt, end: RunEnd::NotSent });
    }

    pub(super) fn start_run(
        &mut self,
        node_run: NodeRun,
        attempt: AttemptId,
        header: &AttemptHeader,
        token: CallToken,
        time_left: Duration,
    ) {
        let mode = self.nodes[node_run.idx].backend.mode;
        match mode {
            BackendMode::Crashed => return self.refuse_run(node_run, attempt),
            BackendMode::Shedding | BackendMode::Starting => {
                let end = RunEnd::Shed { retry_after: None, is_local: true };
                return self.schedule_event(MS, node_run, DaemonEvent::RunEnded { attempt, end });
            }
            _ => {}
        }
        self.backend_requests.push(format!("{header:?}"));
        self.runs.push(RunRecord {
            at: self.now,
            node_run,
            call: self.attempts.get(&attempt).copied(),
            attempt: attempt.clone(),
            root: header.root.clone(),
            path: header.path.clone(),
            account: header.account.clone(),
        });
        self.nodes[node_run.idx].backend.in_flight.insert(attempt.clone(), header.path.clone());
        if header.path.contains(POISON_SEGMENT) {
            return self.schedule_at(
                self.now + MS,
                ScheduledEvent::Fault(super::FleetFault::Backend(
                    node_run.idx,
                    BackendMode::Crashed,
                )),
            );
        }
        let duration = match mode {
            BackendMode::Slow => self.rng.random_range(100 * MS..3_000 * MS),
            _ => self.rng.random_range(5 * MS..20 * MS),
        };
        let limit = time_left.as_micros() as u64;
        let timeout = ScheduledEvent::RunEnd(node_run, attempt.clone(), RunEnding::TimedOut);
        self.schedule_at(self.now + limit, timeout);
        if self.call_nested(node_run, &attempt, header, token) {
            return;
        }
        let is_truncating = mode == BackendMode::Truncating;
        let ending = if is_truncating { RunEnding::Truncated } else { RunEnding::Answered(200) };
        self.schedule_at(self.now + duration, ScheduledEvent::RunEnd(node_run, attempt, ending));
    }

    /// Ends a run after its nested call was answered.
    pub(super) fn end_parent(&mut self, node_run: NodeRun, parent: AttemptId, answer: &CallAnswer) {
        let status = match answer {
            CallAnswer::Complete { status, .. } => *status,
            CallAnswer::Refused { .. } => 502,
        };
        self.schedule_at(
            self.now + MS,
            ScheduledEvent::RunEnd(node_run, parent, RunEnding::Answered(status)),
        );
    }

    pub(super) fn end_run(&mut self, node_run: NodeRun, attempt: &AttemptId, ending: RunEnding) {
        if !self.is_up(node_run) {
            return;
        }
        let Some(path) = self.nodes[node_run.idx].backend.in_flight.remove(attempt) else { return };
        let end = match ending {
            RunEnding::Answered(status) => {
                RunEnd::Answered { status, headers: Vec::new(), body: Bytes::from(path) }
            }
            RunEnding::Truncated => RunEnd::Broken,
            RunEnding::TimedOut => RunEnd::TimedOut,
        };
        self.schedule_event(0, node_run, DaemonEvent::RunEnded { attempt: attempt.clone(), end });
    }

    /// Sets the next mode of a recovering backend server, unless a fault has changed its mode meanwhile.
    pub(super) fn recover_backend(&mut self, idx: usize, mode: BackendMode) {
        let backend = &mut self.nodes[idx].backend;
        if matches!(backend.mode, BackendMode::Crashed | BackendMode::Starting) {
            backend.mode = mode;
        }
    }

    fn crash_backend(&mut self, idx: usize) {
        let node_run = self.node_run(idx);
        let backend = &mut self.nodes[idx].backend;
        backend.mode = BackendMode::Crashed;
        for attempt in std::mem::take(&mut backend.in_flight).into_keys() {
            self.schedule_event(
                MS,
                node_run,
                DaemonEvent::RunEnded { attempt, end: RunEnd::Broken },
            );
        }
        self.schedule_at(
            self.now + 700 * MS,
            ScheduledEvent::BackendRecovery(idx, BackendMode::Starting),
        );
        self.schedule_at(
            self.now + 1_500 * MS,
            ScheduledEvent::BackendRecovery(idx, BackendMode::Serving),
        );
    }
}
