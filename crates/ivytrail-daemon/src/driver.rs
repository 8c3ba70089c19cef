//! The driver around the reducer: clocks, pending connections and the lock.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicU64, Ordering},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use ivytrail::{
    id::{AttemptId, CallId},
    message::AttemptReply,
    reducer::{CallAnswer, DaemonEffect, DaemonEvent, DaemonReducer, TimedEvent},
    time::{TimePoint, WallClock},
};
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Receives the answers of an attempt.
pub type ReplySender = oneshot::Sender<(AttemptReply, Bytes)>;

/// A caller's connection that waits for its answer.
#[derive(Debug)]
pub struct PendingCall {
    /// Body of the request, kept for a further attempt.
    pub body: Bytes,
    /// Where the answer goes.
    pub sender: oneshot::Sender<CallAnswer>,
    /// When the request had come whole.
    pub received_at: Instant,
}

/// An attempt at this guard.
#[derive(Debug, Default)]
pub struct PendingAttempt {
    /// Body of the request, until its run starts.
    pub body: Bytes,
    /// Connections that wait for its answer.
    pub senders: Vec<ReplySender>,
}

/// The reducer, and what connects it with tasks and connections.
#[derive(Debug)]
pub struct DaemonDriver {
    reducer: Mutex<DaemonReducer>,
    pending_calls: Mutex<HashMap<CallId, PendingCall>>,
    pending_attempts: Mutex<HashMap<AttemptId, PendingAttempt>>,
    runs: Mutex<HashMap<AttemptId, tokio::task::AbortHandle>>,
    next_call_id: AtomicU64,
    started_at: Instant,
}

impl DaemonDriver {
    /// Returns a driver around `reducer`.
    pub fn new(reducer: DaemonReducer) -> DaemonDriver {
        DaemonDriver {
            reducer: Mutex::new(reducer),
            pending_calls: Mutex::default(),
            pending_attempts: Mutex::default(),
            runs: Mutex::default(),
            next_call_id: AtomicU64::new(1),
            started_at: Instant::now(),
        }
    }

    /// Returns the reading of the daemon's monotonic clock.
    pub fn now(&self) -> TimePoint {
        TimePoint::from_micros(
            u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX),
        )
    }

    /// Applies an event and returns what has to be done.
    pub fn reduce(&self, event: DaemonEvent) -> Vec<DaemonEffect> {
        let wall = wall_clock();
        let mut reducer = self.reducer.lock();
        // The clock is read under the lock, so that the reducer's time never falls.
        let now = self.now();
        reducer.apply(TimedEvent { now, wall, event })
    }

    /// Reads the reducer's state.
    pub fn inspect<R, F>(&self, read: F) -> R
    where
        F: FnOnce(&DaemonReducer) -> R,
    {
        read(&self.reducer.lock())
    }

    /// Registers a caller's connection and returns its call's number.
    pub fn add_call(&self, body: Bytes) -> (CallId, oneshot::Receiver<CallAnswer>) {
        let call = CallId(self.next_call_id.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.pending_calls
            .lock()
            .insert(call, PendingCall { body, sender, received_at: Instant::now() });
        (call, receiver)
    }

    /// Returns the number of calls that wait for their answers.
    pub fn n_pending_calls(&self) -> usize {
        self.pending_calls.lock().len()
    }

    /// Returns the body of a call that waits for its answer.
    pub fn call_body(&self, call: CallId) -> Option<Bytes> {
        self.pending_calls.lock().get(&call).map(|it| it.body.clone())
    }

    /// Removes a call, to answer it or because its caller went away.
    pub fn remove_call(&self, call: CallId) -> Option<PendingCall> {
        self.pending_calls.lock().remove(&call)
    }

    /// Registers a connection that waits for an attempt's answer, with the attempt's body where it has come.
    pub fn add_attempt(
        &self,
        attempt: AttemptId,
        body: Option<Bytes>,
    ) -> oneshot::Receiver<(AttemptReply, Bytes)> {
        let (sender, receiver) = oneshot::channel();
        let mut attempts = self.pending_attempts.lock();
        let pending = attempts.entry(attempt).or_default();
        pending.senders.push(sender);
        if let Some(body) = body {
            pending.body = body;
        }
        receiver
    }

    /// Returns the body of an attempt, which is needed only once.
    pub fn take_attempt_body(&self, attempt: &AttemptId) -> Bytes {
        self.pending_attempts
            .lock()
            .get_mut(attempt)
            .map(|it| std::mem::take(&mut it.body))
            .unwrap_or_default()
    }

    /// Removes an attempt's pending connections, to answer them.
    pub fn take_reply_senders(&self, attempt: &AttemptId) -> Vec<ReplySender> {
        self.pending_attempts.lock().remove(attempt).map(|it| it.senders).unwrap_or_default()
    }

    /// Registers the task of a run, so that it can be ended.
    pub fn add_run(&self, attempt: AttemptId, handle: tokio::task::AbortHandle) {
        self.runs.lock().insert(attempt, handle);
    }

    /// Removes the task of a run.
    pub fn remove_run(&self, attempt: &AttemptId) -> Option<tokio::task::AbortHandle> {
        self.runs.lock().remove(attempt)
    }
}

/// Returns the reading of the wall clock.
pub fn wall_clock() -> WallClock {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallClock::from_millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
