//! Background tasks that use the platform: membership, discovery of peers and rings, and the settings.

use std::time::Duration;

use ivytrail::{
    id::RingName,
    lease::RingDefinition,
    membership::{MemberRecord, MemberView},
    platform::{RowWrite, TableRead, TableRow, TableTransaction, TransactionResult, VersionCheck},
    reducer::{DaemonEvent, DaemonReducer, FleetUpdate, SettingsReading},
    settings::{
        Revision,
        rows::{CHANGES_PER_READ, changes_read_with_base, decode_changes, decode_head},
        snapshot::{SnapshotReader, SnapshotStep},
    },
};
use rand::RngExt;
use tokio::{sync::mpsc::UnboundedReceiver, task::JoinHandle};

use crate::{executor::EffectExecutor, platform_client::PlatformClient};

/// Interval between reads of members and rings during discovery, while no peer is known or a ring's definition is
/// missing.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads after discovery; changes in the meantime arrive from other daemons.
const REFRESH_INTERVAL: Duration = Duration::from_secs(120);
/// Minimum duration of discovery after the start, so that daemons that start at the same time are found.
const MIN_DISCOVERY_TIME: Duration = Duration::from_secs(4);
/// Number of rows that are read from each range of members to discover peers.
const DISCOVERY_ROWS: usize = 16;
/// Prefix of the table keys of ring definitions.
const RING_KEY_PREFIX: &str = "ring/";

/// A request of the reducer to the platform.
#[derive(Clone, Debug)]
pub enum PlatformRequest {
    /// Writes a ring definition if the stored one has the preceding epoch.
    WriteRing(RingDefinition),
    /// Reads the head revision and the changes after a given revision.
    ReadChanges {
        /// The daemon's current revision.
        after: Revision,
    },
    /// Reads the entire settings tree.
    ReadTree,
}

/// Spawns the tasks that execute `requests` and run discovery.
pub fn spawn(
    executor: &EffectExecutor,
    platform: &PlatformClient,
    requests: UnboundedReceiver<PlatformRequest>,
) -> Vec<JoinHandle<()>> {
    let (request_executor, request_platform) = (executor.clone(), platform.clone());
    let (discovery_executor, discovery_platform) = (executor.clone(), platform.clone());
    vec![
        tokio::spawn(
            async move { serve_requests(request_executor, request_platform, requests).await },
        ),
        tokio::spawn(async move { run_discovery(discovery_executor, &discovery_platform).await }),
    ]
}

/// Deletes the row of this daemon from the platform's table; a failure is only logged.
pub async fn remove_member_row(executor: &EffectExecutor, platform: &PlatformClient) {
    let member = executor.driver().inspect(|it| it.local_record().clone());
    let key = MemberView::row_key(&member.member.instance);
    let write = RowWrite { key, value: serde_json::Value::Null };
    let transaction = TableTransaction { checks: Vec::new(), writes: vec![write] };
    if let Err(cause) = platform.transact(&transaction).await {
        log::warn!("event=leave_not_recorded cause={:?}", cause.to_string());
    }
}

/// Writes the row of this daemon, then reads members and rings periodically: often during discovery, rarely afterwards.
async fn run_discovery(executor: EffectExecutor, platform: &PlatformClient) {
    let started = tokio::time::Instant::now();
    let mut has_joined = false;
    loop {
        if !has_joined {
            has_joined = join(&executor, platform).await.is_ok();
        }
        if let Err(cause) = read_fleet(&executor, platform).await {
            log::warn!("event=fleet_not_read cause={:?}", format!("{cause:#}"));
        }
        let is_incomplete =
            !has_joined || executor.driver().inspect(DaemonReducer::needs_discovery);
        let is_discovering = is_incomplete || started.elapsed() < MIN_DISCOVERY_TIME;
        let delay = if is_discovering { DISCOVERY_INTERVAL } else { REFRESH_INTERVAL };
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::time::sleep(delay.mul_f64(jitter)).await;
    }
}

async fn join(executor: &EffectExecutor, platform: &PlatformClient) -> anyhow::Result<()> {
    let record = executor.driver().inspect(|it| it.local_record().clone());
    let key = MemberView::row_key(&record.member.instance);
    let write = RowWrite { key, value: serde_json::to_value(&record)? };
    platform.transact(&TableTransaction { checks: Vec::new(), writes: vec![write] }).await?;
    Ok(())
}

async fn read_fleet(executor: &EffectExecutor, platform: &PlatformClient) -> anyhow::Result<()> {
    let instance = executor.driver().inspect(|it| it.local_record().member.instance.clone());
    let ranges = MemberView::first_peer_ranges(&instance, DISCOVERY_ROWS).to_vec();
    let rings = executor.driver().inspect(|it| it.ring_names().cloned().collect::<Vec<_>>());
    let keys = rings.iter().map(ring_key).collect();
    let rows = platform.read(&TableRead { keys, ranges }).await?.rows;
    for name in rings {
        if !rows.iter().any(|row| row.key == ring_key(&name)) {
            executor.apply(DaemonEvent::FleetUpdated(FleetUpdate::RingAbsent(name)));
        }
    }
    for row in rows {
        executor.apply(DaemonEvent::FleetUpdated(parse_row(row)?));
    }
    Ok(())
}

fn parse_row(row: TableRow) -> anyhow::Result<FleetUpdate> {
    Ok(match row.key.starts_with(RING_KEY_PREFIX) {
        true => FleetUpdate::Ring(serde_json::from_value::<RingDefinition>(row.value)?),
        false => FleetUpdate::Member(serde_json::from_value::<MemberRecord>(row.value)?),
    })
}

/// Executes the reducer's requests, each in a separate task because the platform may be slow.
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
    let sent_at = executor.driver().now();
    let rows = platform.read(&changes_read_with_base(after, CHANGES_PER_READ)).await?;
    let reading =
        SettingsReading::Changes { head: decode_head(&rows)?, changes: decode_changes(&rows)? };
    executor.apply(DaemonEvent::SettingsRead { sent_at, reading });
    Ok(())
}

async fn read_tree(executor: &EffectExecutor, platform: &PlatformClient) -> anyhow::Result<()> {
    let sent_at = executor.driver().now();
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
    // A lost response needs no retry: the next read of the row returns the stored definition.
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
    format!("{RING_KEY_PREFIX}{name}")
}
