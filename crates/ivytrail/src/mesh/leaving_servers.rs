//! Backend servers that are shutting down, recorded for daemons that restart beside them.
//!
//! A daemon may exit after its server has reported its shutdown and before the server exits. The daemon's next
//! incarnation does not know of the shutdown, and the server's health check may still succeed; the other daemons supply
//! the record.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use smol_str::SmolStr;

use super::frame::{ServerAdvertisement, ServerPhase};
use crate::time::TimePoint;

/// Time for which a shutdown is recorded; servers exit some seconds after reporting it.
const SHUTDOWN_TTL: Duration = Duration::from_secs(60);
/// Time for which the shutdown of an unknown run is recorded; it is shorter, since a new run may follow under the same
/// name.
const UNKNOWN_RUN_TTL: Duration = Duration::from_secs(5);

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
    /// start, may be late and must not pass for those of a later run.
    pub(super) fn record(&mut self, now: TimePoint, id: &SmolStr, started_at_ms: Option<u64>) {
        let started_at_ms = started_at_ms.filter(|it| *it != 0);
        let is_known = self.shutdowns.get(id).is_some_and(|it| started_at_ms <= it.started_at_ms);
        if is_known {
            return;
        }
        let until = now.plus(started_at_ms.map_or(UNKNOWN_RUN_TTL, |_| SHUTDOWN_TTL));
        self.shutdowns.insert(id.clone(), ShutdownRecord { started_at_ms, until });
        self.expiries.push_back((now.plus(SHUTDOWN_TTL), id.clone()));
        while self.expiries.front().is_some_and(|(expiry, _)| *expiry < now) {
            let Some((_, id)) = self.expiries.pop_front() else { return };
            if self.shutdowns.get(&id).is_some_and(|it| it.until < now) {
                self.shutdowns.remove(&id);
            }
        }
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
