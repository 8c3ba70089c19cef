//! What the daemon does with the platform: joins, finds first peers, follows the settings and the rings.

use std::time::Duration;

use ivytrail::{
    id::RingName,
    lease::RingDefinition,
    membership::{MemberRecord, MemberView},
    platform::{RowWrite, TableRead, TableRow, TableTransaction, TransactionResult, VersionCheck},
    reducer::{DaemonEvent, DaemonReducer, LearnedFact},
    settings::{
        SettingsChange,
        rows::{CHANGES_PER_READ, changes_read},
    },
};
use tokio::{sync::mpsc::UnboundedReceiver, task::JoinHandle};

use crate::{executor::EffectExecutor, platform_client::PlatformClient};

/// Time between two readings of the settings.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a reading confirms the settings.
const CONFIRMATION: Duration = Duration::from_secs(3);
/// Rows of members that are read to find first peers.
const FIRST_PEER_ROWS: usize = 16;
/// Prefix of the rows that hold the rings' definitions.
const RING_PREFIX: &str = "ring/";

/// Starts the loops.
pub fn spawn(
    executor: &EffectExecutor,
    platform: &PlatformClient,
    proposals: UnboundedReceiver<RingDefinition>,
) -> Vec<JoinHandle<()>> {
    let (writer, writer_platform) = (executor.clone(), platform.clone());
    let (follower, follower_platform) = (executor.clone(), platform.clone());
    vec![
        tokio::spawn(async move { propose(writer, &writer_platform, proposals).await }),
        tokio::spawn(async move { follow(follower, &follower_platform).await }),
    ]
}

/// Removes this daemon's row from the platform's table.
pub async fn leave(executor: &EffectExecutor, platform: &PlatformClient) {
    let member = executor.shell().inspect(|it| it.own_record().clone());
    let key = MemberView::row_key(&member.member.instance);
    let write = RowWrite { key, value: serde_json::Value::Null };
    let transaction = TableTransaction { checks: Vec::new(), writes: vec![write] };
    if let Err(cause) = platform.transact(&transaction).await {
        log::warn!("event=leave_not_recorded cause={:?}", cause.to_string());
    }
}

async fn follow(executor: EffectExecutor, platform: &PlatformClient) {
    let mut has_joined = false;
    loop {
        if !has_joined {
            has_joined = join(&executor, platform).await.is_ok();
        }
        if let Err(cause) = poll(&executor, platform).await {
            log::warn!("event=platform_unreachable cause={:?}", format!("{cause:#}"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn join(executor: &EffectExecutor, platform: &PlatformClient) -> anyhow::Result<()> {
    let record = executor.shell().inspect(|it| it.own_record().clone());
    let key = MemberView::row_key(&record.member.instance);
    let write = RowWrite { key, value: serde_json::to_value(&record)? };
    let transaction = TableTransaction { checks: Vec::new(), writes: vec![write] };
    platform.transact(&transaction).await?;
    Ok(())
}

async fn poll(executor: &EffectExecutor, platform: &PlatformClient) -> anyhow::Result<()> {
    let asked_at = executor.shell().now();
    let instance = executor.shell().inspect(|it| it.own_record().member.instance.clone());
    let mut ranges = MemberView::first_peer_ranges(&instance, FIRST_PEER_ROWS).to_vec();
    let revision = executor.shell().inspect(DaemonReducer::revision);
    ranges.extend(changes_read(revision, CHANGES_PER_READ).ranges);
    let rings = executor.shell().inspect(|it| it.ring_names().cloned().collect::<Vec<_>>());
    let keys = rings.iter().map(ring_key).collect();
    let rows = platform.read(&TableRead { keys, ranges }).await?;
    let mut changes = Vec::new();
    for name in rings {
        if !rows.rows.iter().any(|row| row.key == ring_key(&name)) {
            executor.apply(DaemonEvent::ControlLearned(LearnedFact::RingAbsent(name)));
        }
    }
    for row in rows.rows {
        take_row(executor, row, &mut changes)?;
    }
    executor.apply(DaemonEvent::ChangesLearned(changes));
    executor.apply(DaemonEvent::AuthorityConfirmed { until: asked_at.plus(CONFIRMATION) });
    Ok(())
}

fn take_row(
    executor: &EffectExecutor,
    row: TableRow,
    changes: &mut Vec<SettingsChange>,
) -> anyhow::Result<()> {
    match row.key.split_once('/') {
        Some(("member", _)) => {
            let record: MemberRecord = serde_json::from_value(row.value)?;
            executor.apply(DaemonEvent::ControlLearned(LearnedFact::Member(record)));
        }
        Some(("ring", _)) => {
            let definition: RingDefinition = serde_json::from_value(row.value)?;
            executor.apply(DaemonEvent::ControlLearned(LearnedFact::Ring(definition)));
        }
        Some(("change", _)) => {
            changes.push(serde_json::from_value(row.value)?);
        }
        _ => {}
    }
    Ok(())
}

/// Writes proposed ring definitions, each only if the epoch before it is current in the table.
async fn propose(
    executor: EffectExecutor,
    platform: &PlatformClient,
    mut proposals: UnboundedReceiver<RingDefinition>,
) {
    while let Some(definition) = proposals.recv().await {
        if let Err(cause) = write_ring(&executor, platform, definition).await {
            log::warn!("event=ring_not_written cause={:?}", format!("{cause:#}"));
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
    let rows = platform.read(&read).await?;
    let row = rows.rows.into_iter().next();
    let version = row.as_ref().map_or(0, |it| it.version);
    let current = match row {
        Some(row) => Some(serde_json::from_value::<RingDefinition>(row.value)?),
        None => None,
    };
    let current_epoch = current.as_ref().map_or(0, |it| it.epoch);
    if current_epoch + 1 != definition.epoch {
        if let Some(current) = current {
            executor.apply(DaemonEvent::ControlLearned(LearnedFact::Ring(current)));
        }
        return Ok(());
    }
    let write = RowWrite { key: key.clone(), value: serde_json::to_value(&definition)? };
    let checks = vec![VersionCheck { key, version }];
    let result = platform.transact(&TableTransaction { checks, writes: vec![write] }).await?;
    if result == TransactionResult::Applied {
        log::info!(
            "event=ring_changed ring={} epoch={} members={}",
            definition.name,
            definition.epoch,
            definition.members.len()
        );
        executor.apply(DaemonEvent::ControlLearned(LearnedFact::Ring(definition)));
    }
    Ok(())
}

fn ring_key(name: &RingName) -> String {
    format!("{RING_PREFIX}{name}")
}
