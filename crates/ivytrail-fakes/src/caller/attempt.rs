//! A single attempt of a request over HTTP and its result.

use std::{net::SocketAddr, time::Duration};

use reqwest::{
    Client, Method, Response,
    header::{AUTHORIZATION, HeaderMap},
};

use crate::response::{BodyCheck, ResponseBody, SERIAL_HEADER};

/// Attempt to send.
#[derive(Clone, Debug)]
pub struct AttemptRequest<'a> {
    /// Caller address of a daemon, or the address of a backend server.
    pub entry: SocketAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Request path.
    pub path: &'a str,
    /// Serial of the request.
    pub serial: &'a str,
    /// Secret of the caller's key, sent as bearer token.
    pub secret: Option<&'a str>,
    /// Idempotency key, the same for all attempts of a request.
    pub idempotency_key: Option<&'a str>,
    /// Timeout of the request, after which the caller closes the connection.
    pub timeout: Duration,
    /// Additional headers.
    pub headers: &'a [(&'a str, &'a str)],
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete response to this request.
    Complete,
    /// A complete response to another request.
    Crossed,
    /// A backend server returned an error.
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The attempt did not run.
    NotRun {
        /// Reason in the response, or the local failure.
        reason: String,
        /// Requested delay before a retry, if the response has one.
        retry_after: Option<Duration>,
    },
    /// The attempt may have run.
    Unknown {
        /// Reason in the response, or the connection failure.
        reason: String,
    },
}

/// Sends an attempt and classifies the response.
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
        Ok(response) => classify_response(response, attempt.serial).await,
        Err(cause) if cause.is_connect() => {
            AttemptResult::NotRun { reason: "no-connection".to_string(), retry_after: None }
        }
        Err(cause) if cause.is_timeout() => unknown_result("caller-timeout"),
        Err(_) => unknown_result("connection-lost"),
    }
}

async fn classify_response(response: Response, serial: &str) -> AttemptResult {
    let status = response.status();
    let outcome = header_value(response.headers(), "ivytrail-outcome").to_string();
    let reason = header_value(response.headers(), "ivytrail-reason").to_string();
    let retry_after = retry_after(response.headers());
    let Ok(body) = response.bytes().await else { return unknown_result("cut-answer") };
    match outcome.as_str() {
        "not-run" => AttemptResult::NotRun { reason, retry_after },
        "unknown" => AttemptResult::Unknown { reason },
        _ if !status.is_success() => AttemptResult::Failed { status: status.as_u16() },
        _ => match ResponseBody::check(&body, serial) {
            BodyCheck::Complete => AttemptResult::Complete,
            BodyCheck::Crossed => AttemptResult::Crossed,
            BodyCheck::Corrupt => unknown_result("broken-answer"),
        },
    }
}

fn unknown_result(reason: &str) -> AttemptResult {
    AttemptResult::Unknown { reason: reason.to_string() }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let millis = header_value(headers, "retry-after-ms").parse().ok();
    let seconds = || header_value(headers, "retry-after").parse().ok();
    let delay_s = millis.map(|it: f64| it / 1_000.0).or_else(seconds)?;
    Duration::try_from_secs_f64(delay_s).ok()
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}
