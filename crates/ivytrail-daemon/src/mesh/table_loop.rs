//! Tasks that use the platform's table: they watch the configuration, discover other daemons and remove the rows of
//! daemons that are gone.

use std::{rc::Rc, time::Duration};

use ivytrail::mesh::{
    MeshReducer,
    event::{MeshEvent, PeerAddress},
    settings_file::MeshSettings,
    table_watch::{TableWatch, WatchRequest, WatchTiming},
};
use ivytrail_platform::table::{TableClient, TableError};
use rand::RngExt;
use tokio::{sync::mpsc, time::Instant};

use super::driver::MeshDriver;

/// Interval between reads of the daemons' table after a successful discovery.
const PEER_REFRESH_INTERVAL: Duration = Duration::from_secs(60);

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
    tokio::task::spawn_local(watch_config(Rc::clone(driver), table.clone(), timing));
    tokio::task::spawn_local(discover_peers(Rc::clone(driver), table.clone(), timing, local_peer));
    if let Some(removals) = driver.take_removals() {
        tokio::task::spawn_local(remove_rows(table, removals));
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

/// Follows the operators' configuration by reads and long polls.
async fn watch_config(driver: Rc<MeshDriver>, table: TableClient, timing: WatchTiming) {
    let mut backoff = DependencyBackoff::new("table-config", timing);
    let mut watch = TableWatch::default();
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
                watch.record_response(update.cursor);
                if let Some(document) = update.document {
                    let cursor = update.cursor;
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
/// which makes it known here; so the table is read at the start and only rarely afterwards.
async fn discover_peers(
    driver: Rc<MeshDriver>,
    table: TableClient,
    timing: WatchTiming,
    local_peer: PeerAddress,
) {
    let mut backoff = DependencyBackoff::new("table-daemons", timing);
    loop {
        match sync_peers(&driver, &table, &local_peer).await {
            Ok(()) => {
                backoff.record_success();
                tokio::time::sleep(PEER_REFRESH_INTERVAL).await;
            }
            Err(cause) => backoff.wait_after_failure(&cause).await,
        }
    }
}

async fn sync_peers(
    driver: &Rc<MeshDriver>,
    table: &TableClient,
    local_peer: &PeerAddress,
) -> Result<(), TableError> {
    let mut peers = table.list_peers().await?;
    if !peers.contains(local_peer) {
        table.register_peer(local_peer).await?;
        peers = table.list_peers().await?;
    }
    driver.apply(MeshEvent::PeersDiscovered(peers));
    Ok(())
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
