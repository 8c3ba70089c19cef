//! HTTP/1.1 client that reports exactly how each of its connections ends; HTTP libraries reconnect by themselves.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Largest part of a response that is read at a time, in bytes.
const READ_BYTES: usize = 16 << 10;

/// A request on a persistent connection.
#[derive(Clone, Debug)]
pub struct SimpleRequest<'r> {
    /// Path of the request.
    pub path: &'r str,
    /// Identifier of the request.
    pub id: &'r str,
    /// API key, unless the route is public.
    pub key: Option<&'r str>,
    /// Time for which the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
}

/// A response that was read completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimpleResponse {
    /// Status of the response.
    pub status: u16,
    /// Whether the daemon closes the connection after it.
    pub is_closing: bool,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// An HTTP/1.1 connection for several requests, one after the other.
#[derive(Debug)]
pub struct PersistentConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl PersistentConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused.
    pub async fn open(address: SocketAddr) -> io::Result<PersistentConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(PersistentConnection { stream, buffer: Vec::new() })
    }

    /// Writes the head of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub async fn write_head(&mut self, request: &SimpleRequest<'_>) -> io::Result<()> {
        let SimpleRequest { path, id, key, deadline_ms, body_bytes } = request;
        let credential = key.map_or(String::new(), |it| format!("x-ivytrail-credential: {it}\r\n"));
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-ivytrail-request-id: {id}\r\n\
            x-ivytrail-deadline-ms: {deadline_ms}\r\ncontent-length: {body_bytes}\r\n{credential}\r\n"
        );
        self.stream.write_all(head.as_bytes()).await
    }

    /// Writes `n_bytes` of a request's body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub async fn write_body(&mut self, n_bytes: usize) -> io::Result<()> {
        self.stream.write_all(&vec![b'x'; n_bytes]).await
    }

    /// Reads the response to the last request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends within the response, or before it.
    pub async fn read_response(&mut self) -> io::Result<SimpleResponse> {
        let head_end = loop {
            let end = self.buffer.windows(4).position(|it| it == b"\r\n\r\n");
            match end {
                Some(end) => break end + 4,
                None => self.read_more().await?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).to_ascii_lowercase();
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|it| it.split_once(':'));
            lines.find(|(it, _)| *it == name).map(|(_, value)| value.trim().to_string())
        };
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
        let length = field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let is_closing = field("connection").is_some_and(|it| it == "close");
        while self.buffer.len() < head_end + length {
            self.read_more().await?;
        }
        let body = self.buffer[head_end..head_end + length].to_vec();
        self.buffer.drain(..head_end + length);
        let status = status.ok_or_else(|| io::Error::other(format!("no status: {head}")))?;
        Ok(SimpleResponse { status, is_closing, body })
    }

    async fn read_more(&mut self) -> io::Result<()> {
        let mut part = [0; READ_BYTES];
        match self.stream.read(&mut part).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n_read => {
                self.buffer.extend_from_slice(&part[..n_read]);
                Ok(())
            }
        }
    }
}
