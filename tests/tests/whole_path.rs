//! End-to-end tests with the real programs: API keys, nested calls, truncated and late responses.

use anyhow::Result;
use ivytrail_fakes::{caller::AttemptResult, cluster::initial_key_name};
use ivytrail_tests::mesh::{CONDITION_TIMEOUT, MESH_LOCK, TestCaller, call_kind, start_small_mesh};
use tokio::time::Instant;

#[tokio::test]
async fn each_entry_responds_completely_and_each_request_runs_once() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let cluster = start_small_mesh().await?;
    let caller = TestCaller::new(&cluster)?;
    let book = call_kind(&cluster, "book");

    for (idx, entry) in cluster.entries().into_iter().enumerate() {
        let end = caller.send(entry, &book, &format!("once-{idx}"), &[]).await;
        assert_eq!(end, AttemptResult::Complete, "at entry {idx}");
    }

    let effects = cluster.effects()?;
    for idx in 0..cluster.nodes.len() {
        let serial = format!("once-{idx}");
        assert_eq!((effects.count("booking", &serial), effects.count("launch", &serial)), (1, 1));
    }
    let keys_seen: u64 = cluster.run_logs().await.iter().map(|log| log.keys_seen).sum();
    assert_eq!(keys_seen, 0, "a backend server received a caller's API key");
    Ok(())
}

#[tokio::test]
async fn a_wrong_key_runs_nothing() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let cluster = start_small_mesh().await?;
    let caller = TestCaller::new(&cluster)?.with_secret("not-a-key");
    let (look, book) = (call_kind(&cluster, "look"), call_kind(&cluster, "book"));

    let looked = caller.send(cluster.entries()[0], &look, "wrong-key", &[]).await;
    let booked = caller.send(cluster.entries()[0], &book, "wrong-key", &[]).await;

    let AttemptResult::NotRun { reason, .. } = looked else { panic!("ended with {looked:?}") };
    assert_eq!(reason, "bad-key");
    // With an idempotency key, the response also covers earlier requests with the same key. A daemon that can't identify
    // the client account can't rule out that one of them has run.
    let (AttemptResult::NotRun { reason, .. } | AttemptResult::Unknown { reason }) = booked else {
        panic!("ended with {booked:?}")
    };
    assert_eq!(reason, "bad-key");
    assert_eq!(cluster.effects()?.count("launch", "wrong-key"), 0);
    assert_eq!(cluster.effects()?.count("booking", "wrong-key"), 0);
    Ok(())
}

#[tokio::test]
async fn a_truncated_response_has_an_unknown_outcome_and_runs_once() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let cluster = start_small_mesh().await?;
    let caller = TestCaller::new(&cluster)?;
    let book = call_kind(&cluster, "book");

    let end = caller.send(cluster.entries()[0], &book, "cut", &[("x-truncate", "1")]).await;

    assert!(matches!(end, AttemptResult::Unknown { .. }), "ended with {end:?}");
    assert_eq!(cluster.effects()?.count("booking", "cut"), 1);
    Ok(())
}

#[tokio::test]
async fn a_late_response_reaches_no_other_request() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let cluster = start_small_mesh().await?;
    let caller = TestCaller::new(&cluster)?;
    let book = call_kind(&cluster, "book");
    let entry = cluster.entries()[0];

    let late = caller.send(entry, &book, "late", &[("x-late-ms", "3000")]).await;
    let mut ends = Vec::new();
    for idx in 0..20 {
        ends.push(caller.send(entry, &book, &format!("after-late-{idx}"), &[]).await);
    }

    assert!(matches!(late, AttemptResult::Unknown { .. }), "ended with {late:?}");
    assert!(ends.iter().all(|end| *end != AttemptResult::Crossed), "{ends:?}");
    assert!(ends.contains(&AttemptResult::Complete), "{ends:?}");
    assert_eq!(cluster.effects()?.count("booking", "late"), 1, "ended with {late:?}");
    Ok(())
}

#[tokio::test]
async fn a_withdrawn_key_is_rejected_on_an_open_connection() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let cluster = start_small_mesh().await?;
    let caller = TestCaller::new(&cluster)?;
    let look = call_kind(&cluster, "look");
    let entry = cluster.entries()[1];
    let account = cluster.secrets.keys().next().expect("the mesh has keys");
    let before = caller.send(entry, &look, "before", &[]).await;

    cluster.operator_cli()?.withdraw_key(&initial_key_name(account))?;
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !is_bad_key(&caller.send(entry, &look, "withdrawn", &[]).await) {
        assert!(Instant::now() < deadline, "the withdrawn API key is still accepted");
    }

    assert_eq!(before, AttemptResult::Complete);
    for idx in 0..20 {
        let end = caller.send(entry, &look, &format!("after-{idx}"), &[]).await;
        assert!(is_bad_key(&end), "the withdrawn API key is accepted again: {end:?}");
    }
    Ok(())
}

fn is_bad_key(end: &AttemptResult) -> bool {
    matches!(end, AttemptResult::NotRun { reason, .. } if reason == "bad-key")
}
