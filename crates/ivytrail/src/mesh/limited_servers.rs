//! Backend servers that have named a limit, recorded for daemons that restart beside them.
//!
//! A restarted daemon does not know the limit until its server's first response, and could send as many requests as the
//! server has slots before that. The other daemons supply the record.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use smol_str::SmolStr;

use super::{
    MeshReducer, ReducerStep,
    frame::{PeerAdvertisement, PeerFrame, RequestLimit, ServerAdvertisement},
};
use crate::time::TimePoint;

/// Time for which a limit is recorded after the last report.
const LIMIT_TTL: Duration = Duration::from_secs(60);

/// Recorded limit of a run of a server.
#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    started_at_ms: u64,
    per_s: f64,
    until: TimePoint,
}

/// Recorded limits of backend servers.
#[derive(Debug, Default)]
pub(super) struct LimitedServers {
    limits: HashMap<SmolStr, LimitRecord>,
}

impl LimitedServers {
    /// Records what a server's daemon reports. A daemon that does not know changes nothing.
    pub(super) fn record(
        &mut self,
        now: TimePoint,
        id: &SmolStr,
        started_at_ms: u64,
        request_limit: RequestLimit,
    ) {
        match request_limit {
            RequestLimit::Unknown => {}
            RequestLimit::Unlimited => drop(self.limits.remove(id)),
            RequestLimit::PerSecond(per_s) => {
                if !self.limits.contains_key(id) {
                    self.limits.retain(|_, it| now <= it.until);
                }
                let until = now.plus(LIMIT_TTL);
                self.limits.insert(id.clone(), LimitRecord { started_at_ms, per_s, until });
            }
        }
    }

    /// Returns the recorded limit of an advertised server, in requests per second.
    pub(super) fn limit_of(&self, now: TimePoint, server: &ServerAdvertisement) -> Option<f64> {
        let record = self.limits.get(&server.id).filter(|it| now <= it.until)?;
        // The start time is zero if it is unknown.
        let is_same_run =
            [0, record.started_at_ms].contains(&server.started_at_ms) || record.started_at_ms == 0;
        is_same_run.then_some(record.per_s)
    }
}

impl MeshReducer {
    /// Records the limit of an advertised server, and notifies a daemon that does not know of it. The notification
    /// precedes all attempts that are sent to the server on the basis of the advertisement.
    pub(super) fn record_request_limit(
        &mut self,
        step: &mut ReducerStep<'_>,
        advertisement: &PeerAdvertisement,
    ) {
        let Some(server) = &advertisement.server else { return };
        let is_cold = advertisement.extension.as_ref().is_some_and(|it| it.cold_for.is_some());
        if is_cold {
            // The limit is not one that the server has named.
            return;
        }
        let limit = advertisement.load.request_limit;
        self.limited_servers.record(step.now, &server.id, server.started_at_ms, limit);
        if limit != RequestLimit::Unknown {
            return;
        }
        if let Some(per_s) = self.limited_servers.limit_of(step.now, server) {
            let peer = &advertisement.member.instance;
            let frame = PeerFrame::ServerLimited { id: server.id.clone(), per_s };
            step.send(peer, frame.clone(), Bytes::new());
            step.send_on_inbound(peer, frame, Bytes::new());
        }
    }
}
