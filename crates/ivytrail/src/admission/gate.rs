//! The entry's gate: refuses root requests that would fail further down the chain.

use std::{collections::HashMap, time::Duration};

use crate::{
    id::{AccountName, RouteName},
    settings::PriorityClass,
    time::TimePoint,
};

const CLASS_SHIFT: u32 = 14;
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// A cut that was not confirmed for this long is forgotten.
const CUT_LIFE: Duration = Duration::from_millis(500);
/// One in this many root requests above the cut is let through to find out whether the pressure has ended.
const PROBE_EVERY: u16 = 64;

#[derive(Debug)]
struct RouteCut {
    cut: u16,
    noted: TimePoint,
}

/// Admission of root requests at their entry, by the level cuts that answers carry.
#[derive(Debug, Default)]
pub struct EntryGate {
    cuts: HashMap<RouteName, RouteCut>,
}

impl EntryGate {
    /// Returns a gate that admits everything.
    pub fn new() -> EntryGate {
        EntryGate::default()
    }

    /// Returns the admission level of a new root request: its class in the high bits, a random value below.
    pub fn level_for(
        &mut self,
        class: PriorityClass,
        account: Option<&AccountName>,
        random: u16,
    ) -> u16 {
        let _ = account;
        ((class as u16) << CLASS_SHIFT) | (random >> (16 - CLASS_SHIFT))
    }

    /// Decides whether a root request may enter.
    ///
    /// # Errors
    ///
    /// Returns the time after which it is worth trying again when the route's chain would refuse it.
    pub fn admit(
        &mut self,
        now: TimePoint,
        route: &RouteName,
        level: u16,
        random: u16,
    ) -> Result<(), Duration> {
        match self.cuts.get(route) {
            Some(cut)
                if cut.cut < level
                    && now.since(cut.noted) < CUT_LIFE
                    && !random.is_multiple_of(PROBE_EVERY) =>
            {
                Err(RETRY_AFTER.mul_f64(0.75 + f64::from(random) / f64::from(u16::MAX)))
            }
            _ => Ok(()),
        }
    }

    /// Records the smallest level cut anywhere down the chain of a route, as an answer carried it.
    pub fn note_cut(&mut self, now: TimePoint, route: &RouteName, cut: u16) {
        match self.cuts.get_mut(route) {
            Some(known) => *known = RouteCut { cut, noted: now },
            None => {
                self.cuts.insert(route.clone(), RouteCut { cut, noted: now });
            }
        }
    }
}
