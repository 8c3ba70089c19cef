//! Accepts connections, with a delay after failures.

use std::{io, time::Duration};

/// Delay after a failed accept. Without it, a process that has no descriptors left would accept in a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Returns the next connection that `accept` returns, and logs its failures.
pub(super) async fn accept_next<A, F, C>(mut accept: A) -> C
where
    A: FnMut() -> F,
    F: Future<Output = io::Result<C>>,
{
    loop {
        match accept().await {
            Ok(connection) => return connection,
            Err(cause) => {
                log::warn!("event=accept_failed cause={:?}", cause.to_string());
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
