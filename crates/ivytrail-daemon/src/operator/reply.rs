//! Responses of the operator API.

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

/// Response to an operator's request.
#[derive(Debug)]
pub(super) struct OperatorReply {
    status: StatusCode,
    content_type: HeaderValue,
    body: Vec<u8>,
}

impl OperatorReply {
    /// Creates a response with `value` as JSON.
    pub(super) fn json<T>(status: StatusCode, value: &T) -> OperatorReply
    where
        T: Serialize,
    {
        // Can't fail: the values are plain structs with string keys.
        let body = serde_json::to_vec(value).unwrap_or_default();
        OperatorReply { status, content_type: JSON_TYPE, body }
    }

    /// Creates a response with the metrics in the OpenMetrics text format.
    pub(super) fn metrics(text: String) -> OperatorReply {
        OperatorReply {
            status: StatusCode::OK,
            content_type: METRICS_TYPE,
            body: text.into_bytes(),
        }
    }

    /// Creates a response with an error message for the operator.
    pub(super) fn error(status: StatusCode, message: impl Into<String>) -> OperatorReply {
        OperatorReply::json(status, &ErrorReply { error: message.into() })
    }

    /// Creates the response to an edit, with a status that depends on the outcome.
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

    /// Creates the response to an edit that fails a check before it is sent to the platform.
    pub(super) fn refused(findings: Findings) -> OperatorReply {
        let outcome = EditOutcome::Refused { findings };
        OperatorReply::edit(&EditReply { outcome, confirmed: false })
    }

    /// Writes the status, content type and body to `res`.
    pub(super) fn write(self, res: &mut Response) {
        res.status_code(self.status);
        res.headers_mut().insert(CONTENT_TYPE, self.content_type);
        res.body(self.body);
    }
}
