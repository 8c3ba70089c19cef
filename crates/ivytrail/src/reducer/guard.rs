//! Attempts at their guard, from arrival to the single reply, and their runs at the backend server.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    id::{AttemptId, CallToken, ContentDigest},
    message::{AttemptHeader, AttemptReply, LoadReport},
    retry::RetryBudget,
    time::TimePoint,
};

/// An attempt that has not been replied to.
#[derive(Debug)]
pub struct GuardRun {
    /// Attempt header as sent by the entry.
    pub header: Arc<AttemptHeader>,
    /// Time by which the entry needs the reply.
    pub deadline: TimePoint,
    /// Retry tokens available to the nested calls.
    pub retry_budget: RetryBudget,
    /// Current state of the attempt.
    pub state: RunState,
    /// Smallest level threshold reported for the nested calls.
    pub chain_threshold: u16,
}

/// State of an attempt at its guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Queued until a concurrency slot is available.
    Waiting,
    /// Waiting for the result of an earlier attempt with the same claim, or for a decision on the claim.
    Joined,
    /// Running at the backend server.
    Running {
        /// Token that authenticates nested calls.
        token: CallToken,
        /// Start time of the run.
        started_at: TimePoint,
    },
}

/// Attempts at this guard that have not been replied to.
#[derive(Debug)]
pub struct GuardRuns {
    runs: HashMap<AttemptId, GuardRun>,
    tokens: BTreeMap<CallToken, AttemptId>,
    rng: StdRng,
}

impl GuardRuns {
    /// Creates an empty set of attempts. `seed` must be unpredictable, since call tokens are derived from it.
    pub fn new(seed: [u8; 32]) -> GuardRuns {
        GuardRuns { runs: HashMap::new(), tokens: BTreeMap::new(), rng: StdRng::from_seed(seed) }
    }

    /// Returns whether every attempt has been replied to.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Adds an attempt that has passed the initial checks.
    ///
    /// # Panics
    ///
    /// Panics if the attempt is already present: the attempt ledger filters duplicates.
    pub fn insert(&mut self, now: TimePoint, header: Arc<AttemptHeader>, state: RunState) {
        let run = GuardRun {
            deadline: now.plus(header.time_left),
            retry_budget: RetryBudget::new(header.retry_tokens),
            state,
            chain_threshold: LoadReport::NO_THRESHOLD,
            header,
        };
        let replaced = self.runs.insert(run.header.attempt.clone(), run);
        assert!(replaced.is_none(), "attempt was inserted twice");
    }

    /// Returns an attempt that has not been replied to.
    pub fn get(&self, attempt: &AttemptId) -> Option<&GuardRun> {
        self.runs.get(attempt)
    }

    /// Returns a mutable reference to an attempt that has not been replied to.
    pub fn get_mut(&mut self, attempt: &AttemptId) -> Option<&mut GuardRun> {
        self.runs.get_mut(attempt)
    }

    /// Returns the running attempt that `token` authenticates.
    pub fn find_token(&mut self, token: &CallToken) -> Option<&mut GuardRun> {
        let attempt = self.tokens.get(token)?;
        self.runs.get_mut(attempt)
    }

    /// Marks a waiting attempt as running; returns its token and the time remaining until its deadline.
    ///
    /// # Panics
    ///
    /// Panics if the attempt is unknown or not waiting, since it could run twice.
    pub fn start(&mut self, now: TimePoint, attempt: &AttemptId) -> (CallToken, Duration) {
        let token =
            CallToken((u128::from(self.rng.next_u64()) << 64) | u128::from(self.rng.next_u64()));
        let run =
            self.runs.get_mut(attempt).expect("attempt must be inserted before it is started");
        assert_eq!(run.state, RunState::Waiting, "{attempt} was started twice or not queued");
        run.state = RunState::Running { token, started_at: now };
        self.tokens.insert(token, attempt.clone());
        (token, run.deadline.since(now))
    }

    /// Removes an attempt that is being replied to and invalidates its token.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<GuardRun> {
        let run = self.runs.remove(attempt)?;
        match run.state {
            RunState::Running { token, .. } => {
                self.tokens.remove(&token);
            }
            RunState::Waiting | RunState::Joined => {}
        }
        Some(run)
    }

    /// Returns the sorted fingerprints of the running attempts.
    pub fn running_fingerprints(&self) -> Vec<ContentDigest> {
        let running = self.runs.values().filter(|it| matches!(it.state, RunState::Running { .. }));
        let mut fingerprints: Vec<_> = running.map(|it| it.header.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints
    }
}

/// Cache of recent replies, for entries whose connection was lost just before the reply arrived.
#[derive(Debug, Default)]
pub struct RecentReplies {
    replies: HashMap<AttemptId, (AttemptReply, Bytes)>,
    order: VecDeque<AttemptId>,
    body_bytes: usize,
}

/// Maximum number of cached replies.
const MAX_RECENT_REPLIES: usize = 4_096;
/// Maximum total size of the cached response bodies, in bytes.
const MAX_RECENT_BYTES: usize = 8 * 1024 * 1024;

impl RecentReplies {
    /// Caches a reply and evicts the oldest ones if necessary. A body above the total limit is not cached.
    pub fn insert(&mut self, reply: &AttemptReply, body: &Bytes) {
        if MAX_RECENT_BYTES < body.len() {
            return;
        }
        self.body_bytes += body.len();
        self.order.push_back(reply.attempt.clone());
        let replaced = self.replies.insert(reply.attempt.clone(), (reply.clone(), body.clone()));
        assert!(replaced.is_none(), "attempt was replied to twice");
        while MAX_RECENT_REPLIES < self.order.len() || MAX_RECENT_BYTES < self.body_bytes {
            let Some(oldest) = self.order.pop_front() else { break };
            if let Some((_, body)) = self.replies.remove(&oldest) {
                self.body_bytes -= body.len();
            }
        }
    }

    /// Returns the reply to an attempt, if it is still cached.
    pub fn get(&self, attempt: &AttemptId) -> Option<&(AttemptReply, Bytes)> {
        self.replies.get(attempt)
    }
}
