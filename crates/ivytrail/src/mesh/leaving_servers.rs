//! Backend servers that are shutting down, recorded for daemons that restart beside them.
//!
//! A daemon may exit after its server has reported its shutdown and before the server exits. The daemon's next
//! incarnation does not know of the shutdown, and the server's health check may still succeed, or a late announcement
//! arrive; the other daemons supply the record. Since they may all end together, the record is also stored in the
//! platform's table, before the report is acknowledged. Settings and departures come from the same source: a daemon reads
//! the departures before the settings, and sends them to a peer before the settings.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use smol_str::SmolStr;

use super::{
    MeshReducer, ReducerStep,
    event::ServerDeparture,
    frame::{PeerFrame, ServerAdvertisement, ServerPhase},
};
use crate::{id::InstanceName, time::TimePoint};

/// Time for which a shutdown is recorded; servers exit some seconds after reporting it.
const SHUTDOWN_TTL: Duration = Duration::from_secs(60);
/// Time for which the shutdown of an unknown run is recorded; it is shorter, since a new run may follow under the same
/// name.
const UNKNOWN_RUN_TTL: Duration = Duration::from_secs(5);

/// Where a daemon has learnt that a server is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DepartureSource {
    /// The server beside it has reported it.
    Server,
    /// Another daemon or the platform's table.
    Record,
}

/// Recorded shutdown of a server.
#[derive(Clone, Copy, Debug)]
struct ShutdownRecord {
    /// Start of the run, if known, in milliseconds since the Unix epoch.
    started_at_ms: Option<u64>,
    until: TimePoint,
}

/// Run of a server that is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeavingRun {
    /// The run that started at this time, in milliseconds since the Unix epoch.
    Started { started_at_ms: u64 },
    /// An unknown run under that name; a new one may have followed.
    Unknown,
}

/// Recorded shutdowns of backend servers.
#[derive(Debug, Default)]
pub(super) struct LeavingServers {
    shutdowns: HashMap<SmolStr, ShutdownRecord>,
    expiries: VecDeque<(TimePoint, SmolStr)>,
}

impl LeavingServers {
    /// Records that a run of a server is shutting down: the run that started at `started_at_ms`, or an unknown one. Zero is
    /// the start of a run that only a health probe has found, and counts as unknown: its announcements, which name its
    /// start, may be late and must not pass for those of a later run. Returns the departure if it was not known before and
    /// names its run.
    pub(super) fn record(
        &mut self,
        now: TimePoint,
        id: &SmolStr,
        started_at_ms: Option<u64>,
    ) -> Option<ServerDeparture> {
        let started_at_ms = started_at_ms.filter(|it| *it != 0);
        let is_known = self
            .shutdowns
            .get(id)
            .is_some_and(|it| now <= it.until && started_at_ms <= it.started_at_ms);
        if is_known {
            return None;
        }
        let until = now.plus(started_at_ms.map_or(UNKNOWN_RUN_TTL, |_| SHUTDOWN_TTL));
        self.shutdowns.insert(id.clone(), ShutdownRecord { started_at_ms, until });
        self.expiries.push_back((now.plus(SHUTDOWN_TTL), id.clone()));
        while let Some((_, id)) = self.expiries.pop_front_if(|(expiry, _)| *expiry < now) {
            if self.shutdowns.get(&id).is_some_and(|it| it.until < now) {
                self.shutdowns.remove(&id);
            }
        }
        started_at_ms.map(|it| ServerDeparture { server_id: id.clone(), started_at_ms: it })
    }

    /// Returns the recorded departures whose run is known.
    pub(super) fn departures(&self, now: TimePoint) -> impl Iterator<Item = ServerDeparture> {
        let current = self.shutdowns.iter().filter(move |(_, it)| now <= it.until);
        current.filter_map(|(id, it)| {
            let started_at_ms = it.started_at_ms?;
            Some(ServerDeparture { server_id: id.clone(), started_at_ms })
        })
    }

    /// Returns the leaving run to which an advertisement of a ready server may belong, or `None` if there is none.
    pub(super) fn conflicting_shutdown(
        &self,
        now: TimePoint,
        advertisement: &ServerAdvertisement,
    ) -> Option<LeavingRun> {
        let shutdown = self.shutdowns.get(&advertisement.id).filter(|it| now <= it.until)?;
        match shutdown.started_at_ms {
            _ if advertisement.phase != ServerPhase::Ready => None,
            Some(started_at_ms) if advertisement.started_at_ms <= started_at_ms => {
                Some(LeavingRun::Started { started_at_ms })
            }
            Some(_) => None,
            None => Some(LeavingRun::Unknown),
        }
    }
}

impl MeshReducer {
    /// Applies the departures that the platform's table had when this daemon started.
    pub(super) fn apply_departures(
        &mut self,
        step: &mut ReducerStep<'_>,
        departures: &[ServerDeparture],
    ) {
        for ServerDeparture { server_id, started_at_ms } in departures {
            let source = DepartureSource::Record;
            self.handle_server_shutdown(step, server_id, Some(*started_at_ms), source);
        }
    }

    /// Sends the known departures to a peer that has requested the settings.
    pub(super) fn send_departures(&self, step: &mut ReducerStep<'_>, peer: &InstanceName) {
        for ServerDeparture { server_id, started_at_ms } in
            self.leaving_servers.departures(step.now)
        {
            let frame = PeerFrame::ServerLeft { id: server_id, started_at_ms };
            step.send_on_inbound(peer, frame, Bytes::new());
        }
    }
}
