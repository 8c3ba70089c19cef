//! Services whose members this daemon wants to know before its list is whole.

use std::{collections::BTreeMap, time::Duration};

use crate::{id::ServiceName, time::TimePoint};

/// Time between two questions for one service.
const LOOKUP_PERIOD: Duration = Duration::from_secs(1);

/// Number of members that are asked for one service; each may have joined late and know only a part.
const REQUIRED_ANSWERS: u32 = 3;

/// One service that is looked up.
#[derive(Clone, Debug)]
struct ServiceLookup {
    next_at: TimePoint,
    offset: u32,
    answers: u32,
}

/// The services that are looked up.
#[derive(Debug, Default)]
pub(crate) struct LookupSchedule {
    lookups: BTreeMap<ServiceName, ServiceLookup>,
}

impl LookupSchedule {
    pub(crate) fn add(&mut self, now: TimePoint, service: ServiceName) {
        self.lookups.entry(service).or_insert(ServiceLookup {
            next_at: now,
            offset: 0,
            answers: 0,
        });
    }

    /// Returns a service that is due and the offset to ask from. It is due again after a period.
    pub(crate) fn take_due(&mut self, now: TimePoint) -> Option<(ServiceName, u32)> {
        let due = |it: &ServiceLookup| it.next_at <= now && it.answers < REQUIRED_ANSWERS;
        let (service, lookup) = self.lookups.iter_mut().find(|(_, it)| due(it))?;
        lookup.next_at = now.plus(LOOKUP_PERIOD);
        Some((service.clone(), lookup.offset))
    }

    /// Notes the answer for `service`: it named `n_found` members and says where to go on.
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
                lookup.answers += u32::from(is_answer);
            }
        }
    }
}
