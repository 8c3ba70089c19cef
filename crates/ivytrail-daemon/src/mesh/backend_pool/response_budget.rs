//! Bound on the memory that responses occupy while they are read.

use std::cell::Cell;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::read_allowance::ReadAllowance;
use crate::mesh::body_reader::BodyBuffer;

/// Maximum size of one response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Maximum size of all response bodies that are being read, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 << 20;
/// Maximum number of chunks of one response body; each takes processor time, however small it is.
const MAX_RESPONSE_CHUNKS: usize = 1 << 18;

/// Cause for which a response body can't be read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// The connection failed, or the body does not follow the protocol.
    #[display("{_0}")]
    Broken(hyper::Error),
    /// The body exceeds the maximum size of a response.
    #[display("the body exceeds {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
    /// The body arrives in more chunks than the maximum.
    #[display("the body has more than {MAX_RESPONSE_CHUNKS} chunks")]
    TooManyChunks,
    /// All bodies together exceed the memory for them, and this one is larger than most.
    #[display("all bodies together exceed {MAX_BUFFERED_BYTES} bytes; this one has {_0}")]
    OverBudget(usize),
}

/// Memory of the response bodies that are being read.
#[derive(Debug, Default)]
pub struct ResponseBudget {
    n_bytes: Cell<usize>,
    n_responses: Cell<usize>,
}

impl ResponseBudget {
    /// Reads a body to its end. When all bodies together exceed the budget, those of at least the mean size fail, so
    /// that a few large or endless ones don't affect the others.
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be read or is too large.
    pub async fn read_body(
        &self,
        mut body: Incoming,
        allowance: &ReadAllowance,
    ) -> Result<Bytes, BodyError> {
        let mut share = BudgetShare::new(self);
        let mut buffer = BodyBuffer::default();
        let mut n_chunks = 0;
        while let Some(frame) = body.frame().await {
            let Ok(chunk) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
            n_chunks += 1;
            if MAX_RESPONSE_CHUNKS < n_chunks {
                return Err(BodyError::TooManyChunks);
            }
            share.add(chunk.len())?;
            allowance.record_chunk(chunk.len());
            buffer.push(chunk);
        }
        Ok(buffer.into_bytes())
    }
}

/// Part of the budget that one body uses, until it is dropped.
struct BudgetShare<'b> {
    budget: &'b ResponseBudget,
    n_bytes: usize,
}

impl<'b> BudgetShare<'b> {
    fn new(budget: &'b ResponseBudget) -> BudgetShare<'b> {
        budget.n_responses.set(budget.n_responses.get() + 1);
        BudgetShare { budget, n_bytes: 0 }
    }

    fn add(&mut self, n_bytes: usize) -> Result<(), BodyError> {
        let total = self.budget.n_bytes.get() + n_bytes;
        self.budget.n_bytes.set(total);
        self.n_bytes += n_bytes;
        match self.n_bytes {
            size if MAX_RESPONSE_BYTES < size => Err(BodyError::TooLarge),
            size if MAX_BUFFERED_BYTES < total
                && total <= size.saturating_mul(self.budget.n_responses.get()) =>
            {
                Err(BodyError::OverBudget(size))
            }
            _ => Ok(()),
        }
    }
}

impl Drop for BudgetShare<'_> {
    fn drop(&mut self) {
        self.budget.n_bytes.set(self.budget.n_bytes.get() - self.n_bytes);
        self.budget.n_responses.set(self.budget.n_responses.get() - 1);
    }
}

#[cfg(test)]
mod tests;
