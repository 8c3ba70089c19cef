use std::cell::Cell;

use tokio::time::Instant;

use super::*;

/// The first accepts fail, as they do while the process has no free descriptors.
#[tokio::test]
async fn failed_accepts_are_retried_with_a_delay() {
    let n_accepts = Cell::new(0);
    let started = Instant::now();

    let connection = accept_next(|| {
        n_accepts.set(n_accepts.get() + 1);
        let n_accept = n_accepts.get();
        async move {
            match n_accept {
                1..=3 => Err(io::Error::other("too many open files")),
                n_accept => Ok(n_accept),
            }
        }
    })
    .await;

    assert_eq!(connection, 4);
    assert!(3 * ACCEPT_BACKOFF <= started.elapsed(), "{:?}", started.elapsed());
}
