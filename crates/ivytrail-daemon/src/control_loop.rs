//! What the daemon does with the platform: joins, finds first peers, reads settings, follows and writes rings.

use std::time::Duration;

use ivytrail::{
    id::RingName,
    lease::RingDefinition,
    membership::{MemberRecord, MemberView},
    platform::{RowWrite, TableRead, TableRow, TableTransaction, TransactionResult, VersionCheck},
    reducer::{DaemonEvent, DaemonReducer, FleetUpdate, SettingsReading},
    settings::{
        Revision,
        rows::{CHANGES_PER_READ, changes_read, decode_changes, decode_head},
        snapshot::{SnapshotReader, SnapshotStep},
    },
};
use rand::RngExt;
use tokio::{sync::mpsc::UnboundedReceiver, task::JoinHandle};

use crate::{executor::EffectExecutor, platform_client::PlatformClient};

/// Time between two readings of members and rings while this daemon knows no peer or lacks a ring.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two readings afterwards; what changes meanwhile comes from other daemons.
const REVIEW_INTERVAL: Duration = Duration::from_secs(120);
/// Time for which a daemon searches after its start, so that those that start with it are found.
const SEARCH_TIME: Duration = Duration::from_secs(4);
/// Rows of members that are read to find first peers.
const FIRST_PEER_ROWS: usize = 16;
/// Prefix of the rows that hold the rings' definitions.
const RING_PREFIX: &str = "ring/";

/// What the reducer asks of the platform.
#[derive(Clone, Debug)]
pub enum PlatformRequest {
    /// Writes a ring's next definition, if the epoch before it is current.
    WriteRing(RingDefinition),
    /// Reads the head and the changes after a revision.
    ReadChanges {
        /// The revision in force here.
        after: Revision,
    },
    /// Reads the whole settings tree.
    ReadTree,
}

/// Starts the loops.
pub fn spawn(
    executor: &EffectExecutor,
    platform: &PlatformClient,
    requests: UnboundedReceiver<PlatformRequest>,
) -> Vec<JoinHandle<()>> {
    let (server, server_platform) = (executor.clone(), platform.clone());
    let (searcher, searcher_platform) = (executor.clone(), platform.clone());
    vec![
        tokio::spawn(async move { serve_requests(server, server_platform, requests).await }),
        tokio::spawn(async move { search(searcher, &searcher_platform).await }),
    ]
}

/// Removes this daemon's row from the platform's table.
pub async fn leave(executor: &EffectExecutor, platform: &PlatformClient) {
    let member = executor.shell().inspect(|it| it.local_record().clone());
    let key = MemberView::row_key(&member.member.instance);
    let write = RowWrite { key, value: serde_json::Value::Null };
    let transaction = TableTransaction { checks: Vec::new(), writes: vec![write] };
    if let Err(cause) = platform.transact(&transaction).await {
        log::warn!("event=leave_not_recorded cause={:?}", cause.to_string());
    }
}

/// Joins, and reads members and rings: often while something is missing, rarely afterwards.
async fn search(executor: EffectExecutor, platform: &PlatformClient) {
    let started = tokio::time::Instant::now();
    let mut has_joined = false;
    loop {
        if !has_joined {
            has_joined = join(&executor, platform).await.is_ok();
        }
        if let Err(cause) = read_fleet(&executor, platform).await {
            log::warn!("event=fleet_not_read cause={:?}", format!("{cause:#}"));
        }
        let is_missing = !has_joined || executor.shell().inspect(DaemonReducer::needs_discovery);
        let is_searching = is_missing || started.elapsed() < SEARCH_TIME;
        let pause = if is_searching { SEARCH_INTERVAL } else { REVIEW_INTERVAL };
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

async fn join(executor: &EffectExecutor, platform: &PlatformClient) -> anyhow::Result<()> {
    let record = executor.shell().inspect(|it| it.local_record().clone());
    let key = MemberView::row_key(&record.member.instance);
    let write = RowWrite { key, value: serde_json::to_value(&record)? };
    platform.transact(&TableTransaction { checks: Vec::new(), writes: vec![write] }).await?;
    Ok(())
}

async fn read_fleet(executor: &EffectExecutor, platform: &PlatformClient) -> anyhow::Result<()> {
    let instance = executor.shell().inspect(|it| it.local_record().member.instance.clone());
    let ranges = MemberView::first_peer_ranges(&instance, FIRST_PEER_ROWS).to_vec();
    let rings = executor.shell().inspect(|it| it.ring_names().cloned().collect::<Vec<_>>());
    let keys = rings.iter().map(ring_key).collect();
    let rows = platform.read(&TableRead { keys, ranges }).await?.rows;
    for name in rings {
        if !rows.iter().any(|row| row.key == ring_key(&name)) {
            executor.apply(DaemonEvent::FleetUpdated(FleetUpdate::RingAbsent(name)));
        }
    }
    for row in rows {
        executor.apply(DaemonEvent::FleetUpdated(fact_in(row)?));
    }
    Ok(())
}

fn fact_in(row: TableRow) -> anyhow::Result<FleetUpdate> {
    Ok(match row.key.starts_with(RING_PREFIX) {
        true => FleetUpdate::Ring(serde_json::from_value::<RingDefinition>(row.value)?),
        false => FleetUpdate::Member(serde_json::from_value::<MemberRecord>(row.value)?),
    })
}

/// Carries out the reducer's requests; each one in a task of its own, since the platform may be slow.
async fn serve_requests(
    executor: EffectExecutor,
    platform: PlatformClient,
    mut requests: UnboundedReceiver<PlatformRequest>,
) {
    while let Some(request) = requests.recv().await {
        let (executor, platform) = (executor.clone(), platform.clone());
        tokio::spawn(async move {
            let result = match request {
                PlatformRequest::WriteRing(it) => write_ring(&executor, &platform, it).await,
                PlatformRequest::ReadChanges { after } => {
                    read_changes(&executor, &platform, after).await
                }
                PlatformRequest::ReadTree => read_tree(&executor, &platform).await,
            };
            if let Err(cause) = result {
                log::warn!("event=platform_request_failed cause={:?}", format!("{cause:#}"));
            }
        });
    }
}

async fn read_changes(
    executor: &EffectExecutor,
    platform: &PlatformClient,
    after: Revision,
) -> anyhow::Result<()> {
    let sent_at = executor.shell().now();
    let rows = platform.read(&changes_read(after, CHANGES_PER_READ)).await?;
    let reading =
        SettingsReading::Changes { head: decode_head(&rows)?, changes: decode_changes(&rows)? };
    executor.apply(DaemonEvent::SettingsRead { sent_at, reading });
    Ok(())
}

async fn read_tree(executor: &EffectExecutor, platform: &PlatformClient) -> anyhow::Result<()> {
    let sent_at = executor.shell().now();
    let (mut reading, mut read) = SnapshotReader::start();
    loop {
        match reading.on_rows(&platform.read(&read).await?)? {
            SnapshotStep::Read(next) => read = next,
            SnapshotStep::Done(tree) => {
                let reading = SettingsReading::Tree(tree);
                executor.apply(DaemonEvent::SettingsRead { sent_at, reading });
                return Ok(());
            }
        }
    }
}

async fn write_ring(
    executor: &EffectExecutor,
    platform: &PlatformClient,
    definition: RingDefinition,
) -> anyhow::Result<()> {
    let key = ring_key(&definition.name);
    let read = TableRead { keys: vec![key.clone()], ranges: Vec::new() };
    let row = platform.read(&read).await?.rows.into_iter().next();
    let version = row.as_ref().map_or(0, |it| it.version);
    let current = row.map(|it| serde_json::from_value::<RingDefinition>(it.value)).transpose()?;
    let current_epoch = current.as_ref().map_or(0, |it| it.epoch);
    if current_epoch + 1 != definition.epoch {
        if let Some(current) = current {
            executor.apply(DaemonEvent::FleetUpdated(FleetUpdate::Ring(current)));
        }
        return Ok(());
    }
    let write = RowWrite { key: key.clone(), value: serde_json::to_value(&definition)? };
    let checks = vec![VersionCheck { key, version }];
    let transaction = TableTransaction { checks, writes: vec![write] };
    // A lost answer needs no care: whoever reads the row next learns what it says.
    if platform.transact(&transaction).await? == TransactionResult::Applied {
        log::info!(
            "event=ring_changed ring={} epoch={} members={}",
            definition.name,
            definition.epoch,
            definition.members.len()
        );
        executor.apply(DaemonEvent::FleetUpdated(FleetUpdate::Ring(definition)));
    }
    Ok(())
}

fn ring_key(name: &RingName) -> String {
    format!("{RING_PREFIX}{name}")
}
