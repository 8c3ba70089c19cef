//! The requests that a backend server answers.

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

use super::{BackendState, CrashMode, NestedCall, ServerControl, ServerState, work::SlotHold};
use crate::{
    response::{ResponseBody, SERIAL_HEADER},
    server,
};

/// Header of an answer that says that the request did not run. `1` blames this server, `nested` a call further down.
const SHED_HEADER: HeaderName = HeaderName::from_static("ivytrail-shed");

/// Header with the identifier of an attempt, which the answer repeats.
const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("ivytrail-request");

/// Headers that a nested call takes over from the request that makes it.
const PASSED_HEADERS: [&str; 3] = ["ivytrail-token", SERIAL_HEADER, "x-crash"];

/// Headers that would carry a caller's credential.
const KEY_HEADERS: [&str; 2] = ["authorization", "ivytrail-key"];

/// Status of a process that a request crashed.
const CRASH_STATUS: i32 = 101;

/// Time between the first half of a cut answer and the end of its connection.
const CUT_DELAY: Duration = Duration::from_millis(20);

pub(super) struct BackendHandler {
    state: Arc<BackendState>,
}

/// How a request ended.
#[derive(Debug)]
enum RequestResult {
    Answered,
    /// Not run, by this server's decision.
    Shed,
    /// Not run, because a nested call was refused without running.
    NestedNotRun,
    /// A nested call failed and may have run.
    NestedFailed,
    /// Not run, because the deadline passed.
    Expired,
    /// The server went down with it.
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
                server::write_json(res, &self.state.server_state());
            }
            (Method::POST, "/control") => self.set_control(req, res).await,
            _ => self.run(req, res, conn).await,
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

    async fn run(&self, req: &mut Request, res: &mut Response, conn: &ConnCtrl) {
        if KEY_HEADERS.iter().any(|name| req.headers().contains_key(*name)) {
            self.state.log.lock().keys_seen += 1;
        }
        if let Some(attempt) = req.headers().get(&ATTEMPT_HEADER) {
            res.headers_mut().insert(ATTEMPT_HEADER, attempt.clone());
        }
        if req.payload_with_max_size(server::MAX_BODY_BYTES).await.is_err() {
            return server::write_error(res, StatusCode::BAD_REQUEST, "the body is not whole");
        }
        let headers = req.headers().clone();
        match self.work(&headers).await {
            RequestResult::Answered => self.answer(&headers, res),
            RequestResult::Shed => write_shed(res, "1"),
            RequestResult::NestedNotRun => write_shed(res, "nested"),
            RequestResult::Expired => write_shed(res, "deadline"),
            RequestResult::NestedFailed => {
                server::write_error(res, StatusCode::BAD_GATEWAY, "a nested call failed");
            }
            RequestResult::Crashed => conn.abort(),
        }
    }

    async fn work(&self, headers: &HeaderMap) -> RequestResult {
        let serial = header_text(headers, SERIAL_HEADER);
        let deadline = header_millis(headers, "ivytrail-deadline-ms").map(|it| Instant::now() + it);
        if self.state.server_state() == ServerState::Starting {
            return RequestResult::Shed;
        }
        let Some(hold) = SlotHold::take(&self.state, serial) else { return RequestResult::Shed };
        let amount = if headers.contains_key("x-no-work") { 0.0 } else { 1.0 };
        hold.work(0.5 * amount).await;
        if self.crashes_on(headers) {
            self.crash();
            return RequestResult::Crashed;
        }
        if let Some(failed) = self.call_all(headers).await {
            hold.answer();
            self.state.log.lock().nested_failures += 1;
            return failed;
        }
        hold.work(0.25 * amount).await;
        if deadline.is_some_and(|it| it <= Instant::now()) {
            hold.answer();
            self.state.log.lock().expired += 1;
            return RequestResult::Expired;
        }
        self.state.take_effect(serial);
        hold.work(0.25 * amount).await;
        // Even an empty sleep takes a tick of the timer, so that there is none without the header.
        if let Some(late) = header_millis(headers, "x-late-ms") {
            tokio::time::sleep(late).await;
        }
        hold.answer();
        RequestResult::Answered
    }

    /// Makes the nested calls and returns the result of the request when one of them failed.
    async fn call_all(&self, headers: &HeaderMap) -> Option<RequestResult> {
        for (idx, call) in self.state.settings.calls.iter().enumerate() {
            match self.call(call, headers).await {
                Ok(NestedCallResult::Complete) => {}
                // Earlier calls have run, so the request as a whole can't claim that nothing ran.
                Ok(NestedCallResult::NotRun) if idx == 0 => {
                    return Some(RequestResult::NestedNotRun);
                }
                Ok(_) | Err(_) => return Some(RequestResult::NestedFailed),
            }
        }
        None
    }

    async fn call(&self, call: &NestedCall, headers: &HeaderMap) -> Result<NestedCallResult> {
        let Some(daemon) = self.state.settings.daemon else {
            anyhow::bail!("nested calls need the daemon's local address");
        };
        let url = format!("http://{daemon}{}", call.path);
        let method = Method::from_bytes(call.method.as_bytes())?;
        let mut request = self.state.client.request(method, url);
        for name in PASSED_HEADERS {
            if let Some(value) = headers.get(name) {
                request = request.header(name, value.clone());
            }
        }
        let answer = request.send().await?;
        let is_success = answer.status().is_success();
        let is_not_run = header_text(answer.headers(), "ivytrail-outcome") == "not-run";
        // The body is read whole so that the connection can be used again.
        answer.bytes().await?;
        Ok(match is_success {
            true => NestedCallResult::Complete,
            false if is_not_run => NestedCallResult::NotRun,
            false => NestedCallResult::Failed,
        })
    }

    fn crashes_on(&self, headers: &HeaderMap) -> bool {
        let victim = header_text(headers, "x-crash");
        victim == "1" || victim == self.state.settings.service
    }

    fn crash(&self) {
        match self.state.settings.crash_mode {
            CrashMode::ExitProcess => std::process::exit(CRASH_STATUS),
            CrashMode::CloseConnections => self.state.is_crashed.store(true, Ordering::Release),
        }
    }

    fn answer(&self, headers: &HeaderMap, res: &mut Response) {
        let serial = header_text(headers, SERIAL_HEADER);
        let settings = &self.state.settings;
        let answer = ResponseBody::new(serial, &settings.service, settings.answer_bytes);
        server::write_json(res, &answer);
        if headers.contains_key("x-truncate") {
            truncate(res, &answer);
        }
    }
}

/// How a nested call ended.
#[derive(Debug)]
enum NestedCallResult {
    Complete,
    NotRun,
    Failed,
}

fn write_shed(res: &mut Response, cause: &'static str) {
    server::write_error(res, StatusCode::SERVICE_UNAVAILABLE, "not run");
    res.headers_mut().insert(SHED_HEADER, HeaderValue::from_static(cause));
}

/// Promises the whole answer and sends half of it before the connection closes.
fn truncate(res: &mut Response, answer: &ResponseBody) {
    let body = serde_json::to_vec(answer).unwrap_or_default();
    let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
    res.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    let rest = stream::once(async {
        // The half has to leave before the connection closes, or the caller sees no answer at all.
        tokio::time::sleep(CUT_DELAY).await;
        Err(std::io::Error::other("the answer is cut"))
    });
    res.stream(stream::iter([Ok(half)]).chain(rest));
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn header_millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    header_text(headers, name).parse().ok().map(Duration::from_millis)
}
