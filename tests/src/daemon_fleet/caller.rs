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
pub struct CallerRequest {
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

impl CallerRequest {
    /// Returns a request that is sent once to the daemon `entry` at `at` microseconds, with the first account's key.
    pub fn new(at: u64, request: u64, route: &'static str, entry: usize) -> CallerRequest {
        CallerRequest {
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
    pub entry_stopped: bool,
    /// Time at which the caller stopped waiting because its entry stopped or reported an unknown outcome.
    pub abandoned_at: Option<u64>,
    caller_request: Option<CallerRequest>,
}

impl DaemonFleet {
    pub(super) fn start_call(&mut self, mut caller_request: CallerRequest) {
        let n_nodes = self.nodes.len();
        let mut entries = (0..n_nodes).map(|it| (caller_request.entry + it) % n_nodes);
        let Some(entry) = entries.find(|it| self.nodes[*it].is_up) else { return };
        let policy = self.firm.policy(caller_request.route);
        let suffix = if caller_request.is_poison { "/poison" } else { "" };
        let path = format!("{}/{}{suffix}", policy.path, caller_request.request);
        let account = caller_request.account.map(|it| self.firm.accounts[it].name);
        if caller_request.first_key.is_none() {
            caller_request.first_key = idempotency_key(self.now, &caller_request);
        }
        let key = caller_request.first_key.clone();
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
            entry_stopped: false,
            abandoned_at: None,
            caller_request: Some(caller_request),
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
            entry_stopped: false,
            abandoned_at: None,
            caller_request: None,
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
        let (node_run, parent, caller_request) =
            (record.node_run, record.parent.clone(), record.caller_request.take());
        match (parent, caller_request) {
            (Some(parent), _) => self.end_parent(node_run, parent, answer),
            (None, Some(caller_request)) if is_resent(answer) => self.resend(caller_request),
            _ => {}
        }
    }

    /// Closes the connections between a stopped daemon and its callers, which then resend.
    pub(super) fn drop_calls_at(&mut self, idx: usize) {
        let (node_run, now) = (self.node_run(idx), self.now);
        let open =
            self.calls.values_mut().filter(|it| it.node_run == node_run && it.answers.is_empty());
        let mut caller_requests = Vec::new();
        for record in open {
            record.entry_stopped = true;
            record.abandoned_at = Some(now);
            caller_requests.extend(record.caller_request.take());
        }
        for caller_request in caller_requests {
            self.resend(caller_request);
        }
    }

    fn resend(&mut self, caller_request: CallerRequest) {
        if 0 < caller_request.n_resends && caller_request.key != KeyKind::Absent {
            let entry = (caller_request.entry + 1) % self.nodes.len();
            let n_resends = caller_request.n_resends - 1;
            let at = self.now + RESEND_US;
            let caller_request = CallerRequest { at, entry, n_resends, ..caller_request };
            self.schedule_at(at, ScheduledEvent::Call(Box::new(caller_request)));
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

fn idempotency_key(now: u64, caller_request: &CallerRequest) -> Option<String> {
    let mut bytes = [0; 10];
    bytes[2..].copy_from_slice(&caller_request.request.to_be_bytes());
    match caller_request.key {
        KeyKind::Absent => None,
        KeyKind::Timed => {
            let key = uuid::Builder::from_unix_timestamp_millis(true_wall_ms(now), &bytes);
            Some(key.into_uuid().to_string())
        }
        KeyKind::Opaque => Some(format!("request {}", caller_request.request)),
    }
}
