//! What the daemon does with the platform's table: follows the configuration, finds other daemons, removes rows of the
//! gone.

use std::{rc::Rc, time::Duration};

use ivytrail::mesh::{
    event::{MeshEvent, PeerAddress},
    settings_file::MeshSettings,
};
use ivytrail_platform::table::{TableClient, TableError};
use rand::RngExt;
use tokio::sync::mpsc;

use super::shell::MeshShell;

/// Longest wait of one question for changes. A connection that has gone silent is noticed after it.
const FEED_WAIT: Duration = Duration::from_secs(5);
/// First pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);
/// Time between two readings of the daemons' table once all daemons know each other.
const REVIEW_INTERVAL: Duration = Duration::from_secs(60);

/// Starts the loops.
///
/// # Errors
///
/// Returns an error when the client can't be set up.
pub fn spawn(shell: &Rc<MeshShell>, settings: &MeshSettings) -> anyhow::Result<()> {
    let table = TableClient::new(&settings.table_address.to_string())?;
    let address = settings.advertised_address.to_string();
    let own = PeerAddress { instance: settings.name.clone(), address };
    tokio::task::spawn_local(follow_config(Rc::clone(shell), table.clone()));
    tokio::task::spawn_local(find_peers(Rc::clone(shell), table.clone(), own));
    if let Some(forgotten) = shell.take_forgotten() {
        tokio::task::spawn_local(remove_rows(table, forgotten));
    }
    Ok(())
}

/// Pauses between failed calls, and one log line for each lost or regained dependency.
struct CallPace {
    dependency: &'static str,
    pause: Duration,
    is_lost: bool,
}

impl CallPace {
    fn new(dependency: &'static str) -> CallPace {
        CallPace { dependency, pause: MIN_PAUSE, is_lost: false }
    }

    fn note_success(&mut self) {
        self.pause = MIN_PAUSE;
        if self.is_lost {
            self.is_lost = false;
            log::info!("event=dependency_regained dependency={}", self.dependency);
        }
    }

    async fn pause_after(&mut self, cause: &TableError) {
        if !self.is_lost {
            self.is_lost = true;
            log::warn!(
                "event=dependency_lost dependency={} cause={:?}",
                self.dependency,
                cause.to_string()
            );
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}

/// Reads the configuration and follows its changes.
async fn follow_config(shell: Rc<MeshShell>, table: TableClient) {
    let mut pace = CallPace::new("table-config");
    let mut cursor = None;
    loop {
        let reading = match cursor {
            None => table.read_config().await,
            Some(after) => table.follow_config(after, FEED_WAIT).await,
        };
        match reading {
            Ok(reading) => {
                pace.note_success();
                cursor = Some(reading.cursor);
                if let Some(document) = reading.document {
                    shell.learn_document(document);
                }
            }
            Err(TableError::HistoryGone) => {
                log::info!("event=feed_history_gone cursor={}", cursor.unwrap_or(0));
                cursor = None;
            }
            Err(cause) => pace.pause_after(&cause).await,
        }
    }
}

/// Writes this daemon's row and reads all others. Whoever writes later finds this row and opens a link, by which this
/// daemon learns of it; so the table is read only at the start and rarely afterwards.
async fn find_peers(shell: Rc<MeshShell>, table: TableClient, own: PeerAddress) {
    let mut pace = CallPace::new("table-daemons");
    loop {
        match announce(&shell, &table, &own).await {
            Ok(()) => {
                pace.note_success();
                tokio::time::sleep(REVIEW_INTERVAL).await;
            }
            Err(cause) => pace.pause_after(&cause).await,
        }
    }
}

async fn announce(
    shell: &Rc<MeshShell>,
    table: &TableClient,
    own: &PeerAddress,
) -> Result<(), TableError> {
    let mut peers = table.read_peers().await?;
    if !peers.contains(own) {
        table.write_peer(own).await?;
        peers = table.read_peers().await?;
    }
    shell.apply(MeshEvent::PeersDiscovered(peers));
    Ok(())
}

async fn remove_rows(table: TableClient, mut forgotten: mpsc::UnboundedReceiver<PeerAddress>) {
    while let Some(peer) = forgotten.recv().await {
        match table.remove_peer(&peer).await {
            Ok(()) => log::info!("event=row_removed peer={}", peer.instance),
            // Another daemon tries again when it finds the peer gone.
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
