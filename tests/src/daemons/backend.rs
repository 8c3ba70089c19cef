//! The backend server beside each daemon: it counts what it runs.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use ivytrail::{
    id::{AccountName, AttemptId, CallId, CallToken, RootId, ServiceName},
    message::AttemptHeader,
    reducer::{BackendAnnouncement, BackendState, CallAnswer, DaemonEvent, RunEnd},
};
use rand::RngExt;

use super::{Delivery, Fleet, MS, NodePlace, POLL_US};

/// Requests that a backend server runs at once.
const SLOTS: u32 = 8;
/// Part of a path that crashes the backend server which runs it.
pub(super) const POISON: &str = "poison";

/// Manners of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMode {
    /// It answers within milliseconds.
    Serving,
    /// It answers within seconds, often after the deadline.
    Slow,
    /// It refuses everything before starting it.
    Shedding,
    /// It runs requests and cuts its answers.
    Cutting,
    /// It takes nothing new.
    Draining,
    /// It starts.
    Starting,
    /// It is gone.
    Dead,
}

/// One run, as the backend server saw it.
#[derive(Clone, Debug)]
pub struct RunFact {
    /// When it started.
    pub at: u64,
    /// The daemon beside the backend server.
    pub place: NodePlace,
    /// The attempt that ran.
    pub attempt: AttemptId,
    /// The call that made the attempt.
    pub call: Option<CallId>,
    /// The root request.
    pub root: RootId,
    /// Path of the request.
    pub path: String,
    /// Client account for which it ran.
    pub account: Option<AccountName>,
}

/// How a run ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum RunEnding {
    Answered(u16),
    Cut,
    TimedOut,
}

/// A backend server.
#[derive(Debug)]
pub struct FakeBackend {
    /// Its manners.
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
        self.mode != BackendMode::Dead
    }
}

impl Fleet {
    pub(super) fn announce(&mut self, place: NodePlace) {
        self.push(self.now + POLL_US, Delivery::Announce(place));
        let backend = &self.nodes[place.idx].backend;
        let state = match backend.mode {
            BackendMode::Dead => return,
            BackendMode::Starting => BackendState::Starting,
            BackendMode::Draining => BackendState::Draining,
            _ => BackendState::Serving,
        };
        let notice = BackendAnnouncement { service: backend.service.clone(), slots: SLOTS, state };
        self.apply(place, DaemonEvent::BackendAnnounced(notice));
    }

    pub(super) fn set_backend(&mut self, idx: usize, mode: BackendMode) {
        match mode {
            BackendMode::Dead => self.crash(idx),
            mode => self.nodes[idx].backend.mode = mode,
        }
        if mode == BackendMode::Draining {
            self.leavings.entry(idx).or_insert(self.now);
        } else {
            self.leavings.remove(&idx);
        }
    }

    pub(super) fn refuse_run(&mut self, place: NodePlace, attempt: AttemptId) {
        self.apply(place, DaemonEvent::RunEnded { attempt, end: RunEnd::NotSent });
    }

    pub(super) fn start_run(
        &mut self,
        place: NodePlace,
        attempt: AttemptId,
        header: &AttemptHeader,
        token: CallToken,
        time_left: Duration,
    ) {
        let mode = self.nodes[place.idx].backend.mode;
        match mode {
            BackendMode::Dead => return self.refuse_run(place, attempt),
            BackendMode::Shedding | BackendMode::Starting => {
                let end = RunEnd::Shed { retry_after: None, is_local: true };
                return self.push_event(MS, place, DaemonEvent::RunEnded { attempt, end });
            }
            _ => {}
        }
        self.seen_by_backends.push(format!("{header:?}"));
        self.runs.push(RunFact {
            at: self.now,
            place,
            call: self.attempts.get(&attempt).copied(),
            attempt: attempt.clone(),
            root: header.root.clone(),
            path: header.path.clone(),
            account: header.account.clone(),
        });
        self.nodes[place.idx].backend.in_flight.insert(attempt.clone(), header.path.clone());
        if header.path.contains(POISON) {
            return self.push(
                self.now + MS,
                Delivery::Fault(super::FleetFault::Backend(place.idx, BackendMode::Dead)),
            );
        }
        let duration = match mode {
            BackendMode::Slow => self.rng.random_range(100 * MS..3_000 * MS),
            _ => self.rng.random_range(5 * MS..20 * MS),
        };
        let limit = time_left.as_micros() as u64;
        let timeout = Delivery::RunEnds(place, attempt.clone(), RunEnding::TimedOut);
        self.push(self.now + limit, timeout);
        if self.call_nested(place, &attempt, header, token) {
            return;
        }
        let is_cut = mode == BackendMode::Cutting;
        let ending = if is_cut { RunEnding::Cut } else { RunEnding::Answered(200) };
        self.push(self.now + duration, Delivery::RunEnds(place, attempt, ending));
    }

    /// Ends a run whose nested call was answered.
    pub(super) fn end_parent(&mut self, place: NodePlace, parent: AttemptId, answer: &CallAnswer) {
        let status = match answer {
            CallAnswer::Complete { status, .. } => *status,
            CallAnswer::Refused { .. } => 502,
        };
        self.push(self.now + MS, Delivery::RunEnds(place, parent, RunEnding::Answered(status)));
    }

    pub(super) fn end_run(&mut self, place: NodePlace, attempt: &AttemptId, ending: RunEnding) {
        if !self.is_up(place) {
            return;
        }
        let Some(path) = self.nodes[place.idx].backend.in_flight.remove(attempt) else { return };
        let end = match ending {
            RunEnding::Answered(status) => {
                RunEnd::Answered { status, headers: Vec::new(), body: Bytes::from(path) }
            }
            RunEnding::Cut => RunEnd::Broken,
            RunEnding::TimedOut => RunEnd::TimedOut,
        };
        self.push_event(0, place, DaemonEvent::RunEnded { attempt: attempt.clone(), end });
    }

    /// Takes a crashed backend server back towards service, unless something else became of it.
    pub(super) fn return_backend(&mut self, idx: usize, mode: BackendMode) {
        let backend = &mut self.nodes[idx].backend;
        if matches!(backend.mode, BackendMode::Dead | BackendMode::Starting) {
            backend.mode = mode;
        }
    }

    fn crash(&mut self, idx: usize) {
        let place = self.place(idx);
        let backend = &mut self.nodes[idx].backend;
        backend.mode = BackendMode::Dead;
        for attempt in std::mem::take(&mut backend.in_flight).into_keys() {
            self.push_event(MS, place, DaemonEvent::RunEnded { attempt, end: RunEnd::Broken });
        }
        self.push(self.now + 700 * MS, Delivery::BackendReturns(idx, BackendMode::Starting));
        self.push(self.now + 1_500 * MS, Delivery::BackendReturns(idx, BackendMode::Serving));
    }
}
