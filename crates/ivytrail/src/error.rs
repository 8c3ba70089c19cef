//! Errors and validation findings.
//!
//! [`Error`] is opaque: its message is meant for operators, and callers add context as it propagates. [`Findings`]
//! collects all validation errors of a document with their JSON paths, so that they are reported together.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Opaque error with the context that callers added.
#[derive(Debug)]
pub struct Error(anyhow::Error);

impl Error {
    /// Returns an error with `message`, which is shown to operators.
    pub fn new<M>(message: M) -> Error
    where
        M: fmt::Display + fmt::Debug + Send + Sync + 'static,
    {
        Error(anyhow::Error::msg(message))
    }

    /// Returns this error with `context` prepended to its message.
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

/// Validation error at one JSON path of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{place}: {message}")]
pub struct DocumentFinding {
    /// JSON path of the value, e.g. `$.accounts.meteo.rate_per_s`.
    pub place: String,
    /// The invalid value or problem, and what is allowed.
    pub message: String,
}

/// All validation errors of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(Vec<DocumentFinding>);

impl Findings {
    /// Appends a finding at the JSON path `place`.
    pub fn push(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.0.push(DocumentFinding { place: place.into(), message: message.into() });
    }

    /// Returns whether the document is valid.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the findings in the order in which they were recorded.
    pub fn iter(&self) -> std::slice::Iter<'_, DocumentFinding> {
        self.0.iter()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there is at least one.
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
