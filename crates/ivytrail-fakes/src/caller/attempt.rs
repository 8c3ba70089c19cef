//! One attempt of a request over HTTP, and what its answer says.

use std::{net::SocketAddr, time::Duration};

use reqwest::{
    Client, Method, Response,
    header::{AUTHORIZATION, HeaderMap},
};

use crate::response::{BodyCheck, ResponseBody, SERIAL_HEADER};

/// An attempt to be sent.
#[derive(Clone, Debug)]
pub struct AttemptRequest<'a> {
    /// Caller address of a daemon, or the address of a backend server.
    pub entry: SocketAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Serial of the request.
    pub serial: &'a str,
    /// Secret of the caller's key.
    pub secret: Option<&'a str>,
    /// Idempotency key, the same for all attempts of a request.
    pub idempotency_key: Option<&'a str>,
    /// Time after which the caller hangs up.
    pub timeout: Duration,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
}

/// What the answer to an attempt says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A whole answer to this request.
    Complete,
    /// A whole answer to another request.
    Crossed,
    /// A backend server answered with an error.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// It has not run.
    NotRun {
        /// Reason given.
        reason: String,
        /// When to come back, where the answer says so.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Unknown {
        /// Reason given, or what went wrong with the connection.
        reason: String,
    },
}

/// Sends an attempt and judges its answer.
pub async fn send_attempt(client: &Client, attempt: &AttemptRequest<'_>) -> AttemptResult {
    let Ok(method) = Method::from_bytes(attempt.method.as_bytes()) else {
        return AttemptResult::NotRun { reason: "bad-method".to_string(), retry_after: None };
    };
    let url = format!("http://{}{}", attempt.entry, attempt.path);
    let mut request = client
        .request(method.clone(), url)
        .timeout(attempt.timeout)
        .header(SERIAL_HEADER, attempt.serial);
    if let Some(secret) = attempt.secret {
        request = request.header(AUTHORIZATION, format!("Bearer {secret}"));
    }
    if let Some(key) = attempt.idempotency_key {
        request = request.header("idempotency-key", key);
    }
    for (name, value) in attempt.headers {
        request = request.header(*name, *value);
    }
    if method != Method::GET {
        request = request.body(format!("{{\"serial\":\"{}\"}}", attempt.serial));
    }
    match request.send().await {
        Ok(answer) => judge_answer(answer, attempt.serial).await,
        Err(cause) if cause.is_connect() => {
            AttemptResult::NotRun { reason: "no-connection".to_string(), retry_after: None }
        }
        Err(cause) if cause.is_timeout() => unknown("caller-timeout"),
        Err(_) => unknown("connection-lost"),
    }
}

async fn judge_answer(answer: Response, serial: &str) -> AttemptResult {
    let status = answer.status();
    let outcome = header_text(answer.headers(), "ivytrail-outcome").to_string();
    let reason = header_text(answer.headers(), "ivytrail-reason").to_string();
    let retry_after = retry_after(answer.headers());
    let Ok(body) = answer.bytes().await else { return unknown("cut-answer") };
    match outcome.as_str() {
        "not-run" => AttemptResult::NotRun { reason, retry_after },
        "unknown" => AttemptResult::Unknown { reason },
        _ if !status.is_success() => AttemptResult::Failed { status: status.as_u16() },
        _ => match ResponseBody::check(&body, serial) {
            BodyCheck::Complete => AttemptResult::Complete,
            BodyCheck::Crossed => AttemptResult::Crossed,
            BodyCheck::Corrupt => unknown("broken-answer"),
        },
    }
}

fn unknown(reason: &str) -> AttemptResult {
    AttemptResult::Unknown { reason: reason.to_string() }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let millis = header_text(headers, "retry-after-ms").parse().ok();
    let seconds = || header_text(headers, "retry-after").parse().ok();
    let span = millis.map(|it: f64| it / 1_000.0).or_else(seconds)?;
    Duration::try_from_secs_f64(span).ok()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}
