//! Connects the reducer to the clocks, the pending connections and the running tasks.

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

/// Channel on which the reply to an attempt is sent to a waiting connection.
pub type ReplySender = oneshot::Sender<(AttemptReply, Bytes)>;

/// A call whose caller waits for the answer.
#[derive(Debug)]
pub struct PendingCall {
    /// Body of the request, kept for further attempts.
    pub body: Bytes,
    /// Channel to the caller's connection.
    pub sender: oneshot::Sender<CallAnswer>,
    /// When the complete request had arrived.
    pub received_at: Instant,
}

/// An attempt at this guard to which no reply has been sent yet.
#[derive(Debug, Default)]
pub struct PendingAttempt {
    /// Body of the request, until its run starts.
    pub body: Bytes,
    /// Channels to the connections that wait for the reply.
    pub senders: Vec<ReplySender>,
}

/// The reducer behind a lock, together with the pending calls, attempts and runs.
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
    /// Creates a driver for `reducer`; its monotonic clock starts at zero.
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

    /// Returns the monotonic time since the driver was created.
    pub fn now(&self) -> TimePoint {
        TimePoint::from_micros(
            u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX),
        )
    }

    /// Applies an event to the reducer and returns the effects to execute.
    pub fn reduce(&self, event: DaemonEvent) -> Vec<DaemonEffect> {
        let wall = wall_clock();
        let mut reducer = self.reducer.lock();
        // Reading the clock under the lock keeps the reducer's time from going backwards.
        let now = self.now();
        reducer.apply(TimedEvent { now, wall, event })
    }

    /// Calls `read` with the reducer under the lock and returns its result.
    pub fn inspect<R, F>(&self, read: F) -> R
    where
        F: FnOnce(&DaemonReducer) -> R,
    {
        read(&self.reducer.lock())
    }

    /// Registers a call and returns its identifier and the channel that receives its answer.
    pub fn add_call(&self, body: Bytes) -> (CallId, oneshot::Receiver<CallAnswer>) {
        let call = CallId(self.next_call_id.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.pending_calls
            .lock()
            .insert(call, PendingCall { body, sender, received_at: Instant::now() });
        (call, receiver)
    }

    /// Returns the number of unanswered calls.
    pub fn n_pending_calls(&self) -> usize {
        self.pending_calls.lock().len()
    }

    /// Returns the request body of a call, or `None` once it has been removed.
    pub fn call_body(&self, call: CallId) -> Option<Bytes> {
        self.pending_calls.lock().get(&call).map(|it| it.body.clone())
    }

    /// Removes a call that is to be answered or whose caller has disconnected.
    pub fn remove_call(&self, call: CallId) -> Option<PendingCall> {
        self.pending_calls.lock().remove(&call)
    }

    /// Registers a connection that waits for the reply to an attempt, and stores the request body if it has one.
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

    /// Takes the request body of an attempt, which only the start of its run needs.
    pub fn take_attempt_body(&self, attempt: &AttemptId) -> Bytes {
        self.pending_attempts
            .lock()
            .get_mut(attempt)
            .map(|it| std::mem::take(&mut it.body))
            .unwrap_or_default()
    }

    /// Removes an attempt and returns the channels on which its reply must be sent.
    pub fn take_reply_senders(&self, attempt: &AttemptId) -> Vec<ReplySender> {
        self.pending_attempts.lock().remove(attempt).map(|it| it.senders).unwrap_or_default()
    }

    /// Registers the task of a run, so that it can be aborted.
    pub fn add_run(&self, attempt: AttemptId, handle: tokio::task::AbortHandle) {
        self.runs.lock().insert(attempt, handle);
    }

    /// Removes the handle of a run's task and returns it.
    pub fn remove_run(&self, attempt: &AttemptId) -> Option<tokio::task::AbortHandle> {
        self.runs.lock().remove(attempt)
    }
}

/// Returns the wall-clock time.
pub fn wall_clock() -> WallClock {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallClock::from_millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
