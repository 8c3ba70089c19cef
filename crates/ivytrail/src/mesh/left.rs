//! Backend servers that have said that they leave, remembered for daemons that start anew beside them.
//!
//! A daemon that has acknowledged a leave may end before the server does. Its next run knows nothing of it, and the server
//! may still answer on its health page; the other daemons tell.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use smol_str::SmolStr;

use super::frame::{ServerAdvertisement, ServerPhase};
use crate::time::TimePoint;

/// Time for which a leave is remembered; servers end some seconds after it.
const LEAVE_LIFE: Duration = Duration::from_secs(60);
/// The same, when the run of the server that leaves is not known: a new run may follow under the same name.
const UNKNOWN_RUN_LIFE: Duration = Duration::from_secs(5);

/// A run of a server that leaves.
#[derive(Clone, Copy, Debug)]
struct LeavingRun {
    /// Start of the run, where it is known.
    born_ms: Option<u64>,
    until: TimePoint,
}

/// Which run of a server has said that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeftRun {
    /// The one that started then, in milliseconds since the Unix epoch.
    Started { born_ms: u64 },
    /// One under that name; a new one may have followed.
    Unknown,
}

/// Runs of backend servers that have said that they leave.
#[derive(Debug, Default)]
pub(super) struct LeftServers {
    runs: HashMap<SmolStr, LeavingRun>,
    order: VecDeque<(TimePoint, SmolStr)>,
}

impl LeftServers {
    /// Records that a run of a server leaves: the one that started at `born_ms`, or one that is not known.
    pub(super) fn note(&mut self, now: TimePoint, id: &SmolStr, born_ms: Option<u64>) {
        let is_known = self.runs.get(id).is_some_and(|it| born_ms <= it.born_ms);
        if is_known {
            return;
        }
        let until = now.plus(born_ms.map_or(UNKNOWN_RUN_LIFE, |_| LEAVE_LIFE));
        self.runs.insert(id.clone(), LeavingRun { born_ms, until });
        self.order.push_back((now.plus(LEAVE_LIFE), id.clone()));
        while self.order.front().is_some_and(|(expiry, _)| *expiry < now) {
            let Some((_, id)) = self.order.pop_front() else { return };
            if self.runs.get(&id).is_some_and(|it| it.until < now) {
                self.runs.remove(&id);
            }
        }
    }

    /// Returns which run leaves, if the card may be of it and says that the server takes work.
    pub(super) fn contradicted(
        &self,
        now: TimePoint,
        card: &ServerAdvertisement,
    ) -> Option<LeftRun> {
        let run = self.runs.get(&card.id).filter(|it| now <= it.until)?;
        match run.born_ms {
            _ if card.phase != ServerPhase::Ready => None,
            Some(born_ms) if card.started_at_ms <= born_ms => Some(LeftRun::Started { born_ms }),
            Some(_) => None,
            None => Some(LeftRun::Unknown),
        }
    }
}
