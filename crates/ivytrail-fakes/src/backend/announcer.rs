//! Announcements of a backend server to its own daemon.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::BackendState;

/// Time between two announcements of the same state.
const INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the daemon's answer to an announcement.
const TIMEOUT: Duration = Duration::from_secs(1);

/// State of a backend server as it announces it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum ServerState {
    /// It takes no requests yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It finishes what it has and wants nothing new.
    Draining,
}

/// What a backend server tells its own daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    /// Service that the backend server runs.
    pub service: String,
    /// Address at which the daemon reaches it.
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Its state.
    pub state: ServerState,
}

/// Announces `state` to `daemon` at each change and at each interval, until the task is aborted.
pub(super) async fn announce(state: Arc<BackendState>, daemon: SocketAddr, address: SocketAddr) {
    let client = reqwest::Client::new();
    let url = format!("http://{daemon}/announce");
    loop {
        let announcement = ServerAnnouncement {
            service: state.settings.service.clone(),
            address,
            slots: state.settings.slots,
            state: state.server_state(),
        };
        let sent = client.post(&url).timeout(TIMEOUT).json(&announcement).send().await;
        if let Err(cause) = sent.and_then(reqwest::Response::error_for_status) {
            log::debug!("event=announce-failed daemon={daemon} cause=\"{cause}\"");
        }
        // Announcements are repeated, so a lost one needs no other care.
        let _ = tokio::time::timeout(INTERVAL, state.changed.notified()).await;
    }
}
