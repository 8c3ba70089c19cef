//! What the daemon does with the platform: joins, finds first peers, follows the settings.

use std::{sync::Arc, time::Duration};

use ivytrail::{
    membership::{MemberRecord, MemberView},
    platform::{KeyRange, RowWrite, TableRead, TableRows, TableTransaction, TransactionResult},
    reducer::{DaemonEvent, DaemonReducer, LearnedFact},
    settings::{SettingsChange, SettingsTree, file::DaemonSettings, index::SettingsInForce},
};

use crate::executor::EffectExecutor;

/// Time between two readings of the settings.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a reading confirms the settings.
const CONFIRMATION: Duration = Duration::from_secs(3);

/// Starts the loops.
pub fn spawn(executor: EffectExecutor, settings: &Arc<DaemonSettings>) {
    let settings = settings.clone();
    tokio::spawn(async move { follow(executor, &settings).await });
}

/// Removes this daemon's row from the platform's table.
pub async fn leave(executor: &EffectExecutor, settings: &DaemonSettings) {
    let member = executor.shell().inspect(|it| it.own_record().clone());
    let key = MemberView::row_key(&member.member.instance);
    let write = RowWrite { key, value: serde_json::Value::Null };
    let transaction = TableTransaction { checks: Vec::new(), writes: vec![write] };
    let _ = post::<_, TransactionResult>(settings, "transact", &transaction).await;
}

async fn follow(executor: EffectExecutor, settings: &DaemonSettings) {
    let mut tree = SettingsTree::default();
    let mut joined = false;
    loop {
        if !joined {
            joined = join(&executor, settings).await.is_ok();
        }
        if let Err(cause) = poll(&executor, settings, &mut tree).await {
            log::warn!("event=platform_unreachable cause={:?}", cause.to_string());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn join(executor: &EffectExecutor, settings: &DaemonSettings) -> anyhow::Result<()> {
    let record = executor.shell().inspect(|it| it.own_record().clone());
    let key = MemberView::row_key(&record.member.instance);
    let write = RowWrite { key, value: serde_json::to_value(&record)? };
    let transaction = TableTransaction { checks: Vec::new(), writes: vec![write] };
    post::<_, TransactionResult>(settings, "transact", &transaction).await?;
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
    let members = KeyRange::with_prefix("member/", 64);
    let read = TableRead { keys: Vec::new(), ranges: vec![changes, members] };
    let rows: TableRows = post(settings, "read", &read).await?;
    for row in rows.rows {
        if row.key.starts_with("member/") {
            let record: MemberRecord = serde_json::from_value(row.value)?;
            executor.apply(DaemonEvent::ControlLearned(LearnedFact::Member(record)));
        } else {
            let change: SettingsChange = serde_json::from_value(row.value)?;
            tree.apply(&change)?;
        }
    }
    if executor.shell().inspect(DaemonReducer::revision) < tree.revision {
        executor.apply(DaemonEvent::SettingsInstalled(SettingsInForce::new(tree.clone())));
    }
    executor.apply(DaemonEvent::AuthorityConfirmed { until: asked_at.plus(CONFIRMATION) });
    Ok(())
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
