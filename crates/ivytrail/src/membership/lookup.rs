//! Lookups of services whose members this daemon needs before its member list is complete.

use std::{collections::BTreeMap, time::Duration};

use crate::{id::ServiceName, time::TimePoint};

/// Interval between two lookup requests for one service.
const LOOKUP_PERIOD: Duration = Duration::from_secs(1);

/// Number of complete answers to collect for one service; an answering member may have joined late and know only some
/// members.
const REQUIRED_ANSWERS: u32 = 3;

/// Progress of the lookup of one service.
#[derive(Clone, Debug)]
struct ServiceLookup {
    next_at: TimePoint,
    offset: u32,
    n_answers: u32,
}

/// Services to look up, with their progress.
#[derive(Debug, Default)]
pub(crate) struct LookupSchedule {
    lookups: BTreeMap<ServiceName, ServiceLookup>,
}

impl LookupSchedule {
    pub(crate) fn add(&mut self, now: TimePoint, service: ServiceName) {
        self.lookups.entry(service).or_insert(ServiceLookup {
            next_at: now,
            offset: 0,
            n_answers: 0,
        });
    }

    /// Returns a service whose lookup is due, with the offset to request, and schedules its next request.
    pub(crate) fn take_due(&mut self, now: TimePoint) -> Option<(ServiceName, u32)> {
        let due = |it: &ServiceLookup| it.next_at <= now && it.n_answers < REQUIRED_ANSWERS;
        let (service, lookup) = self.lookups.iter_mut().find(|(_, it)| due(it))?;
        lookup.next_at = now.plus(LOOKUP_PERIOD);
        Some((service.clone(), lookup.offset))
    }

    /// Records an answer with `n_found` members of `service`; `next_offset` is set if there are more.
    pub(crate) fn record_answer(
        &mut self,
        service: &ServiceName,
        n_found: usize,
        next_offset: Option<u32>,
    ) {
        let Some(lookup) = self.lookups.get_mut(service) else { return };
        match next_offset {
            Some(offset) => lookup.offset = offset,
            None => {
                let is_answer = 0 < n_found || 0 < lookup.offset;
                lookup.offset = 0;
                lookup.n_answers += u32::from(is_answer);
            }
        }
    }
}
