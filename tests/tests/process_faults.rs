//! Killed, suspended and draining daemons and platform outages under load: no request runs twice, is lost, is reported
//! with a wrong outcome or receives the response to another request.

use std::time::Duration;

use anyhow::{Context, Result};
use ivytrail_fakes::{
    caller::AttemptResult, cluster::MeshCluster, platform::PlatformFaults, process::ChildSignal,
};
use ivytrail_tests::mesh::{
    BackgroundLoad, CONDITION_TIMEOUT, MESH_LOCK, TestCaller, call_kind, start_small_mesh,
};
use tokio::time::Instant;

/// Duration of the background load during each fault.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Time for which a daemon is suspended; longer than any of its leases.
const SUSPENSION: Duration = Duration::from_secs(6);

/// Seed of the background load.
const SEED: u64 = 11;

async fn assert_consistent(load: BackgroundLoad, cluster: &MeshCluster) -> Result<()> {
    let (records, report) = load.finish_and_check(cluster).await?;
    assert!(report.is_clean(), "{report:?} of {} requests", records.len());
    Ok(())
}

#[tokio::test]
async fn a_killed_daemon_affects_no_request_outcome() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let mut cluster = start_small_mesh().await?;
    let load = BackgroundLoad::start(&cluster, LOAD_DURATION, SEED);

    tokio::time::sleep(LOAD_DURATION / 4).await;
    let mut daemon = cluster.nodes[0].daemon.take().context("the daemon runs")?;
    daemon.kill()?;

    assert_consistent(load, &cluster).await?;
    let look = call_kind(&cluster, "look");
    TestCaller::new(&cluster)?.send_until_complete(cluster.entries()[0], &look).await
}

#[tokio::test]
async fn a_suspended_daemon_affects_no_request_outcome_and_serves_again() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let cluster = start_small_mesh().await?;
    let load = BackgroundLoad::start(&cluster, LOAD_DURATION, SEED);
    let daemon = cluster.nodes[0].daemon.as_ref().context("the daemon runs")?;

    daemon.signal(ChildSignal::Stop)?;
    tokio::time::sleep(SUSPENSION).await;
    daemon.signal(ChildSignal::Continue)?;

    assert_consistent(load, &cluster).await?;
    let book = call_kind(&cluster, "book");
    TestCaller::new(&cluster)?.send_until_complete(cluster.entries()[0], &book).await
}

#[tokio::test]
async fn a_platform_outage_with_lost_responses_affects_no_request_outcome() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let cluster = start_small_mesh().await?;
    let load = BackgroundLoad::start(&cluster, LOAD_DURATION, SEED);

    cluster.set_faults(&PlatformFaults { lose_share: 0.5, ..PlatformFaults::default() }).await?;
    tokio::time::sleep(LOAD_DURATION / 4).await;
    cluster.set_faults(&PlatformFaults { down: true, ..PlatformFaults::default() }).await?;
    tokio::time::sleep(LOAD_DURATION / 2).await;
    cluster.set_faults(&PlatformFaults::default()).await?;

    assert_consistent(load, &cluster).await?;
    let book = call_kind(&cluster, "book");
    let caller = TestCaller::new(&cluster)?;
    for entry in cluster.entries() {
        caller.send_until_complete(entry, &book).await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_draining_daemon_completes_its_requests() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let mut cluster = start_small_mesh().await?;
    let caller = TestCaller::new(&cluster)?;
    let look = call_kind(&cluster, "look");
    let entry = cluster.nodes[0].addresses.caller;

    let tasks: Vec<_> = (0..4)
        .map(|idx| {
            let (caller, look) = (caller.clone(), look.clone());
            let late = [("x-late-ms", "700")];
            tokio::spawn(
                async move { caller.send(entry, &look, &format!("run-{idx}"), &late).await },
            )
        })
        .collect();
    // SIGTERM arrives after every request has taken effect and before any of them is answered.
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while cluster.effects()?.total("launch") < 4 + effects_of_probes(&cluster)? {
        assert!(Instant::now() < deadline, "the requests have not run in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut daemon = cluster.nodes[0].daemon.take().context("the daemon runs")?;
    daemon.signal(ChildSignal::Terminate)?;

    for task in tasks {
        assert_eq!(task.await?, AttemptResult::Complete);
    }
    assert_eq!(daemon.wait_for_exit(CONDITION_TIMEOUT).await, Some(true));
    Ok(())
}

fn effects_of_probes(cluster: &MeshCluster) -> Result<u64> {
    Ok(u64::from(cluster.effects()?.count("launch", "probe")))
}

#[tokio::test]
async fn of_two_changes_with_the_same_base_version_one_is_rejected() -> Result<()> {
    let _lock = MESH_LOCK.lock().await;
    let cluster = start_small_mesh().await?;
    let tool = cluster.operator_cli()?;
    let base = "1";
    let mut children = Vec::new();
    for rate in [100.0, 200.0] {
        let mut subtree = cluster.mesh.subtree();
        for account in subtree.accounts.values_mut() {
            account.rate_per_s = rate;
        }
        let dir = cluster.dir().join(format!("operator-{rate}"));
        std::fs::create_dir_all(&dir)?;
        let file = dir.join("pair.json");
        std::fs::write(&file, serde_json::to_string(&subtree)?)?;
        let mut command = tool.command(&["apply", "--base", base, &file.to_string_lossy()]);
        children.push(command.spawn()?);
    }

    let mut accepted = 0;
    for mut child in children {
        accepted += u32::from(child.wait()?.success());
    }

    assert_eq!(accepted, 1, "not exactly one of the two changes was accepted");
    Ok(())
}
