//! Attempts at their guard: from arrival to the one reply, and the runs at the backend server.

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

/// An attempt that has no reply yet.
#[derive(Debug)]
pub struct GuardRun {
    /// What the entry said of it.
    pub header: Arc<AttemptHeader>,
    /// Latest time at which the entry can use the reply.
    pub deadline: TimePoint,
    /// Retries left to the nested calls.
    pub purse: RetryBudget,
    /// Where it stands.
    pub state: RunState,
    /// The smallest level cut that its nested calls met.
    pub chain_cut: u16,
}

/// Where an attempt stands at its guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It waits for a slot.
    Waiting,
    /// It waits for the run of an earlier attempt with the same claim.
    Joined,
    /// It runs at the backend server.
    Running {
        /// Token of its nested calls.
        token: CallToken,
        /// When the run started.
        started_at: TimePoint,
    },
}

/// All attempts without a reply at this daemon.
#[derive(Debug)]
pub struct GuardRuns {
    runs: HashMap<AttemptId, GuardRun>,
    tokens: BTreeMap<CallToken, AttemptId>,
    rng: StdRng,
}

impl GuardRuns {
    /// Returns a daemon's empty set of attempts; `seed` must not be guessable, since tokens are drawn from it.
    pub fn new(seed: [u8; 32]) -> GuardRuns {
        GuardRuns { runs: HashMap::new(), tokens: BTreeMap::new(), rng: StdRng::from_seed(seed) }
    }

    /// Returns whether every attempt has its reply.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Adds an attempt that passed the first checks.
    ///
    /// # Panics
    ///
    /// Panics when the attempt is here already: the attempt ledger keeps copies out.
    pub fn insert(&mut self, now: TimePoint, header: Arc<AttemptHeader>, state: RunState) {
        let run = GuardRun {
            deadline: now.plus(header.time_left),
            purse: RetryBudget::new(header.retry_tokens),
            state,
            chain_cut: LoadReport::NO_THRESHOLD,
            header,
        };
        let replaced = self.runs.insert(run.header.attempt.clone(), run);
        assert!(replaced.is_none(), "an attempt was received twice");
    }

    /// Returns an attempt without a reply.
    pub fn get(&self, attempt: &AttemptId) -> Option<&GuardRun> {
        self.runs.get(attempt)
    }

    /// Returns an attempt without a reply for changes.
    pub fn get_mut(&mut self, attempt: &AttemptId) -> Option<&mut GuardRun> {
        self.runs.get_mut(attempt)
    }

    /// Returns the running attempt that `token` speaks for.
    pub fn find_token(&mut self, token: &CallToken) -> Option<&mut GuardRun> {
        let attempt = self.tokens.get(token)?;
        self.runs.get_mut(attempt)
    }

    /// Marks a waiting attempt as running and returns its token and the time left.
    ///
    /// # Panics
    ///
    /// Panics when the attempt is unknown or not waiting: it would run twice.
    pub fn start(&mut self, now: TimePoint, attempt: &AttemptId) -> (CallToken, Duration) {
        let token =
            CallToken((u128::from(self.rng.next_u64()) << 64) | u128::from(self.rng.next_u64()));
        let run = self.runs.get_mut(attempt).expect("only a received attempt is started");
        assert_eq!(run.state, RunState::Waiting, "{attempt} is started once");
        run.state = RunState::Running { token, started_at: now };
        self.tokens.insert(token, attempt.clone());
        (token, run.deadline.since(now))
    }

    /// Removes an attempt that gets its reply now; its token ends with it.
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

    /// Returns the fingerprints of the attempts that run now, in order.
    pub fn running_fingerprints(&self) -> Vec<ContentDigest> {
        let running = self.runs.values().filter(|it| matches!(it.state, RunState::Running { .. }));
        let mut fingerprints: Vec<_> = running.map(|it| it.header.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints
    }
}

/// The latest replies, for entries that lost their connection just before the reply came.
#[derive(Debug, Default)]
pub struct RecentReplies {
    replies: HashMap<AttemptId, (AttemptReply, Bytes)>,
    order: VecDeque<AttemptId>,
    n_bytes: usize,
}

/// Greatest number of replies kept.
const MAX_RECENT_REPLIES: usize = 4_096;
/// Greatest sum of the bodies of the replies kept, in bytes.
const MAX_RECENT_BYTES: usize = 8 * 1024 * 1024;

impl RecentReplies {
    /// Keeps a reply; the oldest ones make room.
    pub fn keep(&mut self, reply: &AttemptReply, body: &Bytes) {
        if MAX_RECENT_BYTES < body.len() {
            return;
        }
        self.n_bytes += body.len();
        self.order.push_back(reply.attempt.clone());
        let replaced = self.replies.insert(reply.attempt.clone(), (reply.clone(), body.clone()));
        assert!(replaced.is_none(), "an attempt was replied to twice");
        while MAX_RECENT_REPLIES < self.order.len() || MAX_RECENT_BYTES < self.n_bytes {
            let Some(oldest) = self.order.pop_front() else { break };
            if let Some((_, body)) = self.replies.remove(&oldest) {
                self.n_bytes -= body.len();
            }
        }
    }

    /// Returns the reply to an attempt, if it is still kept.
    pub fn find(&self, attempt: &AttemptId) -> Option<&(AttemptReply, Bytes)> {
        self.replies.get(attempt)
    }
}
