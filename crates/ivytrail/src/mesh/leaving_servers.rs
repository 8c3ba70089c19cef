//! Record of the backend servers that leave, for daemons that restart beside them.
//!
//! A daemon may exit after it has acknowledged a leave and before the server exits. The daemon's next run does not know
//! of the leave, and the server's health page may still report it as healthy; the other daemons supply the record.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use smol_str::SmolStr;

use super::frame::{ServerAdvertisement, ServerPhase};
use crate::time::TimePoint;

/// Time for which a leave is recorded; servers exit some seconds after it.
const LEAVE_TTL: Duration = Duration::from_secs(60);
/// Time for which a leave of an unknown run is recorded; it is shorter, since a new run may follow under the same name.
const UNKNOWN_RUN_TTL: Duration = Duration::from_secs(5);

/// Recorded leave of a server.
#[derive(Clone, Copy, Debug)]
struct LeaveRecord {
    /// Start of the run, if known, in milliseconds since the Unix epoch.
    started_at_ms: Option<u64>,
    until: TimePoint,
}

/// Run of a server that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeavingRun {
    /// The run that started at this time, in milliseconds since the Unix epoch.
    Started { started_at_ms: u64 },
    /// An unknown run under that name; a new one may have followed.
    Unknown,
}

/// Recorded leaves of backend servers.
#[derive(Debug, Default)]
pub(super) struct LeavingServers {
    leaves: HashMap<SmolStr, LeaveRecord>,
    expiries: VecDeque<(TimePoint, SmolStr)>,
}

impl LeavingServers {
    /// Records that a run of a server leaves: the run that started at `started_at_ms`, or an unknown one.
    pub(super) fn record(&mut self, now: TimePoint, id: &SmolStr, started_at_ms: Option<u64>) {
        let is_known = self.leaves.get(id).is_some_and(|it| started_at_ms <= it.started_at_ms);
        if is_known {
            return;
        }
        let until = now.plus(started_at_ms.map_or(UNKNOWN_RUN_TTL, |_| LEAVE_TTL));
        self.leaves.insert(id.clone(), LeaveRecord { started_at_ms, until });
        self.expiries.push_back((now.plus(LEAVE_TTL), id.clone()));
        while self.expiries.front().is_some_and(|(expiry, _)| *expiry < now) {
            let Some((_, id)) = self.expiries.pop_front() else { return };
            if self.leaves.get(&id).is_some_and(|it| it.until < now) {
                self.leaves.remove(&id);
            }
        }
    }

    /// Returns the leaving run that may have sent the advertisement, if the advertisement says that the server is ready.
    pub(super) fn conflicting_leave(
        &self,
        now: TimePoint,
        advertisement: &ServerAdvertisement,
    ) -> Option<LeavingRun> {
        let leave = self.leaves.get(&advertisement.id).filter(|it| now <= it.until)?;
        match leave.started_at_ms {
            _ if advertisement.phase != ServerPhase::Ready => None,
            Some(started_at_ms) if advertisement.started_at_ms <= started_at_ms => {
                Some(LeavingRun::Started { started_at_ms })
            }
            Some(_) => None,
            None => Some(LeavingRun::Unknown),
        }
    }
}
