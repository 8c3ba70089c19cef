//! Client of the platform's table service and object store.
//!
//! Each error says whether the request can have had an effect, since an answer may be lost after a write took effect.

use std::{fmt, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use ivytrail::platform::{TableRead, TableRows, TableTransaction, TransactionResult};
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

/// Longest wait for a TCP connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why the platform gave no usable answer.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// The request never left: no connection could be made. It has no effect.
    #[display("the platform can't be connected to: {_0}")]
    NotSent(String),
    /// The request may have left and no answer was read. It may have taken effect, or may still.
    #[display("the platform did not answer: {_0}")]
    NoResponse(String),
    /// The platform refused the request as such. It has no effect.
    #[display("the platform refused the request with status {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// What the platform said.
        message: String,
    },
}

impl std::error::Error for PlatformError {}

/// A client of the platform. Cloning it shares its connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: reqwest::Client,
    base_url: String,
}

impl PlatformClient {
    /// Returns a client of the platform at `base_url` that waits `timeout` for each answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be set up.
    pub fn new(base_url: &str, timeout: Duration) -> anyhow::Result<PlatformClient> {
        let http = reqwest::Client::builder()
            .timeout(timeout)
            .connect_timeout(CONNECT_TIMEOUT.min(timeout))
            .pool_idle_timeout(IDLE_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(PlatformClient { http, base_url: base_url.to_string() })
    }

    /// Reads rows.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer.
    pub async fn read(&self, read: &TableRead) -> Result<TableRows, PlatformError> {
        self.post("read", read).await
    }

    /// Sends a transaction. A conflict is an answer, not an error.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer; it says whether the transaction can have taken effect.
    pub async fn transact(
        &self,
        transaction: &TableTransaction,
    ) -> Result<TransactionResult, PlatformError> {
        self.post("transact", transaction).await
    }

    /// Returns the object `name`, or `None` when the store has none.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let request = self.http.get(format!("{}/objects/{name}", self.base_url));
        match send(request).await {
            Ok(response) => response.bytes().await.map(Some).map_err(|it| no_response(&it)),
            Err(PlatformError::Rejected { status, .. }) if status == StatusCode::NOT_FOUND => {
                Ok(None)
            }
            Err(cause) => Err(cause),
        }
    }

    /// Writes the object `name`.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer; it says whether the object can have been written.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let request = self.http.put(format!("{}/objects/{name}", self.base_url));
        send(request.body(body)).await.map(drop)
    }

    async fn post<Q, A>(&self, action: &str, query: &Q) -> Result<A, PlatformError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let request = self.http.post(format!("{}/table/{action}", self.base_url));
        let response = send(request.json(query)).await?;
        response.json::<A>().await.map_err(|cause| no_response(&cause))
    }
}

async fn send(request: RequestBuilder) -> Result<Response, PlatformError> {
    let response = request.send().await.map_err(|cause| match cause.is_connect() {
        true => PlatformError::NotSent(root_cause(&cause)),
        false => no_response(&cause),
    })?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let message = response.text().await.unwrap_or_default();
    // A server error tells nothing about what was written before it.
    Err(match status.is_client_error() {
        true => PlatformError::Rejected { status: status.as_u16(), message },
        false => PlatformError::NoResponse(format!("status {status}")),
    })
}

fn no_response(cause: &reqwest::Error) -> PlatformError {
    PlatformError::NoResponse(root_cause(cause))
}

/// Returns the innermost message, e.g. `Connection refused (os error 111)`.
fn root_cause(cause: &dyn std::error::Error) -> String {
    let mut inner = cause;
    while let Some(source) = inner.source() {
        inner = source;
    }
    fmt::format(format_args!("{inner}"))
}
