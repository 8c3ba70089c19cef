use std::rc::Rc;

use ivytrail::{id::ContentDigest, mesh::queue::RootPriority};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::{JoinHandle, LocalSet},
};

use super::{idle_limit::NON_IDEMPOTENT_IDLE_LIMIT, *};

fn attempt() -> AttemptRequest {
    AttemptRequest {
        serial: 1,
        service: "tracker".into(),
        route: "track".into(),
        request_id: "r-1".into(),
        method: "GET".into(),
        target: "/track/1".into(),
        headers: vec![("host".into(), "site.example".into())],
        account: None,
        caller_service: "tracker".into(),
        is_idempotent: true,
        rank: 8,
        priority: RootPriority::of_route(0),
        root_age_us: 0,
        time_left_us: 1_000_000,
        max_wait_us: 0,
        fingerprint: ContentDigest::of_parts(&[b"request"]),
    }
}

/// Starts a server that answers one request with `prefix` and then with `filler` without end. The task returns the number
/// of bytes that it has written when its client closes the connection.
async fn start_endless_server(
    prefix: &'static str,
    filler: &'static str,
) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let task = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("the pool connects");
        let mut request = [0; 4_096];
        let n_read = stream.read(&mut request).await.expect("the pool sends a request");
        assert_ne!(n_read, 0, "the pool closed the connection without a request");
        let mut n_written = 0;
        let mut next = prefix;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            n_written += next.len();
            next = filler;
        }
        n_written
    });
    (address, task)
}

async fn run_at_endless_server(prefix: &'static str, filler: &'static str) -> (RunEnd, usize) {
    let run = async {
        let (address, server) = start_endless_server(prefix, filler).await;
        let pool = BackendPool::new(address);
        let time_left = Duration::from_secs(20);
        let report = pool.run(&attempt(), "server-1", Bytes::new(), time_left).await;
        let n_written = timeout(time_left, server).await.expect("the connection is closed");
        (report.end, n_written.expect("the server does not panic"))
    };
    LocalSet::new().run_until(run).await
}

/// Servers in trouble may send bytes without end; the run must fail and the connection must be closed.
#[tokio::test]
async fn a_response_head_without_end_breaks_the_run() {
    let (end, n_written) =
        run_at_endless_server("HTTP/1.1 200 OK\r\n", "x-filler: 0123456789\r\n").await;

    assert_eq!(end, RunEnd::Broken);
    assert!(n_written < 16 << 20, "{n_written} bytes");
}

#[tokio::test]
async fn a_header_line_without_end_breaks_the_run() {
    let (end, n_written) =
        run_at_endless_server("HTTP/1.1 200 OK\r\nx-filler: ", "0123456789").await;

    assert_eq!(end, RunEnd::Broken);
    assert!(n_written < 16 << 20, "{n_written} bytes");
}

#[tokio::test]
async fn bytes_without_end_that_are_no_response_break_the_run() {
    let (end, n_written) = run_at_endless_server("no response ", "no response ").await;

    assert_eq!(end, RunEnd::Broken);
    assert!(n_written < 16 << 20, "{n_written} bytes");
}

#[tokio::test]
async fn a_response_body_without_end_breaks_the_run() {
    let (end, n_written) = run_at_endless_server(
        "HTTP/1.1 200 OK\r\nx-ivytrail-request-id: r-1\r\n\r\n",
        "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
    )
    .await;

    assert_eq!(end, RunEnd::Broken);
    assert!(n_written < 80 << 20, "{n_written} bytes");
}

/// Regression test: each chunk of one byte occupied many times its size.
#[tokio::test]
async fn one_byte_chunks_without_end_break_the_run() {
    let (end, n_written) = run_at_endless_server(
        "HTTP/1.1 200 OK\r\nx-ivytrail-request-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n",
        "1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n",
    )
    .await;

    assert_eq!(end, RunEnd::Broken);
    assert!(n_written < 16 << 20, "{n_written} bytes");
}

/// Regression test: interim responses were read until the deadline.
#[tokio::test]
async fn interim_responses_without_end_break_the_run() {
    let (end, n_written) =
        run_at_endless_server("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n")
            .await;

    assert_eq!(end, RunEnd::Broken);
    assert!(n_written < 16 << 20, "{n_written} bytes");
}

#[tokio::test]
async fn a_chunk_size_without_end_breaks_the_run() {
    let (end, n_written) = run_at_endless_server(
        "HTTP/1.1 200 OK\r\nx-ivytrail-request-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n",
        "0000000000000000000000000000000000000000000000000000000000000000",
    )
    .await;

    assert_eq!(end, RunEnd::Broken);
    assert!(n_written < 16 << 20, "{n_written} bytes");
}

/// A server that drops idle connections after 320 ms must fail one request only, not one on each pooled connection.
#[test]
fn a_failed_request_lowers_the_idle_limit_of_all_connections() {
    let mut limit = IdleLimit::default();
    let is_allowed_at_first = limit.allows(Duration::from_millis(900), true);

    limit.record_failure(Duration::from_millis(400));

    assert!(is_allowed_at_first);
    assert!(!limit.allows(Duration::from_millis(330), true));
    assert!(limit.allows(NON_IDEMPOTENT_IDLE_LIMIT / 2, true));
}

#[test]
fn the_idle_limit_grows_again_over_time() {
    let mut limit = IdleLimit::default();
    limit.record_failure(Duration::from_millis(400));

    for _ in 0..60 {
        limit.grow();
    }

    assert_eq!(limit, IdleLimit::default());
}

#[test]
fn a_non_idempotent_request_reuses_only_recently_used_connections() {
    let limit = IdleLimit::default();

    assert!(!limit.allows(Duration::from_millis(300), false));
    assert!(limit.allows(Duration::from_millis(300), true));
}

/// Starts a server that answers the first request on each connection and ignores all further ones.
async fn start_forgetful_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::task::spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("the pool connects");
            tokio::task::spawn_local(async move {
                let mut request = [0; 4_096];
                let n_read = stream.read(&mut request).await.expect("the pool sends a request");
                assert_ne!(n_read, 0, "the pool closed the connection without a request");
                let response = "HTTP/1.1 200 OK\r\nx-ivytrail-request-id: r-1\r\n\
                    x-ivytrail-response-signature: s\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(response.as_bytes()).await.expect("the pool reads the response");
                while stream.read(&mut request).await.is_ok_and(|n_read| n_read != 0) {}
            });
        }
    });
    address
}

/// A connection that has been idle since a fault may be silent for good. Seconds after the fault, no request may be lost
/// on it.
#[tokio::test]
async fn a_request_is_not_sent_on_a_connection_that_has_been_idle_for_seconds() {
    let run = async {
        let pool = BackendPool::new(start_forgetful_server().await);
        let time_left = Duration::from_millis(800);
        let first = pool.run(&attempt(), "server-1", Bytes::new(), time_left).await;
        tokio::time::sleep(MAX_IDLE_TIME + Duration::from_millis(50)).await;
        let second = pool.run(&attempt(), "server-1", Bytes::new(), time_left).await;
        (first.end, second.end)
    };

    let (first, second) = LocalSet::new().run_until(run).await;

    assert!(matches!(first, RunEnd::Answered { status: 200, .. }), "{first:?}");
    assert!(matches!(second, RunEnd::Answered { status: 200, .. }), "{second:?}");
}

#[tokio::test]
async fn a_connection_is_closed_when_its_server_acknowledges_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let stream = TcpStream::connect(address).await.expect("the listener accepts");

    configure_socket(&stream).expect("the options are supported");

    let timeout = socket2::SockRef::from(&stream).tcp_user_timeout().expect("the option is set");
    assert_eq!(timeout, Some(UNACKNOWLEDGED_TIMEOUT));
}

/// Head and body of the response of a server that rejects a request, without the request's id.
const REJECTION: [&str; 2] = [
    "HTTP/1.1 503 Service Unavailable\r\nx-ivytrail-not-executed: 1\r\ncontent-length: 4\r\n\r\n",
    "full",
];

/// Starts a server that rejects the first request on each connection. It runs each later one, and before its answer writes
/// the rejection once more. Returns the number of runs as well.
async fn start_repeating_server() -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let n_runs = Rc::new(Cell::new(0));
    let counter = Rc::clone(&n_runs);
    tokio::task::spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("the pool connects");
            let counter = Rc::clone(&counter);
            tokio::task::spawn_local(async move {
                let mut request = [0; 4_096];
                let mut is_first = true;
                while stream.read(&mut request).await.is_ok_and(|n_read| n_read != 0) {
                    counter.set(counter.get() + usize::from(!std::mem::take(&mut is_first)));
                    for part in REJECTION {
                        // The pool may have closed the connection.
                        let _ = stream.write_all(part.as_bytes()).await;
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            });
        }
    });
    (address, n_runs)
}

/// A second copy of a rejection may arrive late, after the next request was sent. It must not pass for a rejection of that
/// request, which runs.
#[tokio::test]
async fn a_late_copy_of_a_rejection_does_not_reject_the_next_request() {
    for is_idempotent in [false, true] {
        let run = async {
            let (address, n_runs) = start_repeating_server().await;
            let pool = BackendPool::new(address);
            let attempt = AttemptRequest { is_idempotent, ..attempt() };
            let time_left = Duration::from_millis(800);
            let first = pool.run(&attempt, "server-1", Bytes::new(), time_left).await;
            let second = pool.run(&attempt, "server-1", Bytes::new(), time_left).await;
            (first.end, second.end, n_runs.get())
        };

        let (first, second, n_runs) = LocalSet::new().run_until(run).await;

        let rejected = RunEnd::Rejected { is_misdirected: false };
        assert_eq!((first, second), (rejected.clone(), rejected));
        assert_eq!(n_runs, 0, "runs reported as rejected; idempotent: {is_idempotent}");
    }
}

/// Starts a server that sends `response` to each request and then closes the connection.
async fn start_closing_server(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("the pool connects");
        let mut request = [0; 4_096];
        let n_read = stream.read(&mut request).await.expect("the pool sends a request");
        assert_ne!(n_read, 0, "the pool closed the connection without a request");
        stream.write_all(&response).await.expect("the pool reads the response");
        stream.shutdown().await.expect("the connection is open");
    });
    address
}

/// Returns how a run ends whose server closes the connection after each number of bytes of a response.
async fn ends_of_prefixes(response: &str) -> Vec<RunEnd> {
    let run = async {
        let mut ends = Vec::new();
        for n_sent in 0..=response.len() {
            let prefix = response.as_bytes()[..n_sent].to_vec();
            let pool = BackendPool::new(start_closing_server(prefix).await);
            let time_left = Duration::from_secs(5);
            ends.push(pool.run(&attempt(), "server-1", Bytes::new(), time_left).await.end);
        }
        ends
    };
    LocalSet::new().run_until(run).await
}

/// A server may stop anywhere in its response and close the connection. No part of a response may pass for all of it.
#[tokio::test]
async fn a_response_that_ends_early_is_never_complete() {
    let head =
        "HTTP/1.1 200 OK\r\nx-ivytrail-request-id: r-1\r\nx-ivytrail-response-signature: s\r\n";
    let responses = [
        format!("{head}content-length: 4\r\n\r\nbody"),
        format!("{head}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        format!("{head}content-length: 0\r\n\r\n"),
    ];
    for response in responses {
        let mut ends = ends_of_prefixes(&response).await;
        let complete = ends.pop();

        assert!(matches!(complete, Some(RunEnd::Answered { status: 200, .. })), "{complete:?}");
        for (n_sent, end) in ends.iter().enumerate() {
            assert_eq!(*end, RunEnd::Broken, "{n_sent} bytes of {response:?}");
        }
    }
}

/// Regression test: invalid statuses and that of an interim response reached clients as the server's response.
#[tokio::test]
async fn only_final_statuses_make_a_response() {
    let run = async {
        let mut ends = Vec::new();
        for status in 0..=999_u16 {
            let response = format!(
                "HTTP/1.1 {status:03} Text\r\nx-ivytrail-request-id: r-1\r\n\
                x-ivytrail-response-signature: s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            );
            let pool = BackendPool::new(start_closing_server(response.into_bytes()).await);
            let time_left = Duration::from_secs(5);
            ends.push(pool.run(&attempt(), "server-1", Bytes::new(), time_left).await.end);
        }
        ends
    };

    let ends = LocalSet::new().run_until(run).await;

    for (status, end) in ends.iter().enumerate() {
        match status {
            421 => assert_eq!(*end, RunEnd::Rejected { is_misdirected: true }),
            200..=599 => {
                let is_passed_on = matches!(end, RunEnd::Answered { status: passed, .. } if usize::from(*passed) == status);
                assert!(is_passed_on, "{status}: {end:?}");
            }
            _ => assert_eq!(*end, RunEnd::Broken, "{status}"),
        }
    }
}

/// Without a length, only the end of the connection ends the body; its head must still be whole.
#[tokio::test]
async fn a_response_without_a_length_is_incomplete_while_its_head_is() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let head = format!(
            "{version} 200 OK\r\nx-ivytrail-request-id: r-1\r\n\
            x-ivytrail-response-signature: s\r\nconnection: close\r\n\r\n"
        );

        let ends = ends_of_prefixes(&head).await;

        let n_broken = ends.iter().filter(|it| **it == RunEnd::Broken).count();
        assert_eq!(n_broken, head.len(), "{ends:?}");
    }
}

/// Starts a server that answers any number of requests on each connection. The returned count is that of its connections.
async fn start_counting_server() -> (SocketAddr, Rc<Cell<usize>>) {
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nx-ivytrail-request-id: r-1\r\n\
        x-ivytrail-response-signature: a.b\r\ncontent-length: 2\r\n\r\nok";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let n_connections = Rc::new(Cell::new(0));
    let count = Rc::clone(&n_connections);
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            tokio::task::spawn_local(async move {
                let mut request = [0; 4_096];
                while stream.read(&mut request).await.is_ok_and(|n_read| n_read != 0)
                    && stream.write_all(RESPONSE).await.is_ok()
                {}
            });
        }
    });
    (address, n_connections)
}

/// Connections to a server that another one has replaced may stay open without a response.
#[tokio::test]
async fn a_connection_to_an_earlier_server_is_not_reused() {
    let run = async {
        let (address, n_connections) = start_counting_server().await;
        let pool = BackendPool::new(address);
        let mut counts = Vec::new();
        for server_id in ["server-1", "server-1", "server-2", "server-2"] {
            let time_left = Duration::from_secs(1);
            let report = pool.run(&attempt(), server_id, Bytes::new(), time_left).await;
            assert!(matches!(report.end, RunEnd::Answered { status: 200, .. }), "{report:?}");
            counts.push(n_connections.get());
        }
        counts
    };

    let counts = LocalSet::new().run_until(run).await;

    assert_eq!(counts, [1, 1, 2, 2]);
}
