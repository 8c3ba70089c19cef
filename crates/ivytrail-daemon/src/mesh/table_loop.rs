//! Tasks that use the platform's table: they watch the configuration, discover other daemons, remove the rows of daemons
//! that are gone, and store the evidence against quarantined requests and the departures of backend servers.

use std::{rc::Rc, time::Duration};

use ivytrail::{
    mesh::{
        MeshReducer,
        event::{MeshEvent, PeerAddress, ServerDeparture},
        settings_file::MeshSettings,
        table_watch::{HistoryId, TableWatch, WatchRequest, WatchTiming},
    },
    quarantine::{MAX_CHANGES, SuspectChanges},
};
use ivytrail_platform::table::{DepartureRow, SuspectRow, TableClient, TableError};
use rand::RngExt;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::driver::{MeshDriver, unix_millis};

/// Interval between reads of the daemons' table after a successful discovery.
const PEER_REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// Interval to the next read of the daemons' table after it came back from an older copy. Transactions from before may
/// still be executed for some seconds, and remove a row that has been written again.
const RESTORED_REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which stored evidence against a request is used.
const STORED_SUSPECT_TTL: Duration = Duration::from_secs(3_600);

/// Time for which a stored departure is used. A server exits seconds after it has reported that it shuts down.
const STORED_DEPARTURE_TTL: Duration = Duration::from_secs(600);

/// Starts the tasks.
///
/// # Errors
///
/// Returns an error if the HTTP client can't be created.
pub fn spawn(driver: &Rc<MeshDriver>, settings: &MeshSettings) -> anyhow::Result<()> {
    let timing = WatchTiming::new(settings.table_recovery);
    let table = TableClient::new(&settings.table_address.to_string(), timing)?;
    let address = settings.advertised_address.to_string();
    let local_peer = PeerAddress { instance: settings.name.clone(), address };
    let (histories, history_receiver) = watch::channel(HistoryId::default());
    tokio::task::spawn_local(watch_config(Rc::clone(driver), table.clone(), timing, histories));
    let discovery = PeerDiscovery {
        driver: Rc::clone(driver),
        table: table.clone(),
        timing,
        local_peer,
        histories: history_receiver,
    };
    tokio::task::spawn_local(discovery.run());
    if let Some(removals) = driver.take_removals() {
        tokio::task::spawn_local(remove_rows(table.clone(), removals));
    }
    tokio::task::spawn_local(load_suspects(Rc::clone(driver), table.clone(), timing));
    if let Some(departures) = driver.take_departures() {
        tokio::task::spawn_local(save_departures(
            Rc::clone(driver),
            table.clone(),
            timing,
            departures,
        ));
    }
    if let Some(changes) = driver.take_suspect_changes() {
        tokio::task::spawn_local(save_suspects(table, timing, changes));
    }
    Ok(())
}

/// Exponential backoff for requests to a dependency. Logs each failure, and once when the dependency is available again.
struct DependencyBackoff {
    dependency: &'static str,
    timing: WatchTiming,
    /// Time of the first failure since the last success.
    failing_since: Option<Instant>,
    n_failures: u32,
}

impl DependencyBackoff {
    fn new(dependency: &'static str, timing: WatchTiming) -> DependencyBackoff {
        DependencyBackoff { dependency, timing, failing_since: None, n_failures: 0 }
    }

    fn record_success(&mut self) {
        if let Some(since) = self.failing_since.take() {
            log::info!(
                "event=dependency_regained dependency={} failures={} failing_ms={}",
                self.dependency,
                std::mem::take(&mut self.n_failures),
                since.elapsed().as_millis()
            );
        }
    }

    async fn wait_after_failure(&mut self, cause: &TableError) {
        let event = match self.failing_since {
            None => "dependency_lost",
            Some(_) => "dependency_retry_failed",
        };
        let since = *self.failing_since.get_or_insert_with(Instant::now);
        self.n_failures += 1;
        log::warn!(
            "event={event} dependency={} failures={} failing_ms={} cause={:?}",
            self.dependency,
            self.n_failures,
            since.elapsed().as_millis(),
            cause.to_string()
        );
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.timing.backoff(self.n_failures).mul_f64(jitter)).await;
    }
}

/// Follows the operators' configuration and the evacuations by reads and long polls, and passes on the table's history.
///
/// The departures are read first: without settings no request runs, and with them the daemon must know which servers are
/// shutting down.
async fn watch_config(
    driver: Rc<MeshDriver>,
    table: TableClient,
    timing: WatchTiming,
    histories: watch::Sender<HistoryId>,
) {
    let mut backoff = DependencyBackoff::new("table-config", timing);
    let mut watch = TableWatch::default();
    load_departures(&driver, &table, &mut backoff).await;
    loop {
        let request = watch.next_request();
        let result = match request {
            WatchRequest::Read => table.read_config().await,
            WatchRequest::Poll { after } => {
                let n_daemons = 1 + driver.inspect(MeshReducer::n_open_links);
                let spread = rand::rng().random_range(0.0..1.0);
                table.poll_config(after, timing.poll_wait(n_daemons, spread)).await
            }
        };
        match (result, request) {
            (Ok(update), _) => {
                backoff.record_success();
                driver.metrics.record_table_response();
                let cursor = update.cursor;
                if watch.record_response(request, cursor) {
                    log::warn!("event=poll_outdated request={request} cursor={cursor}");
                }
                if let Some(view) = watch.apply_evacuations(update.evacuations) {
                    driver.apply(MeshEvent::EvacuationsRead(view));
                }
                let history = histories.send_replace(cursor.history);
                if history != cursor.history {
                    log::warn!("event=table_history history={} before={history}", cursor.history);
                }
                if let Some(document) = update.document {
                    log::info!("event=config_read cursor={cursor} bytes={}", document.len());
                    driver.apply_document(document);
                }
            }
            (Err(TableError::HistoryExpired), WatchRequest::Poll { after }) => {
                log::info!("event=feed_history_gone cursor={after}");
                watch.record_failure();
            }
            (Err(cause), _) => {
                watch.record_failure();
                backoff.wait_after_failure(&cause).await;
            }
        }
    }
}

/// Writes this daemon's row and reads all others. A daemon that writes its row later finds this one and opens a link,
/// which makes it known here; so the table is read at the start, when it has come back from an older copy, which may lack
/// this daemon's row, and only rarely otherwise.
struct PeerDiscovery {
    driver: Rc<MeshDriver>,
    table: TableClient,
    timing: WatchTiming,
    local_peer: PeerAddress,
    /// Latest known history of the table.
    histories: watch::Receiver<HistoryId>,
}

impl PeerDiscovery {
    async fn run(mut self) {
        let mut backoff = DependencyBackoff::new("table-daemons", self.timing);
        let mut synced_history = None;
        loop {
            match self.sync().await {
                Ok(history) => {
                    backoff.record_success();
                    let is_restored = synced_history.is_some_and(|before| before != history);
                    synced_history = Some(history);
                    let refresh_interval = match is_restored {
                        true => RESTORED_REFRESH_INTERVAL,
                        false => PEER_REFRESH_INTERVAL,
                    };
                    self.wait_for_history(history, refresh_interval).await;
                }
                Err(cause) => backoff.wait_after_failure(&cause).await,
            }
        }
    }

    /// Waits until the table has a later history than `synced`, for up to `refresh_interval`.
    async fn wait_for_history(&mut self, synced: HistoryId, refresh_interval: Duration) {
        let restored = self.histories.wait_for(|history| synced < *history);
        let is_restored = match tokio::time::timeout(refresh_interval, restored).await {
            Ok(result) => result.is_ok(),
            Err(_elapsed) => false,
        };
        if is_restored {
            // All daemons learn of the new history at about the same time.
            let n_daemons = 1 + self.driver.inspect(MeshReducer::n_open_links);
            let spread = self.timing.fleet_spread(n_daemons);
            tokio::time::sleep(spread.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        }
    }

    /// Returns the history of the table in which this daemon's row was read or written.
    async fn sync(&self) -> Result<HistoryId, TableError> {
        let (mut peers, history) = self.table.list_peers().await?;
        if !peers.contains(&self.local_peer) {
            self.table.register_peer(&self.local_peer).await?;
            log::info!("event=row_written history={history}");
            // A restore after the write shows in `histories`.
            peers = self.table.list_peers().await?.0;
        }
        self.driver.apply(MeshEvent::PeersDiscovered(peers));
        Ok(history)
    }
}

async fn remove_rows(table: TableClient, mut removals: mpsc::UnboundedReceiver<PeerAddress>) {
    while let Some(peer) = removals.recv().await {
        match table.remove_peer(&peer).await {
            Ok(()) => log::info!("event=row_removed peer={}", peer.instance),
            // Not retried here: another daemon removes the row when it finds that the peer is gone.
            Err(cause) => {
                log::warn!(
                    "event=row_not_removed peer={} cause={:?}",
                    peer.instance,
                    cause.to_string()
                );
            }
        }
    }
}

/// Reads the departures of backend servers, since the daemons that know them may all have restarted, and removes those that
/// are out of date.
async fn load_departures(
    driver: &Rc<MeshDriver>,
    table: &TableClient,
    backoff: &mut DependencyBackoff,
) {
    let rows = loop {
        match table.list_departures().await {
            Ok(rows) => break rows,
            Err(cause) => backoff.wait_after_failure(&cause).await,
        }
    };
    backoff.record_success();
    let ttl_ms = u64::try_from(STORED_DEPARTURE_TTL.as_millis()).unwrap_or(u64::MAX);
    let oldest_ms = unix_millis().saturating_sub(ttl_ms);
    let (current, outdated): (Vec<DepartureRow>, Vec<DepartureRow>) =
        rows.into_iter().partition(|it| oldest_ms <= it.stored_at_ms);
    log::info!("event=departures_loaded count={} outdated={}", current.len(), outdated.len());
    let departures = current.into_iter().map(|it| it.departure).collect();
    driver.apply(MeshEvent::DeparturesLoaded(departures));
    let outdated: Vec<ServerDeparture> = outdated.into_iter().map(|it| it.departure).collect();
    if !outdated.is_empty() {
        // The settings, which are read next, don't wait for the removal.
        tokio::task::spawn_local(remove_departures(table.clone(), outdated));
    }
}

async fn remove_departures(table: TableClient, departures: Vec<ServerDeparture>) {
    if let Err(cause) = table.remove_departures(&departures).await {
        // The next daemon that starts removes them.
        log::warn!("event=departures_not_removed cause={:?}", cause.to_string());
    }
}

/// Stores departures in their order, and retries each until it is stored.
async fn save_departures(
    driver: Rc<MeshDriver>,
    table: TableClient,
    timing: WatchTiming,
    mut departures: mpsc::UnboundedReceiver<ServerDeparture>,
) {
    let mut backoff = DependencyBackoff::new("table-departures", timing);
    while let Some(departure) = departures.recv().await {
        loop {
            match table.save_departure(&departure, unix_millis()).await {
                Ok(()) => {
                    backoff.record_success();
                    log::info!("event=departure_saved server={departure}");
                    break;
                }
                // The platform takes no row of this name or size.
                Err(cause @ TableError::Rejected(400 | 413)) => {
                    log::warn!(
                        "event=departure_rejected server={departure} cause={:?}",
                        cause.to_string()
                    );
                    break;
                }
                Err(cause) => backoff.wait_after_failure(&cause).await,
            }
        }
        driver.record_saved_departure();
    }
}

/// Reads the evidence against quarantined requests once, since the daemons that know it may all have restarted, and removes
/// what is out of date.
async fn load_suspects(driver: Rc<MeshDriver>, table: TableClient, timing: WatchTiming) {
    let mut backoff = DependencyBackoff::new("table-quarantine", timing);
    let rows = loop {
        match table.list_suspects().await {
            Ok(rows) => break rows,
            Err(cause) => backoff.wait_after_failure(&cause).await,
        }
    };
    backoff.record_success();
    let ttl_ms = u64::try_from(STORED_SUSPECT_TTL.as_millis()).unwrap_or(u64::MAX);
    let oldest_ms = unix_millis().saturating_sub(ttl_ms);
    let (current, outdated): (Vec<SuspectRow>, Vec<SuspectRow>) =
        rows.into_iter().partition(|it| oldest_ms <= it.stored_at_ms);
    log::info!("event=suspects_loaded count={} outdated={}", current.len(), outdated.len());
    let records = current.into_iter().flat_map(|it| it.records).collect();
    driver.apply(MeshEvent::SuspectsLoaded(records));
    let removed = outdated.into_iter().map(|it| it.fingerprint).take(MAX_CHANGES).collect();
    let changes = SuspectChanges { removed, ..SuspectChanges::default() };
    if !changes.is_empty()
        && let Err(cause) = table.save_suspects(&changes, unix_millis()).await
    {
        // The next daemon that starts removes them.
        log::warn!("event=suspects_not_removed cause={:?}", cause.to_string());
    }
}

/// Stores changes of the evidence in their order, and retries each until it is stored.
async fn save_suspects(
    table: TableClient,
    timing: WatchTiming,
    mut changes: mpsc::UnboundedReceiver<SuspectChanges>,
) {
    let mut backoff = DependencyBackoff::new("table-quarantine-writes", timing);
    while let Some(change) = changes.recv().await {
        while let Err(cause) = table.save_suspects(&change, unix_millis()).await {
            backoff.wait_after_failure(&cause).await;
        }
        backoff.record_success();
        log::info!(
            "event=suspects_saved stored={} removed={}",
            change.stored.len(),
            change.removed.len()
        );
    }
}
