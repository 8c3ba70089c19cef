//! Simulated callers, which retry refused or lost requests at another entry with the same idempotency key.

use ivytrail::{
    id::{AccountName, AttemptId, CallId, CallToken, ContentDigest, RootId},
    message::{AttemptHeader, CallOutcome, RefusalReason},
    reducer::{CallAnswer, CallRequest, CallSource, DaemonEvent},
    settings::credential::secret_digest,
};

use super::{DaemonFleet, MS, NodeRun, ScheduledEvent, node::true_wall_ms};
use crate::firms::secret_of;

/// Delay before a caller resends its request, in microseconds.
const RESEND_US: u64 = 300 * MS;

/// Kind of a caller's idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// No idempotency key; the request is not resent.
    Absent,
    /// A version 7 UUID, which contains its creation time.
    Timed,
    /// A string without a creation time.
    Opaque,
}

/// A scheduled request of a caller.
#[derive(Clone, Debug)]
pub struct CallerScript {
    /// Time of sending, in microseconds of true time.
    pub at: u64,
    /// Number of the request, which is the same for its resends.
    pub request: u64,
    /// Route name.
    pub route: &'static str,
    /// Index of the entry daemon; the next one that is up replaces one that is down.
    pub entry: usize,
    /// Index of the client account whose key is sent, if any.
    pub account: Option<usize>,
    /// Kind of the idempotency key.
    pub key: KeyKind,
    /// Number of resends left.
    pub n_resends: u8,
    /// Whether the request crashes the backend server that runs it.
    pub is_poison: bool,
    /// Idempotency key, set when the request is first sent.
    pub first_key: Option<String>,
}

impl CallerScript {
    /// Returns a request that is sent once to the daemon `entry` at `at` microseconds, with the first account's key.
    pub fn new(at: u64, request: u64, route: &'static str, entry: usize) -> CallerScript {
        CallerScript {
            at,
            request,
            route,
            entry,
            account: Some(0),
            key: KeyKind::Absent,
            n_resends: 0,
            is_poison: false,
            first_key: None,
        }
    }
}

/// A call and the answers to its caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Request path.
    pub path: String,
    /// Run of the entry daemon.
    pub node_run: NodeRun,
    /// Client account of the key that was sent.
    pub account: Option<AccountName>,
    /// Time of sending, in microseconds of true time.
    pub sent_at: u64,
    /// Deadline of the answer, in microseconds of true time.
    pub deadline: u64,
    /// Idempotency key, if the route is not idempotent.
    pub claim: Option<String>,
    /// Running attempt that made this call, if it is nested.
    pub parent: Option<AttemptId>,
    /// Sending times of the attempts that the receiver was allowed to run, in microseconds of true time.
    pub attempts: Vec<u64>,
    /// Answers with their times; more than one is a violation.
    pub answers: Vec<(u64, CallAnswer)>,
    /// Identifier of the root request, after the first attempt.
    pub root: Option<RootId>,
    /// Whether the entry daemon stopped before it answered.
    pub is_lost: bool,
    /// Time at which the caller stopped waiting because its entry stopped or reported an unknown outcome.
    pub abandoned_at: Option<u64>,
    script: Option<CallerScript>,
}

impl DaemonFleet {
    pub(super) fn start_call(&mut self, mut script: CallerScript) {
        let n_nodes = self.nodes.len();
        let mut entries = (0..n_nodes).map(|it| (script.entry + it) % n_nodes);
        let Some(entry) = entries.find(|it| self.nodes[*it].is_up) else { return };
        let policy = self.firm.policy(script.route);
        let suffix = if script.is_poison { "/poison" } else { "" };
        let path = format!("{}/{}{suffix}", policy.path, script.request);
        let account = script.account.map(|it| self.firm.accounts[it].name);
        if script.first_key.is_none() {
            script.first_key = idempotency_key(self.now, &script);
        }
        let key = script.first_key.clone();
        let node_run = self.node_run(entry);
        let source = CallSource::Caller(account.map(|it| secret_digest(&secret_of(it))));
        let record = CallRecord {
            path,
            node_run,
            account: account.map(AccountName::from),
            sent_at: self.now,
            deadline: self.now + policy.deadline_ms * MS,
            claim: key.clone().filter(|_| !policy.idempotent),
            parent: None,
            attempts: Vec::new(),
            answers: Vec::new(),
            root: None,
            is_lost: false,
            abandoned_at: None,
            script: Some(script),
        };
        self.receive(record, source, &policy.method, key);
    }

    /// Returns whether the route of `path` needs no key.
    pub fn is_open(&self, path: &str) -> bool {
        let route = path.split('/').nth(1).unwrap_or_default();
        self.firm.policy(route).open
    }

    /// Makes the nested call of a run on the outer route; returns whether the run has one.
    pub(super) fn call_nested(
        &mut self,
        node_run: NodeRun,
        attempt: &AttemptId,
        header: &AttemptHeader,
        token: CallToken,
    ) -> bool {
        let (outer, inner) = self.firm.nested;
        let Some(request) = header.path.strip_prefix(&format!("/{outer}/")) else { return false };
        let policy = self.firm.policy(inner);
        let key = Some(format!("{request} of {}", header.root));
        let record = CallRecord {
            path: format!("{}/{request}", policy.path),
            node_run,
            account: header.account.clone(),
            sent_at: self.now,
            deadline: self.now + header.time_left.as_micros() as u64,
            claim: key.clone(),
            parent: Some(attempt.clone()),
            attempts: Vec::new(),
            answers: Vec::new(),
            root: None,
            is_lost: false,
            abandoned_at: None,
            script: None,
        };
        self.receive(record, CallSource::Nested(token), &policy.method, key);
        true
    }

    fn receive(
        &mut self,
        record: CallRecord,
        source: CallSource,
        method: &str,
        idempotency_key: Option<String>,
    ) {
        let call = CallId(self.calls.len() as u64 + 1);
        let request = CallRequest {
            call,
            source,
            method: method.to_string(),
            path: record.path.clone(),
            headers: Vec::new(),
            idempotency_key,
            body_digest: ContentDigest::of_parts(&[]),
            time_limit: None,
        };
        let node_run = record.node_run;
        self.calls.insert(call, record);
        self.schedule_event(0, node_run, DaemonEvent::CallReceived(request));
    }

    pub(super) fn record_attempt(&mut self, call: CallId, header: &AttemptHeader) {
        self.attempts.insert(header.attempt.clone(), call);
        let now = self.now;
        if let Some(record) = self.calls.get_mut(&call).filter(|_| header.entry_refusal.is_none()) {
            record.attempts.push(now);
            record.root = Some(header.root.clone());
        }
    }

    pub(super) fn answer_call(&mut self, call: CallId, answer: &CallAnswer) {
        let now = self.now;
        let Some(record) = self.calls.get_mut(&call) else { return };
        record.answers.push((now, answer.clone()));
        if let CallAnswer::Refused { outcome: CallOutcome::Unknown, .. } = answer {
            record.abandoned_at = Some(now);
        }
        let (node_run, parent, script) =
            (record.node_run, record.parent.clone(), record.script.take());
        match (parent, script) {
            (Some(parent), _) => self.end_parent(node_run, parent, answer),
            (None, Some(script)) if is_resent(answer) => self.resend(script),
            _ => {}
        }
    }

    /// Closes the connections between a stopped daemon and its callers, which then resend.
    pub(super) fn drop_calls_at(&mut self, idx: usize) {
        let (node_run, now) = (self.node_run(idx), self.now);
        let open =
            self.calls.values_mut().filter(|it| it.node_run == node_run && it.answers.is_empty());
        let mut scripts = Vec::new();
        for record in open {
            record.is_lost = true;
            record.abandoned_at = Some(now);
            scripts.extend(record.script.take());
        }
        for script in scripts {
            self.resend(script);
        }
    }

    fn resend(&mut self, script: CallerScript) {
        if 0 < script.n_resends && script.key != KeyKind::Absent {
            let entry = (script.entry + 1) % self.nodes.len();
            let n_resends = script.n_resends - 1;
            let at = self.now + RESEND_US;
            let script = CallerScript { at, entry, n_resends, ..script };
            self.schedule_at(at, ScheduledEvent::Call(Box::new(script)));
        }
    }
}

fn is_resent(answer: &CallAnswer) -> bool {
    match answer {
        CallAnswer::Complete { .. } => false,
        CallAnswer::Refused { reason, .. } => {
            !matches!(reason, RefusalReason::BadKey | RefusalReason::NoRoute)
        }
    }
}

fn idempotency_key(now: u64, script: &CallerScript) -> Option<String> {
    let mut bytes = [0; 10];
    bytes[2..].copy_from_slice(&script.request.to_be_bytes());
    match script.key {
        KeyKind::Absent => None,
        KeyKind::Timed => {
            let key = uuid::Builder::from_unix_timestamp_millis(true_wall_ms(now), &bytes);
            Some(key.into_uuid().to_string())
        }
        KeyKind::Opaque => Some(format!("request {}", script.request)),
    }
}
