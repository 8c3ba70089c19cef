//! The entry and its callers: new keys, resends, questions for the fate of an attempt.

use std::{collections::BTreeMap, time::Duration};

use ivytrail::{
    claim::AttemptStatus,
    id::{AttemptId, ContentDigest, MemberId},
    message::CallOutcome,
};
use rand::RngExt;

use super::{
    FleetEvent, FleetMessage, GuardFleet, WALL_START_MS, guard::GuardNode, message::ClaimRequest,
};

/// Time after which the entry asks what became of an attempt.
const FATE_AFTER: Duration = Duration::from_millis(1_500);
/// Attempts of the entry for one request of a caller.
const MAX_TRIES: u32 = 5;
/// Requests of a caller that sends again, of a thousand.
const RESENT_PER_MILLE: u32 = 300;
/// Longest time after which a caller sends again, in milliseconds.
const RESEND_WITHIN_MS: u64 = 40_000;

/// What a caller's idempotency keys tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// Every key tells when it was made.
    Timed,
    /// No key tells anything.
    Opaque,
    /// Half of them each.
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

/// What the entry remembers.
#[derive(Debug)]
pub(super) struct CallerTally {
    kind: KeyKind,
    keys: Vec<CallerKey>,
    open: BTreeMap<u64, SentAttempt>,
    n_sent: u64,
}

impl CallerTally {
    pub(super) fn new(kind: KeyKind) -> CallerTally {
        CallerTally { kind, keys: Vec::new(), open: BTreeMap::new(), n_sent: 0 }
    }
}

/// Returns the daemon that serves as entry.
pub(super) fn entry() -> MemberId {
    MemberId { instance: "entry".into(), incarnation: 1 }
}

impl GuardFleet {
    /// A caller makes a key and sends its request; some send it again later.
    pub(super) fn new_key(&mut self) {
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
        self.judge.count("keys");
        self.send_key(key, 0);
        if self.rng.random_range(0..1_000) < RESENT_PER_MILLE {
            let after = Duration::from_millis(self.rng.random_range(0..RESEND_WITHIN_MS));
            self.queue.push(after, FleetEvent::Resend { key, tries: 1 });
        }
        self.queue.push(Duration::from_millis(self.plan.key_every_ms), FleetEvent::NewKey);
    }

    /// Sends one attempt to the owner that some guard names.
    pub(super) fn send_key(&mut self, key: usize, tries: u32) {
        let CallerKey { claim, made_ms } = self.caller.keys[key].clone();
        let up: Vec<&GuardNode> = self.guards.iter().filter(|it| it.is_up()).collect();
        let Some(asked) = up.get(self.rng.random_range(0..self.guards.len()) % up.len().max(1))
        else {
            self.judge.count("no-guard");
            return;
        };
        let guard = asked.ring.owner_of(&claim).unwrap_or_else(|| asked.me().clone());
        self.caller.n_sent += 1;
        let serial = self.caller.n_sent;
        let is_first = tries == 0;
        let sent = SentAttempt { key, guard: guard.clone(), tries, is_first };
        self.caller.open.insert(serial, sent);
        let attempt = AttemptId { entry: entry(), serial };
        let request = ClaimRequest { attempt, claim, made_ms };
        self.send(&entry(), &guard, &FleetMessage::Attempt(request));
        self.queue.push(FATE_AFTER, FleetEvent::AskFate { serial, tries: 0 });
    }

    /// Asks what became of an attempt that is still open.
    pub(super) fn ask_fate(&mut self, serial: u64, tries: u32) {
        let Some(sent) = self.caller.open.get(&serial).cloned() else { return };
        if MAX_TRIES <= tries {
            self.close(serial, CallOutcome::Unknown);
            return;
        }
        let attempt = AttemptId { entry: entry(), serial };
        self.send(&entry(), &sent.guard, &FleetMessage::AskFate(attempt));
        self.queue.push(FATE_AFTER, FleetEvent::AskFate { serial, tries: tries + 1 });
    }

    pub(super) fn caller_receives(&mut self, _from: &MemberId, message: FleetMessage) {
        match message {
            FleetMessage::Told { attempt, outcome } => self.close(attempt.serial, outcome),
            FleetMessage::Fate { attempt, fate } => match fate {
                AttemptStatus::Pending => {}
                AttemptStatus::Ended(outcome) => self.close(attempt.serial, outcome),
                AttemptStatus::NotRun => self.close(attempt.serial, CallOutcome::NotRun),
                AttemptStatus::Forgotten => self.close(attempt.serial, CallOutcome::Unknown),
            },
            _ => {}
        }
    }

    /// Ends an attempt at the entry; one that has not run is tried again.
    fn close(&mut self, serial: u64, outcome: CallOutcome) {
        let Some(sent) = self.caller.open.remove(&serial) else { return };
        match outcome {
            CallOutcome::Ran => self.judge.count("told-ran"),
            CallOutcome::Unknown if sent.is_first => self.judge.count("told-unknown-at-first"),
            CallOutcome::Unknown => self.judge.count("told-unknown-later"),
            CallOutcome::NotRun if sent.tries < MAX_TRIES => {
                let (key, tries) = (sent.key, sent.tries + 1);
                let pause = Duration::from_millis(100 << sent.tries);
                self.queue.push(pause, FleetEvent::Resend { key, tries });
            }
            CallOutcome::NotRun => self.judge.count("told-not-run"),
        }
    }
}
