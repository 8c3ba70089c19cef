//! HTTP listener of the fakes.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use salvo::{
    Listener, Router, Server,
    conn::TcpListener,
    conn::tcp::TcpAcceptor,
    http::{StatusCode, header},
    prelude::{Handler, Request, Response},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::task::JoinHandle;

/// Maximum request body size, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// Listener that serves one handler until it is dropped.
///
/// Dropping it closes the listener and every connection immediately, as a killed process does.
#[derive(Debug)]
pub struct LocalServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl LocalServer {
    /// Binds `address` and serves every request with `handler`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start<H>(address: SocketAddr, handler: H) -> Result<LocalServer>
    where
        H: Handler,
    {
        let acceptor: TcpAcceptor = TcpListener::new(address)
            .try_bind()
            .await
            .with_context(|| format!("cannot bind address {address}"))?;
        let address = acceptor.local_addr()?;
        let router = Router::with_path("{**rest}").goal(handler);
        let server = Server::new(acceptor).disable_fuse();
        let task = tokio::spawn(async move { server.serve(router).await });
        Ok(LocalServer { address, task })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the listener stops, which happens only on failure.
    pub async fn join(&mut self) {
        // The task's error is ignored: the waiting process exits either way.
        let _ = (&mut self.task).await;
    }
}

impl Drop for LocalServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the request body as JSON.
///
/// # Errors
///
/// Returns an error if the body is incomplete, exceeds [`MAX_BODY_BYTES`] or can't be parsed as `T`.
pub async fn read_json<T>(req: &mut Request) -> Result<T>
where
    T: DeserializeOwned,
{
    let body = req.payload_with_max_size(MAX_BODY_BYTES).await?;
    Ok(serde_json::from_slice(body)?)
}

/// Writes `value` as a JSON response, or status 500 if it can't be serialized.
pub fn write_json<T>(res: &mut Response, value: &T)
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => {
            res.headers_mut()
                .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
            res.body(body);
        }
        Err(cause) => write_error(res, StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string()),
    }
}

/// Writes a response with a status and one line of text.
pub fn write_error(res: &mut Response, status: StatusCode, message: &str) {
    res.status_code(status);
    res.body(format!("{message}\n"));
}
