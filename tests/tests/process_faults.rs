//! Killed, frozen and leaving daemons, and a platform that fails, under load: no request is doubled, lost, misreported
//! or crossed.

use std::time::Duration;

use anyhow::{Context, Result};
use ivytrail_fakes::{
    caller::AttemptResult, cluster::MeshCluster, platform::PlatformFaults, process::ChildSignal,
};
use ivytrail_tests::mesh::{BackgroundLoad, MESH_TURN, PATIENCE, TestCaller, kind, small_mesh};
use tokio::time::Instant;

/// Length of the load beside each fault.
const LOAD_LENGTH: Duration = Duration::from_secs(8);

/// Time for which a daemon is frozen: longer than any of its leases.
const FREEZE: Duration = Duration::from_secs(6);

/// Seed of the load.
const SEED: u64 = 11;

async fn check_clean(load: BackgroundLoad, cluster: &MeshCluster) -> Result<()> {
    let (records, verdict) = load.judge(cluster).await?;
    assert!(verdict.is_clean(), "{verdict:?} of {} requests", records.len());
    Ok(())
}

#[tokio::test]
async fn a_killed_daemon_harms_no_request() -> Result<()> {
    let _turn = MESH_TURN.lock().await;
    let mut cluster = small_mesh().await?;
    let load = BackgroundLoad::start(&cluster, LOAD_LENGTH, SEED);

    tokio::time::sleep(LOAD_LENGTH / 4).await;
    let mut daemon = cluster.nodes[0].daemon.take().context("the daemon runs")?;
    daemon.kill()?;

    check_clean(load, &cluster).await?;
    let look = kind(&cluster, "look");
    TestCaller::new(&cluster)?.send_until_whole(cluster.entries()[0], &look).await
}

#[tokio::test]
async fn a_frozen_daemon_harms_no_request_and_serves_again() -> Result<()> {
    let _turn = MESH_TURN.lock().await;
    let cluster = small_mesh().await?;
    let load = BackgroundLoad::start(&cluster, LOAD_LENGTH, SEED);
    let daemon = cluster.nodes[0].daemon.as_ref().context("the daemon runs")?;

    daemon.signal(ChildSignal::Stop)?;
    tokio::time::sleep(FREEZE).await;
    daemon.signal(ChildSignal::Continue)?;

    check_clean(load, &cluster).await?;
    let book = kind(&cluster, "book");
    TestCaller::new(&cluster)?.send_until_whole(cluster.entries()[0], &book).await
}

#[tokio::test]
async fn a_platform_outage_with_lost_answers_harms_no_request() -> Result<()> {
    let _turn = MESH_TURN.lock().await;
    let cluster = small_mesh().await?;
    let load = BackgroundLoad::start(&cluster, LOAD_LENGTH, SEED);

    cluster.set_faults(&PlatformFaults { lose_share: 0.5, ..PlatformFaults::default() }).await?;
    tokio::time::sleep(LOAD_LENGTH / 4).await;
    cluster.set_faults(&PlatformFaults { down: true, ..PlatformFaults::default() }).await?;
    tokio::time::sleep(LOAD_LENGTH / 2).await;
    cluster.set_faults(&PlatformFaults::default()).await?;

    check_clean(load, &cluster).await?;
    let book = kind(&cluster, "book");
    let caller = TestCaller::new(&cluster)?;
    for entry in cluster.entries() {
        caller.send_until_whole(entry, &book).await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_leaving_daemon_cuts_no_request() -> Result<()> {
    let _turn = MESH_TURN.lock().await;
    let mut cluster = small_mesh().await?;
    let caller = TestCaller::new(&cluster)?;
    let look = kind(&cluster, "look");
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
    // Each request has taken effect and waits for its answer when the daemon is asked to leave.
    let limit = Instant::now() + PATIENCE;
    while cluster.effects()?.total("launch") < 4 + effects_of_probes(&cluster)? {
        assert!(Instant::now() < limit, "the requests don't run");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut daemon = cluster.nodes[0].daemon.take().context("the daemon runs")?;
    daemon.signal(ChildSignal::Terminate)?;

    for task in tasks {
        assert_eq!(task.await?, AttemptResult::Complete);
    }
    assert_eq!(daemon.wait_for_exit(PATIENCE).await, Some(true));
    Ok(())
}

fn effects_of_probes(cluster: &MeshCluster) -> Result<u64> {
    Ok(u64::from(cluster.effects()?.count("launch", "probe")))
}

#[tokio::test]
async fn of_two_operators_with_the_same_base_one_is_told_to_look_again() -> Result<()> {
    let _turn = MESH_TURN.lock().await;
    let cluster = small_mesh().await?;
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

    assert_eq!(accepted, 1, "both operators were told that their change is in force");
    Ok(())
}
