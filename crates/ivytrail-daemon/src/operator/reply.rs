//! Answers of the operators' interface.

use ivytrail::{
    error::Findings,
    settings::{
        operator_api::{EditReply, ErrorReply},
        store::EditOutcome,
    },
};
use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header::CONTENT_TYPE},
};
use serde::Serialize;

const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");
const METRICS_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// An answer before it is written.
#[derive(Debug)]
pub(super) struct OperatorReply {
    status: StatusCode,
    content_type: HeaderValue,
    body: Vec<u8>,
}

impl OperatorReply {
    /// Returns an answer with `value` as JSON.
    pub(super) fn json<T>(status: StatusCode, value: &T) -> OperatorReply
    where
        T: Serialize,
    {
        // Answers are plain structs with text keys, which JSON can always hold.
        let body = serde_json::to_vec(value).unwrap_or_default();
        OperatorReply { status, content_type: JSON_TYPE, body }
    }

    /// Returns an answer with the metrics.
    pub(super) fn metrics(text: String) -> OperatorReply {
        OperatorReply {
            status: StatusCode::OK,
            content_type: METRICS_TYPE,
            body: text.into_bytes(),
        }
    }

    /// Returns an answer with an error for the person who must act.
    pub(super) fn error(status: StatusCode, message: impl Into<String>) -> OperatorReply {
        OperatorReply::json(status, &ErrorReply { error: message.into() })
    }

    /// Returns the answer to an edit; its status follows from the outcome.
    pub(super) fn edit(reply: &EditReply) -> OperatorReply {
        let status = match &reply.outcome {
            EditOutcome::Stored { .. }
            | EditOutcome::Unchanged { .. }
            | EditOutcome::WouldChange { .. } => StatusCode::OK,
            EditOutcome::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            EditOutcome::Overtaken { .. } => StatusCode::CONFLICT,
            EditOutcome::NotStored { .. } => StatusCode::SERVICE_UNAVAILABLE,
            EditOutcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        };
        OperatorReply::json(status, reply)
    }

    /// Returns the answer to an edit that breaks a check before it reaches the platform.
    pub(super) fn refused(findings: Findings) -> OperatorReply {
        let outcome = EditOutcome::Refused { findings };
        OperatorReply::edit(&EditReply { outcome, confirmed: false })
    }

    /// Writes the answer.
    pub(super) fn write(self, res: &mut Response) {
        res.status_code(self.status);
        res.headers_mut().insert(CONTENT_TYPE, self.content_type);
        res.body(self.body);
    }
}
