//! What the daemon does with the platform: joins, finds first peers, follows the settings and the rings.

use std::{sync::Arc, time::Duration};

use ivytrail::{
    id::RingName,
    lease::RingDefinition,
    membership::{MemberRecord, MemberView},
    platform::{
        KeyRange, RowWrite, TableRead, TableRow, TableRows, TableTransaction, TransactionResult,
        VersionCheck,
    },
    reducer::{DaemonEvent, DaemonReducer, LearnedFact},
    settings::{SettingsChange, SettingsTree, file::DaemonSettings, index::SettingsInForce},
};
use tokio::{sync::mpsc::UnboundedReceiver, task::JoinHandle};

use crate::executor::EffectExecutor;

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
    settings: &Arc<DaemonSettings>,
    proposals: UnboundedReceiver<RingDefinition>,
) -> Vec<JoinHandle<()>> {
    let (writer, writer_settings) = (executor.clone(), settings.clone());
    let (follower, follower_settings) = (executor.clone(), settings.clone());
    vec![
        tokio::spawn(async move { propose(writer, &writer_settings, proposals).await }),
        tokio::spawn(async move { follow(follower, &follower_settings).await }),
    ]
}

/// Removes this daemon's row from the platform's table.
pub async fn leave(executor: &EffectExecutor, settings: &DaemonSettings) {
    let member = executor.shell().inspect(|it| it.own_record().clone());
    let key = MemberView::row_key(&member.member.instance);
    let write = RowWrite { key, value: serde_json::Value::Null };
    let transaction = TableTransaction { checks: Vec::new(), writes: vec![write] };
    if let Err(cause) = transact(settings, &transaction).await {
        log::warn!("event=leave_not_recorded cause={:?}", cause.to_string());
    }
}

async fn follow(executor: EffectExecutor, settings: &DaemonSettings) {
    let mut tree = SettingsTree::default();
    let mut has_joined = false;
    loop {
        if !has_joined {
            has_joined = join(&executor, settings).await.is_ok();
        }
        if let Err(cause) = poll(&executor, settings, &mut tree).await {
            log::warn!("event=platform_unreachable cause={:?}", format!("{cause:#}"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn join(executor: &EffectExecutor, settings: &DaemonSettings) -> anyhow::Result<()> {
    let record = executor.shell().inspect(|it| it.own_record().clone());
    let key = MemberView::row_key(&record.member.instance);
    let write = RowWrite { key, value: serde_json::to_value(&record)? };
    let transaction = TableTransaction { checks: Vec::new(), writes: vec![write] };
    transact(settings, &transaction).await?;
    Ok(())
}

async fn poll(
    executor: &EffectExecutor,
    settings: &DaemonSettings,
    tree: &mut SettingsTree,
) -> anyhow::Result<()> {
    let asked_at = executor.shell().now();
    let after = format!("change/{:020}", tree.revision.0 + 1);
    let changes = KeyRange { from: after, to: "change/~".to_string(), limit: 1_000 };
    let instance = executor.shell().inspect(|it| it.own_record().member.instance.clone());
    let mut ranges = MemberView::first_peer_ranges(&instance, FIRST_PEER_ROWS).to_vec();
    ranges.push(changes);
    let rings = executor.shell().inspect(|it| it.ring_names().cloned().collect::<Vec<_>>());
    let keys = rings.iter().map(ring_key).collect();
    let rows: TableRows = post(settings, "read", &TableRead { keys, ranges }).await?;
    for name in rings {
        if !rows.rows.iter().any(|row| row.key == ring_key(&name)) {
            executor.apply(DaemonEvent::ControlLearned(LearnedFact::RingAbsent(name)));
        }
    }
    for row in rows.rows {
        take_row(executor, tree, row)?;
    }
    if executor.shell().inspect(DaemonReducer::revision) < tree.revision {
        executor.apply(DaemonEvent::SettingsInstalled(SettingsInForce::new(tree.clone())));
    }
    executor.apply(DaemonEvent::AuthorityConfirmed { until: asked_at.plus(CONFIRMATION) });
    Ok(())
}

fn take_row(
    executor: &EffectExecutor,
    tree: &mut SettingsTree,
    row: TableRow,
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
            let change: SettingsChange = serde_json::from_value(row.value)?;
            tree.apply(&change)?;
        }
        _ => {}
    }
    Ok(())
}

/// Writes proposed ring definitions, each only if the epoch before it is current in the table.
async fn propose(
    executor: EffectExecutor,
    settings: &DaemonSettings,
    mut proposals: UnboundedReceiver<RingDefinition>,
) {
    while let Some(definition) = proposals.recv().await {
        if let Err(cause) = write_ring(&executor, settings, definition).await {
            log::warn!("event=ring_not_written cause={:?}", format!("{cause:#}"));
        }
    }
}

async fn write_ring(
    executor: &EffectExecutor,
    settings: &DaemonSettings,
    definition: RingDefinition,
) -> anyhow::Result<()> {
    let key = ring_key(&definition.name);
    let read = TableRead { keys: vec![key.clone()], ranges: Vec::new() };
    let rows: TableRows = post(settings, "read", &read).await?;
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
    let result = transact(settings, &TableTransaction { checks, writes: vec![write] }).await?;
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

async fn transact(
    settings: &DaemonSettings,
    transaction: &TableTransaction,
) -> anyhow::Result<TransactionResult> {
    post(settings, "transact", transaction).await
}

async fn post<Q, A>(settings: &DaemonSettings, path: &str, query: &Q) -> anyhow::Result<A>
where
    Q: serde::Serialize,
    A: serde::de::DeserializeOwned,
{
    let client = reqwest::Client::new();
    let request = client
        .post(format!("{}/table/{path}", settings.platform))
        .timeout(settings.intervals.platform_timeout)
        .json(query);
    Ok(request.send().await?.error_for_status()?.json().await?)
}
