//! Reads message bodies into memory that is bounded by their size, however small the chunks are in which they arrive.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

/// Cause for which a body can't be read, as reported by its stream.
pub type BodyStreamError = Box<dyn std::error::Error + Send + Sync>;

/// The part of a body that was received.
///
/// Chunks are joined at once: each is a slice of the connection's read buffer, which it would keep in memory as a whole.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    /// The first chunk while it is the only one, which needs no copy.
    first: Bytes,
    joined: BytesMut,
}

impl BodyBuffer {
    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        match (self.first.is_empty(), self.joined.is_empty()) {
            (true, true) => self.first = chunk,
            (_, is_first_joined) => {
                if is_first_joined {
                    self.joined.extend_from_slice(&std::mem::take(&mut self.first));
                }
                self.joined.extend_from_slice(&chunk);
            }
        }
    }

    /// Returns the chunks as one body.
    pub fn into_bytes(self) -> Bytes {
        match self.joined.is_empty() {
            true => self.first,
            false => self.joined.freeze(),
        }
    }
}

/// Reads a request's body of at most `max_bytes`.
///
/// # Errors
///
/// Returns an error if the body can't be read, and a [`http_body_util::LengthLimitError`] if it is larger.
pub async fn read_request_body(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyStreamError> {
    let mut body = Limited::new(body, max_bytes);
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        if let Ok(chunk) = frame?.into_data() {
            buffer.push(chunk);
        }
    }
    Ok(buffer.into_bytes())
}

#[cfg(test)]
mod tests;
