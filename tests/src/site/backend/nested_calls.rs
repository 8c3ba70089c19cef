//! Nested calls of the fake backend server.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{BackendHandler, SURVEY_TIMEOUT_MS};

/// Path segment that makes the backend server send a nested call while it handles the request.
pub const NESTED_CALL_SEGMENT: &str = "/calls/";
/// Path segment that makes the backend server send a nested call that takes the number of milliseconds which follows.
pub const LONG_CALL_SEGMENT: &str = "/long-calls/";
/// Time for which a backend server waits for a nested call beyond the call's time limit.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Time limit of a nested call that takes long.
const LONG_CALL_TIMEOUT: Duration = Duration::from_millis(SURVEY_TIMEOUT_MS);

/// A nested call whose connection ended without a response.
#[derive(Clone, Debug)]
pub struct BrokenCall {
    /// Identifier of the call.
    pub id: String,
    /// Time at which the call was sent.
    pub sent_at: Instant,
}

impl BackendHandler {
    /// Sends the nested call that the request at `path` makes, if it makes one, through the instance's daemon, and returns
    /// whether its status was 200.
    pub(super) async fn make_nested_call(&self, request_id: &str, path: &str) -> bool {
        if !path.contains(NESTED_CALL_SEGMENT) && !path.contains(LONG_CALL_SEGMENT) {
            return true;
        }
        let Some(address) = self.caller_address else { return false };
        let id = format!("{request_id}.0");
        let (call_path, time_limit) = match long_call_ms(path) {
            Some(work_ms) => (format!("/audit/{request_id}/{work_ms}"), LONG_CALL_TIMEOUT),
            None => (format!("/ledger/{request_id}/5"), Duration::from_secs(1)),
        };
        let request = self
            .client
            .get(format!("http://{address}{call_path}"))
            .timeout(time_limit + CALL_TIMEOUT_MARGIN)
            .header("host", "site.example")
            .header("x-ivytrail-request-id", &id)
            .header("x-ivytrail-deadline-ms", time_limit.as_millis().to_string());
        let state = Arc::clone(&self.state);
        let call = async move {
            let sent_at = Instant::now();
            match request.send().await {
                Ok(response) => response.status() == 200,
                Err(cause) => {
                    if !cause.is_connect() && !cause.is_timeout() {
                        state.lock().broken_calls.push(BrokenCall { id, sent_at });
                    }
                    false
                }
            }
        };
        // The end of a daemon also ends the request that makes the call, whose outcome is still recorded.
        tokio::spawn(call).await.unwrap_or(false)
    }
}

/// Returns the time that the nested call of a request at `path` takes, in milliseconds, if the path names one.
fn long_call_ms(path: &str) -> Option<u64> {
    let (_, call) = path.split_once(LONG_CALL_SEGMENT)?;
    call.split('/').next()?.parse().ok()
}
