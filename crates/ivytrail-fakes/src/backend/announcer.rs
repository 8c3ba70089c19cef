//! Periodic announcements of a backend server to its local daemon.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::BackendState;

/// Period of announcements while the state is unchanged.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one announcement request.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Announced state of a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum ServerState {
    /// Not accepting requests yet.
    Starting,
    /// Accepting requests.
    Serving,
    /// Finishing the requests in flight; new requests should go elsewhere.
    Draining,
}

/// Announcement of a backend server to its local daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    /// Name of the backend server's service.
    pub service: String,
    /// Address on which the backend server accepts requests.
    pub address: SocketAddr,
    /// Concurrent requests that the backend server can run at full speed.
    pub slots: u32,
    /// Current state of the backend server.
    pub state: ServerState,
}

/// Announces the backend server to `daemon` on every state change and periodically, until the task is aborted.
pub(super) async fn announce(state: Arc<BackendState>, daemon: SocketAddr, address: SocketAddr) {
    let client = reqwest::Client::new();
    let url = format!("http://{daemon}/announce");
    loop {
        let announcement = ServerAnnouncement {
            service: state.settings.service.clone(),
            address,
            slots: state.settings.slots,
            state: state.current_state(),
        };
        let sent = client.post(&url).timeout(ANNOUNCEMENT_TIMEOUT).json(&announcement).send().await;
        if let Err(cause) = sent.and_then(reqwest::Response::error_for_status) {
            log::debug!("event=announce-failed daemon={daemon} cause=\"{cause}\"");
        }
        // A failed announcement needs no retry: the next one follows within the interval.
        let _ = tokio::time::timeout(ANNOUNCEMENT_INTERVAL, state.state_changed.notified()).await;
    }
}
