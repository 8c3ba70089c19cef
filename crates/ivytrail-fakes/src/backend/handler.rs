//! HTTP handler of the fake backend server.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::Result;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use salvo::{
    conn::ConnCtrl,
    http::{
        HeaderMap, Method, StatusCode,
        header::{self, HeaderName, HeaderValue},
    },
    prelude::{Request, Response, handler},
};
use tokio::time::Instant;

use super::{BackendState, CrashMode, NestedCall, ServerControl, ServerState, slot::SlotGuard};
use crate::{
    response::{ResponseBody, SERIAL_HEADER},
    server,
};

/// Response header which states that the request did not run: `1` if this server shed it, `nested` if a nested call did
/// not run, `deadline` if the deadline had passed.
const SHED_HEADER: HeaderName = HeaderName::from_static("ivytrail-shed");

/// Header with the attempt's identifier, echoed in the response.
const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("ivytrail-request");

/// Headers copied from a request to its nested calls.
const FORWARDED_HEADERS: [&str; 3] = ["ivytrail-token", SERIAL_HEADER, "x-crash"];

/// Headers that can carry a caller's credential.
const CREDENTIAL_HEADERS: [&str; 2] = ["authorization", "ivytrail-key"];

/// Exit code of a process that a request crashed.
const CRASH_EXIT_CODE: i32 = 101;

/// Delay between the first half of a truncated response and the close of its connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

pub(super) struct BackendHandler {
    state: Arc<BackendState>,
}

/// Result of a request.
#[derive(Debug)]
enum RequestResult {
    Completed,
    /// Not run: shed by this server.
    Shed,
    /// Not run: the first nested call was refused without running.
    NestedCallNotRun,
    /// Failed: a nested call may have run.
    NestedCallFailed,
    /// No effect: the deadline passed.
    Expired,
    /// Crashed the server.
    Crashed,
}

#[handler]
impl BackendHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        if self.state.is_crashed.load(Ordering::Acquire) {
            return conn.abort();
        }
        match (req.method().clone(), req.uri().path()) {
            (Method::GET, "/load") => server::write_json(res, &self.state.load_report()),
            (Method::GET, "/control/runs") => server::write_json(res, &*self.state.log.lock()),
            (Method::POST, "/control/drain") => {
                self.state.drain();
                server::write_json(res, &self.state.current_state());
            }
            (Method::POST, "/control") => self.set_control(req, res).await,
            _ => self.handle_request(req, res, conn).await,
        }
    }
}

impl BackendHandler {
    pub(super) fn new(state: Arc<BackendState>) -> BackendHandler {
        BackendHandler { state }
    }

    async fn set_control(&self, req: &mut Request, res: &mut Response) {
        match server::read_json::<ServerControl>(req).await {
            Ok(control) => {
                server::write_json(res, &control);
                *self.state.control.lock() = control;
            }
            Err(cause) => server::write_error(res, StatusCode::BAD_REQUEST, &cause.to_string()),
        }
    }

    async fn handle_request(&self, req: &mut Request, res: &mut Response, conn: &ConnCtrl) {
        if CREDENTIAL_HEADERS.iter().any(|name| req.headers().contains_key(*name)) {
            self.state.log.lock().keys_seen += 1;
        }
        if let Some(attempt) = req.headers().get(&ATTEMPT_HEADER) {
            res.headers_mut().insert(ATTEMPT_HEADER, attempt.clone());
        }
        if req.payload_with_max_size(server::MAX_BODY_BYTES).await.is_err() {
            return server::write_error(
                res,
                StatusCode::BAD_REQUEST,
                "incomplete or oversized request body",
            );
        }
        let headers = req.headers().clone();
        match self.process_request(&headers).await {
            RequestResult::Completed => self.write_response(&headers, res),
            RequestResult::Shed => write_not_run(res, "1"),
            RequestResult::NestedCallNotRun => write_not_run(res, "nested"),
            RequestResult::Expired => write_not_run(res, "deadline"),
            RequestResult::NestedCallFailed => {
                server::write_error(res, StatusCode::BAD_GATEWAY, "nested call failed");
            }
            RequestResult::Crashed => conn.abort(),
        }
    }

    async fn process_request(&self, headers: &HeaderMap) -> RequestResult {
        let serial = header_value(headers, SERIAL_HEADER);
        let deadline =
            header_duration(headers, "ivytrail-deadline-ms").map(|it| Instant::now() + it);
        if self.state.current_state() == ServerState::Starting {
            return RequestResult::Shed;
        }
        let Some(slot) = SlotGuard::acquire(&self.state, serial) else {
            return RequestResult::Shed;
        };
        let work_factor = if headers.contains_key("x-no-work") { 0.0 } else { 1.0 };
        slot.work(0.5 * work_factor).await;
        if self.should_crash(headers) {
            self.crash();
            return RequestResult::Crashed;
        }
        if let Some(failed) = self.make_nested_calls(headers).await {
            slot.complete();
            self.state.log.lock().nested_failures += 1;
            return failed;
        }
        slot.work(0.25 * work_factor).await;
        if deadline.is_some_and(|it| it <= Instant::now()) {
            slot.complete();
            self.state.log.lock().expired += 1;
            return RequestResult::Expired;
        }
        self.state.apply_effect(serial);
        slot.work(0.25 * work_factor).await;
        // Only with the header: even an empty sleep takes a tick of the timer.
        if let Some(delay) = header_duration(headers, "x-late-ms") {
            tokio::time::sleep(delay).await;
        }
        slot.complete();
        RequestResult::Completed
    }

    /// Makes the nested calls in order. Returns the request's result if one of them did not succeed.
    async fn make_nested_calls(&self, headers: &HeaderMap) -> Option<RequestResult> {
        for (idx, call) in self.state.settings.nested_calls.iter().enumerate() {
            match self.make_nested_call(call, headers).await {
                Ok(NestedCallResult::Complete) => {}
                // After the first call something has run, so the request can't be reported as not run.
                Ok(NestedCallResult::NotRun) if idx == 0 => {
                    return Some(RequestResult::NestedCallNotRun);
                }
                Ok(_) | Err(_) => return Some(RequestResult::NestedCallFailed),
            }
        }
        None
    }

    async fn make_nested_call(
        &self,
        call: &NestedCall,
        headers: &HeaderMap,
    ) -> Result<NestedCallResult> {
        let Some(daemon) = self.state.settings.daemon else {
            anyhow::bail!("nested calls require the daemon's local address");
        };
        let url = format!("http://{daemon}{}", call.path);
        let method = Method::from_bytes(call.method.as_bytes())?;
        let mut request = self.state.client.request(method, url);
        for name in FORWARDED_HEADERS {
            if let Some(value) = headers.get(name) {
                request = request.header(name, value.clone());
            }
        }
        let response = request.send().await?;
        let is_success = response.status().is_success();
        let is_not_run = header_value(response.headers(), "ivytrail-outcome") == "not-run";
        // The connection can only be reused after the complete body was read.
        response.bytes().await?;
        Ok(match is_success {
            true => NestedCallResult::Complete,
            false if is_not_run => NestedCallResult::NotRun,
            false => NestedCallResult::Failed,
        })
    }

    fn should_crash(&self, headers: &HeaderMap) -> bool {
        let crash_target = header_value(headers, "x-crash");
        crash_target == "1" || crash_target == self.state.settings.service
    }

    fn crash(&self) {
        match self.state.settings.crash_mode {
            CrashMode::ExitProcess => std::process::exit(CRASH_EXIT_CODE),
            CrashMode::CloseConnections => self.state.is_crashed.store(true, Ordering::Release),
        }
    }

    fn write_response(&self, headers: &HeaderMap, res: &mut Response) {
        let serial = header_value(headers, SERIAL_HEADER);
        let settings = &self.state.settings;
        let body = ResponseBody::new(serial, &settings.service, settings.response_bytes);
        server::write_json(res, &body);
        if headers.contains_key("x-truncate") {
            truncate(res, &body);
        }
    }
}

/// Result of a nested call.
#[derive(Debug)]
enum NestedCallResult {
    Complete,
    NotRun,
    Failed,
}

fn write_not_run(res: &mut Response, cause: &'static str) {
    server::write_error(res, StatusCode::SERVICE_UNAVAILABLE, "request not run");
    res.headers_mut().insert(SHED_HEADER, HeaderValue::from_static(cause));
}

/// Declares the full content length, but sends only half of the body before the connection closes.
fn truncate(res: &mut Response, body: &ResponseBody) {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
    res.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    let rest = stream::once(async {
        // The first half must be sent before the connection closes, or the caller receives no response at all.
        tokio::time::sleep(TRUNCATION_DELAY).await;
        Err(std::io::Error::other("response truncated"))
    });
    res.stream(stream::iter([Ok(half)]).chain(rest));
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn header_duration(headers: &HeaderMap, name: &str) -> Option<Duration> {
    header_value(headers, name).parse().ok().map(Duration::from_millis)
}
