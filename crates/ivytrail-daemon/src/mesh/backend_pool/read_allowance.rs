//! Bound on the bytes that a connection reads for one response, including those that are not part of its body.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may be read before the first chunk of a body: interim responses, the head and what is read ahead.
const HEAD_BYTES: usize = 256 << 10;
/// Bytes that may be read for each byte of the body. A chunk of one byte takes six.
const BYTES_PER_BODY_BYTE: usize = 16;

/// Number of bytes that a connection may still read for the current response. Clones share it.
#[derive(Clone, Debug)]
pub struct ReadAllowance(Rc<Cell<usize>>);

impl ReadAllowance {
    /// Starts the allowance for the next response.
    pub fn start_response(&self) {
        self.0.set(HEAD_BYTES);
    }

    /// Raises the allowance for a chunk of the body that was received.
    pub fn record_chunk(&self, n_bytes: usize) {
        self.0.set(self.0.get().saturating_add(n_bytes.saturating_mul(BYTES_PER_BODY_BYTE)));
    }

    fn spend(&self, n_bytes: usize) -> io::Result<()> {
        match self.0.get().checked_sub(n_bytes) {
            Some(left) => {
                self.0.set(left);
                Ok(())
            }
            None => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the response takes many more bytes than its body has",
            )),
        }
    }
}

impl Default for ReadAllowance {
    fn default() -> ReadAllowance {
        ReadAllowance(Rc::new(Cell::new(HEAD_BYTES)))
    }
}

/// A connection whose reads fail once a response exceeds its allowance.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

impl<S> MeteredStream<S> {
    /// Creates a metered connection.
    pub fn new(stream: S, allowance: ReadAllowance) -> MeteredStream<S> {
        MeteredStream { stream, allowance }
    }
}

impl<S> AsyncRead for MeteredStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let n_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.allowance.spend(buffer.filled().len() - n_before))
    }
}

impl<S> AsyncWrite for MeteredStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
