//! HTTP client of the platform's table service and object store.
//!
//! Errors state whether the request can have taken effect, because a response may be lost after a write.

use std::{fmt, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use ivytrail::platform::{TableRead, TableRows, TableTransaction, TransactionResult};
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

/// Timeout for opening a TCP connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Error of a request to the platform.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// No connection could be opened, so the request was not sent and has no effect.
    #[display("failed to connect to the platform: {_0}")]
    NotSent(String),
    /// The request may have been sent, but no response was read. It may have taken effect, or still take effect later.
    #[display("no response from the platform: {_0}")]
    NoResponse(String),
    /// The platform rejected the request with a client error (4xx). It has no effect.
    #[display("the platform rejected the request with status {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        message: String,
    },
}

impl std::error::Error for PlatformError {}

/// Client of the platform. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: reqwest::Client,
    base_url: String,
}

impl PlatformClient {
    /// Creates a client of the platform at `base_url` with `timeout` for each request.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn new(base_url: &str, timeout: Duration) -> anyhow::Result<PlatformClient> {
        let http = reqwest::Client::builder()
            .timeout(timeout)
            .connect_timeout(CONNECT_TIMEOUT.min(timeout))
            .pool_idle_timeout(IDLE_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(PlatformClient { http, base_url: base_url.to_string() })
    }

    /// Reads rows of the table.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no successful response.
    pub async fn read(&self, read: &TableRead) -> Result<TableRows, PlatformError> {
        self.post("read", read).await
    }

    /// Sends a transaction. A conflict is a result, not an error.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no successful response; its variant states whether the transaction can have taken
    /// effect.
    pub async fn transact(
        &self,
        transaction: &TableTransaction,
    ) -> Result<TransactionResult, PlatformError> {
        self.post("transact", transaction).await
    }

    /// Returns the object `name`, or `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if there is neither a successful response nor one with status 404.
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
    /// Returns an error if there is no successful response; its variant states whether the object can have been
    /// written.
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
    // A server error doesn't exclude that the request has taken effect.
    Err(match status.is_client_error() {
        true => PlatformError::Rejected { status: status.as_u16(), message },
        false => PlatformError::NoResponse(format!("status {status}")),
    })
}

fn no_response(cause: &reqwest::Error) -> PlatformError {
    PlatformError::NoResponse(root_cause(cause))
}

/// Returns the message of the innermost error, e.g. `Connection refused (os error 111)`.
fn root_cause(cause: &dyn std::error::Error) -> String {
    let mut inner = cause;
    while let Some(source) = inner.source() {
        inner = source;
    }
    fmt::format(format_args!("{inner}"))
}
