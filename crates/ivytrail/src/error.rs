//! Errors and findings.
//!
//! [`Error`] is opaque: its message is for the person who must act, and context is added on the way up. [`Findings`]
//! collects everything that is wrong with a document, each finding with its place, so that it is reported at once.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An error with the context it gathered on the way up.
#[derive(Debug)]
pub struct Error(anyhow::Error);

impl Error {
    /// Returns an error with a message for the person who must act.
    pub fn new<M>(message: M) -> Error
    where
        M: fmt::Display + fmt::Debug + Send + Sync + 'static,
    {
        Error(anyhow::Error::msg(message))
    }

    /// Returns this error with `context` put before its message.
    #[must_use]
    pub fn context<C>(self, context: C) -> Error
    where
        C: fmt::Display + Send + Sync + 'static,
    {
        Error(self.0.context(context))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.0)
    }
}

impl std::error::Error for Error {}

impl From<serde_json::Error> for Error {
    fn from(cause: serde_json::Error) -> Error {
        Error(cause.into())
    }
}

impl From<rmp_serde::decode::Error> for Error {
    fn from(cause: rmp_serde::decode::Error) -> Error {
        Error(cause.into())
    }
}

/// One thing that is wrong with a document, with its place.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{place}: {message}")]
pub struct DocumentFinding {
    /// JSON path of the value, e.g. `$.accounts.meteo.rate_per_s`.
    pub place: String,
    /// What was found and what is allowed.
    pub message: String,
}

/// Everything that is wrong with a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(Vec<DocumentFinding>);

impl Findings {
    /// Records one finding.
    pub fn push(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.0.push(DocumentFinding { place: place.into(), message: message.into() });
    }

    /// Returns whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the findings in the order of the document.
    pub fn iter(&self) -> std::slice::Iter<'_, DocumentFinding> {
        self.0.iter()
    }

    /// Returns `value` when nothing was found.
    ///
    /// # Errors
    ///
    /// Returns the findings themselves when there is at least one.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, finding) in self.0.iter().enumerate() {
            if 0 < idx {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
