//! HTTP client for the operator API of the daemons. Several daemons are tried in turn.

use std::time::Duration;

use ivytrail::settings::{
    Revision,
    operator_api::{EditReply, ErrorReply},
    store::EditOutcome,
};
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use uuid::Uuid;

use crate::{options::ToolOptions, report::ToolError};

/// Timeout for connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for a response. It exceeds the time that a daemon works on an edit, so that two attempts of one change never
/// run concurrently.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(25);

/// Maximum number of rounds over all daemons in which an edit is sent until its outcome is known.
const MAX_EDIT_ROUNDS: usize = 2;

/// Request for an edit of the settings.
#[derive(Debug)]
pub struct EditRequest {
    /// HTTP method.
    pub method: Method,
    /// Path on the operator address.
    pub path: String,
    /// JSON body; empty for none.
    pub body: String,
    /// Revision that the edit is based on.
    pub base: Revision,
    /// Whether to validate the edit without storing it.
    pub dry_run: bool,
}

/// Client for the daemons of one fleet.
#[derive(Debug)]
pub struct DaemonClient {
    http: reqwest::Client,
    daemons: Vec<String>,
    token: String,
}

/// Outcome of one attempt to send an edit.
enum SendOutcome {
    /// A daemon replied.
    Replied(EditReply),
    /// No connection was established, so the edit was not sent.
    Unsent(String),
    /// The request may have been executed, but there is no valid response.
    ResponseLost(String),
}

impl DaemonClient {
    /// Returns a client for the daemons and the token given by the options or the environment.
    ///
    /// # Errors
    ///
    /// Returns [`ToolError::BadInput`] when the daemons or the token are missing or the token file can't be read.
    pub fn new(options: &ToolOptions) -> Result<DaemonClient, ToolError> {
        let mut daemons = options.daemon.clone();
        if daemons.is_empty() {
            let addresses = std::env::var("IVYTRAIL_DAEMON").unwrap_or_default();
            daemons.extend(addresses.split(',').filter(|it| !it.is_empty()).map(str::to_string));
        }
        if daemons.is_empty() {
            let message =
                "no daemon given; use --daemon URL or the environment variable IVYTRAIL_DAEMON";
            return Err(ToolError::BadInput(message.into()));
        }
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(RESPONSE_TIMEOUT)
            .build()
            .map_err(|cause| ToolError::Unreachable(cause.to_string()))?;
        let daemons = daemons.iter().map(|it| it.trim_end_matches('/').to_string()).collect();
        Ok(DaemonClient { http, daemons, token: read_token(options)? })
    }

    /// Sends a GET request to the first available daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when no daemon is available, or when the first available one refuses the request.
    pub async fn get<A>(&self, path: &str) -> Result<A, ToolError>
    where
        A: DeserializeOwned,
    {
        self.send(Method::GET, path).await
    }

    /// Sends a request without a body to the first available daemon. A daemon that can't be reached or responds with
    /// status 503 counts as unavailable.
    ///
    /// # Errors
    ///
    /// Returns an error when no daemon is available, or when the first available one refuses the request.
    pub async fn send<A>(&self, method: Method, path: &str) -> Result<A, ToolError>
    where
        A: DeserializeOwned,
    {
        let mut failures = Vec::new();
        for daemon in &self.daemons {
            let request = self.request(daemon, method.clone(), path);
            match request.send().await {
                Ok(response) if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
                    failures.push(format!("{daemon}: {}", error_text(response).await));
                }
                Ok(response) if response.status().is_success() => {
                    let body = response.json::<A>().await;
                    return body.map_err(|cause| unreadable_response(daemon, &cause));
                }
                Ok(response) => return Err(refusal_error(daemon, response).await),
                Err(cause) => failures.push(format!("{daemon}: {}", root_cause(&cause))),
            }
        }
        Err(ToolError::Unreachable(format!("no daemon could answer\n{}", failures.join("\n"))))
    }

    /// Sends an edit to one daemon after another until its outcome is known.
    ///
    /// All attempts have the same change id, and each one after an attempt of unknown outcome is marked as resent.
    ///
    /// # Errors
    ///
    /// Returns an error when a daemon rejects the request, when no daemon could store the change, or when its outcome
    /// is still unknown after all rounds.
    pub async fn edit(&self, request: &EditRequest) -> Result<EditReply, ToolError> {
        let change_id = Uuid::new_v4().to_string();
        let mut resent = false;
        let mut failures = Vec::new();
        let rounds = std::iter::repeat_n(&self.daemons, MAX_EDIT_ROUNDS).flatten();
        for daemon in rounds {
            match self.send_edit(daemon, request, &change_id, resent).await? {
                SendOutcome::Replied(reply) => match reply.outcome {
                    EditOutcome::Unknown { .. } => resent = true,
                    EditOutcome::NotStored { reason } => {
                        failures.push(format!("{daemon}: {reason}"));
                    }
                    _ => return Ok(reply),
                },
                SendOutcome::Unsent(cause) => failures.push(format!("{daemon}: {cause}")),
                SendOutcome::ResponseLost(cause) => {
                    resent = true;
                    failures.push(format!("{daemon}: {cause}"));
                }
            }
        }
        let failures = failures.join("\n");
        Err(ToolError::Unreachable(match resent {
            true => format!(
                "it is unknown whether the change was stored; search for change id {change_id} in \
                 `ivytrail audit --after {}` before you try again\n{failures}",
                request.base
            ),
            false => format!("nothing was stored; no daemon could store the change\n{failures}"),
        }))
    }

    async fn send_edit(
        &self,
        daemon: &str,
        request: &EditRequest,
        change_id: &str,
        resent: bool,
    ) -> Result<SendOutcome, ToolError> {
        let query = [
            ("base", request.base.to_string()),
            ("change_id", change_id.to_string()),
            ("resent", resent.to_string()),
            ("dry_run", request.dry_run.to_string()),
        ];
        let query = query.map(|(name, value)| format!("{name}={value}")).join("&");
        let path = format!("{}?{query}", request.path);
        let builder = self.request(daemon, request.method.clone(), &path);
        let response = match builder.body(request.body.clone()).send().await {
            Ok(response) => response,
            Err(cause) if cause.is_connect() => return Ok(SendOutcome::Unsent(root_cause(&cause))),
            Err(cause) => return Ok(SendOutcome::ResponseLost(root_cause(&cause))),
        };
        let is_refusal = [StatusCode::BAD_REQUEST, StatusCode::UNAUTHORIZED, StatusCode::NOT_FOUND]
            .contains(&response.status());
        if is_refusal {
            return Err(refusal_error(daemon, response).await);
        }
        Ok(match response.json::<EditReply>().await {
            Ok(reply) => SendOutcome::Replied(reply),
            Err(cause) => SendOutcome::ResponseLost(root_cause(&cause)),
        })
    }

    fn request(&self, daemon: &str, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("{daemon}{path}")).bearer_auth(&self.token)
    }
}

/// Serializes `value` as a JSON request body.
pub fn json_body<T>(value: &T) -> String
where
    T: Serialize,
{
    // Serialization can't fail: request bodies are plain structs with string keys.
    serde_json::to_string(value).unwrap_or_default()
}

fn read_token(options: &ToolOptions) -> Result<String, ToolError> {
    let token = match &options.token_file {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|cause| ToolError::BadInput(format!("token file {path}: {cause}")))?,
        None => std::env::var("IVYTRAIL_TOKEN").unwrap_or_default(),
    };
    match token.trim() {
        "" => Err(ToolError::BadInput(
            "no token given; use --token-file FILE or the environment variable IVYTRAIL_TOKEN"
                .into(),
        )),
        token => Ok(token.to_string()),
    }
}

async fn refusal_error(daemon: &str, response: reqwest::Response) -> ToolError {
    let status = response.status();
    let message = error_text(response).await;
    ToolError::Refused(format!("{daemon} refused with status {}: {message}", status.as_u16()))
}

async fn error_text(response: reqwest::Response) -> String {
    let text = response.text().await.unwrap_or_default();
    serde_json::from_str::<ErrorReply>(&text).map_or(text, |it| it.error)
}

fn unreadable_response(daemon: &str, cause: &reqwest::Error) -> ToolError {
    ToolError::Unreachable(format!("{daemon}: invalid response: {}", root_cause(cause)))
}

/// Returns the message of the innermost cause of an error.
fn root_cause(cause: &dyn std::error::Error) -> String {
    let mut innermost = cause;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
