//! The simulated entry and its callers, which create keys, resend requests and query the status of attempts.

use std::{collections::BTreeMap, time::Duration};

use ivytrail::{
    claim::AttemptStatus,
    id::{AttemptId, ContentDigest, MemberId},
    message::CallOutcome,
};
use rand::RngExt;

use super::{
    GuardFleet, GuardFleetEvent, GuardFleetMessage, WALL_START_MS, guard::GuardNode,
    message::ClaimRequest,
};

/// Delay before each status query for an unanswered attempt.
const STATUS_QUERY_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum number of retries per request, and of status queries per attempt.
const MAX_RETRIES: u32 = 5;
/// Rate of requests that a caller resends, per mille.
const RESENDS_PER_MILLE: u32 = 300;
/// Maximum delay of a caller's resend, in milliseconds.
const MAX_RESEND_DELAY_MS: u64 = 40_000;

/// Kind of the callers' idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// Every key contains its creation time.
    Timed,
    /// No key contains its creation time.
    Opaque,
    /// Each key contains its creation time with a probability of one half.
    Mixed,
}

#[derive(Clone, Debug)]
struct CallerKey {
    claim: ContentDigest,
    made_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct SentAttempt {
    key: usize,
    guard: MemberId,
    tries: u32,
    is_first: bool,
}

/// State of the entry: keys of its callers and unanswered attempts.
#[derive(Debug)]
pub(super) struct CallerState {
    kind: KeyKind,
    keys: Vec<CallerKey>,
    unanswered: BTreeMap<u64, SentAttempt>,
    n_sent: u64,
}

impl CallerState {
    pub(super) fn new(kind: KeyKind) -> CallerState {
        CallerState { kind, keys: Vec::new(), unanswered: BTreeMap::new(), n_sent: 0 }
    }
}

/// Returns the member identifier of the entry.
pub(super) fn entry() -> MemberId {
    MemberId { instance: "entry".into(), incarnation: 1 }
}

impl GuardFleet {
    /// Creates a key and sends its request; some requests are scheduled for a resend.
    pub(super) fn send_new_key(&mut self) {
        let key = self.caller.keys.len();
        let now_ms = self.queue.now().as_micros() / 1_000;
        let is_timed = match self.caller.kind {
            KeyKind::Timed => true,
            KeyKind::Opaque => false,
            KeyKind::Mixed => self.rng.random_bool(0.5),
        };
        let made_ms = is_timed.then_some(WALL_START_MS + now_ms);
        let claim = ContentDigest::of_parts(&[b"key", &(key as u64).to_be_bytes()]);
        self.caller.keys.push(CallerKey { claim, made_ms });
        self.checker.count("keys");
        self.send_key(key, 0);
        if self.rng.random_range(0..1_000) < RESENDS_PER_MILLE {
            let after = Duration::from_millis(self.rng.random_range(0..MAX_RESEND_DELAY_MS));
            self.queue.push(after, GuardFleetEvent::Resend { key, tries: 1 });
        }
        self.queue.push(Duration::from_millis(self.plan.key_interval_ms), GuardFleetEvent::NewKey);
    }

    /// Sends an attempt to the key's owner according to a random guard.
    pub(super) fn send_key(&mut self, key: usize, tries: u32) {
        let CallerKey { claim, made_ms } = self.caller.keys[key].clone();
        let up: Vec<&GuardNode> = self.guards.iter().filter(|it| it.is_up()).collect();
        let Some(asked) = up.get(self.rng.random_range(0..self.guards.len()) % up.len().max(1))
        else {
            self.checker.count("no-guard");
            return;
        };
        let guard = asked.ring.owner_of(&claim).unwrap_or_else(|| asked.member().clone());
        self.caller.n_sent += 1;
        let serial = self.caller.n_sent;
        let is_first = tries == 0;
        let sent = SentAttempt { key, guard: guard.clone(), tries, is_first };
        self.caller.unanswered.insert(serial, sent);
        let attempt = AttemptId { entry: entry(), serial };
        let request = ClaimRequest { attempt, claim, made_ms };
        self.send(&entry(), &guard, &GuardFleetMessage::Attempt(request));
        self.queue.push(STATUS_QUERY_DELAY, GuardFleetEvent::StatusQuery { serial, tries: 0 });
    }

    /// Queries the status of an unanswered attempt, or gives it an unknown outcome after `MAX_RETRIES` queries.
    pub(super) fn query_status(&mut self, serial: u64, tries: u32) {
        let Some(sent) = self.caller.unanswered.get(&serial).cloned() else { return };
        if MAX_RETRIES <= tries {
            self.finish_attempt(serial, CallOutcome::Unknown);
            return;
        }
        let attempt = AttemptId { entry: entry(), serial };
        self.send(&entry(), &sent.guard, &GuardFleetMessage::StatusQuery(attempt));
        self.queue
            .push(STATUS_QUERY_DELAY, GuardFleetEvent::StatusQuery { serial, tries: tries + 1 });
    }

    pub(super) fn handle_reply(&mut self, _from: &MemberId, message: GuardFleetMessage) {
        match message {
            GuardFleetMessage::Outcome { attempt, outcome } => {
                self.finish_attempt(attempt.serial, outcome);
            }
            GuardFleetMessage::StatusReply { attempt, status } => match status {
                AttemptStatus::Pending => {}
                AttemptStatus::Ended(outcome) => self.finish_attempt(attempt.serial, outcome),
                AttemptStatus::NotRun => self.finish_attempt(attempt.serial, CallOutcome::NotRun),
                AttemptStatus::Forgotten => {
                    self.finish_attempt(attempt.serial, CallOutcome::Unknown);
                }
            },
            _ => {}
        }
    }

    /// Removes an attempt with its outcome; one that has not run is retried.
    fn finish_attempt(&mut self, serial: u64, outcome: CallOutcome) {
        let Some(sent) = self.caller.unanswered.remove(&serial) else { return };
        match outcome {
            CallOutcome::Ran => self.checker.count("reported-ran"),
            CallOutcome::Unknown if sent.is_first => self.checker.count("reported-unknown-first"),
            CallOutcome::Unknown => self.checker.count("reported-unknown-later"),
            CallOutcome::NotRun if sent.tries < MAX_RETRIES => {
                let (key, tries) = (sent.key, sent.tries + 1);
                let delay = Duration::from_millis(100 << sent.tries);
                self.queue.push(delay, GuardFleetEvent::Resend { key, tries });
            }
            CallOutcome::NotRun => self.checker.count("reported-not-run"),
        }
    }
}
