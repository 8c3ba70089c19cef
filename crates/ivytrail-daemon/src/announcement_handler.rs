//! HTTP handler for announcements of the local backend server.

use bytes::Bytes;
use ivytrail::{
    id::ServiceName,
    reducer::{BackendAnnouncement, BackendState, DaemonEvent},
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode};
use serde::Deserialize;

use crate::executor::EffectExecutor;

/// Maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// Handles `POST /announce`, with which the local backend server reports its address and state.
#[derive(Clone, Debug)]
pub struct AnnouncementHandler {
    executor: EffectExecutor,
}

/// JSON body of an announcement.
#[derive(Debug, Deserialize)]
struct AnnouncementBody {
    service: ServiceName,
    address: String,
    slots: u32,
    state: AnnouncedState,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum AnnouncedState {
    Starting,
    Serving,
    Draining,
}

impl AnnouncementHandler {
    /// Creates a handler that passes announcements to `executor`.
    pub fn new(executor: EffectExecutor) -> AnnouncementHandler {
        AnnouncementHandler { executor }
    }

    async fn handle_announcement(&self, req: &mut Request) -> Result<(), String> {
        let body = req
            .payload_with_max_size(MAX_ANNOUNCEMENT_BYTES)
            .await
            .map_err(|cause| format!("failed to read the announcement: {cause}"))?;
        let announcement: AnnouncementBody = serde_json::from_slice(body)
            .map_err(|cause| format!("invalid announcement: {cause}"))?;
        self.executor.run_client().set_address(&announcement.address);
        let state = match announcement.state {
            AnnouncedState::Starting => BackendState::Starting,
            AnnouncedState::Serving => BackendState::Serving,
            AnnouncedState::Draining => BackendState::Draining,
        };
        let notice =
            BackendAnnouncement { service: announcement.service, slots: announcement.slots, state };
        self.executor.apply(DaemonEvent::BackendAnnounced(notice));
        Ok(())
    }
}

#[async_trait]
impl Handler for AnnouncementHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        match self.handle_announcement(req).await {
            Ok(()) => {
                res.status_code(StatusCode::OK);
                res.body(Bytes::from_static(b"{\"ok\":true}"));
            }
            Err(message) => {
                res.status_code(StatusCode::BAD_REQUEST);
                res.body(Bytes::from(
                    serde_json::json!({ "ok": false, "error": message }).to_string(),
                ));
            }
        }
        ctrl.skip_rest();
    }
}
