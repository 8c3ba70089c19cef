//! HTTP handler for calls, from callers and, as nested calls, from the local backend server.

use std::time::Duration;

use bytes::Bytes;
use ivytrail::{
    id::{CallId, CallToken, ContentDigest},
    message::{CallOutcome, RefusalReason, is_hop_by_hop_header},
    reducer::{CallAnswer, CallRequest, CallSource, DaemonEvent},
    settings::{credential::secret_digest, file::DaemonLimits},
};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{HeaderName, HeaderValue, StatusCode},
};

use crate::{
    executor::EffectExecutor,
    run_client::{TOKEN_HEADER, is_reserved_header},
};

/// Response header with the outcome of a call, a [`CallOutcome`].
pub const OUTCOME_HEADER: &str = "ivytrail-outcome";
/// Response header with the reason for which a call was refused, a [`RefusalReason`].
pub const REASON_HEADER: &str = "ivytrail-reason";
/// Response header with the delay before a retry, in milliseconds; `retry-after` has whole seconds only.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";
/// Request header with the caller's time limit for the call, in milliseconds.
const TIMEOUT_HEADER: &str = "ivytrail-timeout-ms";
/// Request header with the caller's idempotency key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Retry delay for a call that arrives while the daemon holds `max_calls` calls.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The interface on which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallInterface {
    /// Interface for callers, which authenticate with a key.
    Callers,
    /// Interface for nested calls of the local backend server, which presents the token of the running call.
    Nested,
}

/// Handles all calls on one of the two interfaces.
#[derive(Clone, Debug)]
pub struct CallHandler {
    executor: EffectExecutor,
    interface: CallInterface,
    limits: DaemonLimits,
}

impl CallHandler {
    /// Creates a handler for `interface` that enforces `limits`.
    pub fn new(
        executor: EffectExecutor,
        interface: CallInterface,
        limits: DaemonLimits,
    ) -> CallHandler {
        CallHandler { executor, interface, limits }
    }

    async fn answer(&self, req: &mut Request) -> CallAnswer {
        let Some(source) = self.call_source(req) else { return refusal(RefusalReason::BadToken) };
        let Ok(body) = req.payload_with_max_size(self.limits.max_body_bytes).await.cloned() else {
            return refusal(RefusalReason::BadRequest);
        };
        let idempotency_key = header_text(req, IDEMPOTENCY_HEADER);
        if idempotency_key.as_ref().is_some_and(|it| MAX_IDEMPOTENCY_KEY_BYTES < it.len()) {
            return refusal(RefusalReason::BadRequest);
        }
        if self.limits.max_calls <= self.executor.driver().n_pending_calls() {
            // With an idempotency key, the request may be a retry of one that has already run.
            let is_new = idempotency_key.is_none();
            let outcome = if is_new { CallOutcome::NotRun } else { CallOutcome::Unknown };
            return CallAnswer::Refused {
                outcome,
                reason: RefusalReason::Overloaded,
                retry_after: Some(OVERLOAD_RETRY_AFTER),
            };
        }
        let (call, receiver) = self.executor.driver().add_call(body.clone());
        let mut notifier = DisconnectNotifier { executor: &self.executor, call, answered: false };
        let path = req.uri().path_and_query().map_or("/", |it| it.as_str()).to_string();
        self.executor.apply(DaemonEvent::CallReceived(CallRequest {
            call,
            source,
            method: req.method().as_str().to_string(),
            path,
            headers: forwarded_headers(req),
            idempotency_key,
            body_digest: ContentDigest::of_parts(&[&body]),
            time_limit: header_text(req, TIMEOUT_HEADER)
                .and_then(|it| it.parse().ok())
                .map(Duration::from_millis),
        }));
        let answer = receiver.await;
        notifier.answered = true;
        // The sender is dropped without an answer only when the process ends.
        answer.unwrap_or_else(|_| refusal_with(CallOutcome::Unknown, RefusalReason::Draining))
    }

    fn call_source(&self, req: &Request) -> Option<CallSource> {
        match self.interface {
            CallInterface::Callers => {
                let digest = caller_key(req).map(|it| secret_digest(&it));
                Some(CallSource::Caller(digest))
            }
            CallInterface::Nested => {
                let token = header_text(req, TOKEN_HEADER)?;
                u128::from_str_radix(&token, 16).ok().map(|it| CallSource::Nested(CallToken(it)))
            }
        }
    }
}

/// Notifies the reducer on drop if the caller has disconnected before the call was answered.
struct DisconnectNotifier<'a> {
    executor: &'a EffectExecutor,
    call: CallId,
    answered: bool,
}

impl Drop for DisconnectNotifier<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.executor.driver().remove_call(self.call);
            self.executor.apply(DaemonEvent::CallerDisconnected { call: self.call });
        }
    }
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let answer = self.answer(req).await;
        write_answer(res, answer);
        // Keeps salvo from replacing the backend server's response body with an error page.
        ctrl.skip_rest();
    }
}

/// Returns the key from the `authorization` or `ivytrail-key` header.
fn caller_key(req: &Request) -> Option<String> {
    let bearer = header_text(req, "authorization")
        .and_then(|it| it.strip_prefix("Bearer ").map(|key| key.trim().to_string()));
    bearer.or_else(|| header_text(req, "ivytrail-key"))
}

fn header_text(req: &Request, name: &str) -> Option<String> {
    req.headers().get(name).and_then(|it| it.to_str().ok()).map(str::to_string)
}

/// Returns the headers to forward to the backend server: all except credentials, hop-by-hop headers and headers that
/// are reserved for the daemons.
fn forwarded_headers(req: &Request) -> Vec<(String, String)> {
    req.headers()
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            !is_hop_by_hop_header(name)
                && !matches!(name, "authorization" | "host")
                && !is_reserved_header(name)
        })
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())))
        .collect()
}

fn refusal(reason: RefusalReason) -> CallAnswer {
    refusal_with(CallOutcome::NotRun, reason)
}

fn refusal_with(outcome: CallOutcome, reason: RefusalReason) -> CallAnswer {
    CallAnswer::Refused { outcome, reason, retry_after: None }
}

fn write_answer(res: &mut Response, answer: CallAnswer) {
    match answer {
        CallAnswer::Complete { status, headers, body } => {
            res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
            for (name, value) in headers {
                set_header(res, &name, &value);
            }
            set_header(res, OUTCOME_HEADER, &CallOutcome::Ran.to_string());
            res.body(body);
        }
        CallAnswer::Refused { outcome, reason, retry_after } => {
            res.status_code(refusal_status(reason));
            set_header(res, OUTCOME_HEADER, &outcome.to_string());
            set_header(res, REASON_HEADER, &reason.to_string());
            if let Some(delay) = retry_after {
                set_header(res, "retry-after", &delay.as_secs_f64().ceil().to_string());
                set_header(res, RETRY_AFTER_MS_HEADER, &delay.as_millis().to_string());
            }
            set_header(res, "content-type", "application/json");
            let delay_ms = retry_after.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
            let body = serde_json::json!({
                "outcome": outcome.to_string(),
                "reason": reason.to_string(),
                "retry_after_ms": delay_ms,
            });
            res.body(Bytes::from(body.to_string()));
        }
    }
}

fn set_header(res: &mut Response, name: &str, value: &str) {
    match (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_str(value)) {
        (Ok(name), Ok(value)) => {
            res.headers_mut().append(name, value);
        }
        // Not expected: headers that were parsed from a response can be written again.
        _ => log::debug!("event=header_dropped name={name:?}"),
    }
}

/// Returns the HTTP status of a refused call.
fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::BadKey | RefusalReason::BadToken => StatusCode::UNAUTHORIZED,
        RefusalReason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::ConnectionLost
        | RefusalReason::BrokenAnswer
        | RefusalReason::AnswerGone
        | RefusalReason::AnswerTooLarge => StatusCode::BAD_GATEWAY,
        RefusalReason::ClaimInDoubt | RefusalReason::KeyReused => StatusCode::CONFLICT,
        RefusalReason::Overloaded
        | RefusalReason::NoUpstream
        | RefusalReason::Quarantined
        | RefusalReason::StaleSettings
        | RefusalReason::Draining
        | RefusalReason::NotOwner
        | RefusalReason::CallerGone => StatusCode::SERVICE_UNAVAILABLE,
    }
}
