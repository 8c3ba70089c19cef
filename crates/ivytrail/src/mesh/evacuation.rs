//! Evacuated failure domains, to whose backend servers nothing may be sent.
//!
//! The operators evacuate a domain in the platform's table, which each daemon follows. While a daemon can't reach the
//! table, it learns of changes from the advertisements of its peers. A view states the version of the table that it
//! reflects, and the view of the latest version applies. Entries choose no server of an evacuated domain, and the guards
//! there start no runs.

use std::{collections::BTreeSet, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{MeshReducer, ReducerStep, table_watch::TableCursor, warm_up::WarmUpObservation};
use crate::{id::DomainName, time::TimePoint};

/// Time for which advertisements tell of a change, beside evacuations that are in force.
const CHANGE_REPORT_TIME: Duration = Duration::from_secs(60);

/// The evacuated failure domains at one version of the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationView {
    /// Version of the table that the view reflects.
    pub as_of: TableCursor,
    /// Evacuated domains.
    pub domains: BTreeSet<DomainName>,
}

/// Where a view comes from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub(super) enum EvacuationSource {
    /// The platform's table.
    Table,
    /// The advertisement of another daemon.
    Peer,
}

/// Domains whose evacuation has begun or ended.
#[derive(Debug, Default, PartialEq, Eq)]
struct EvacuationChange {
    begun: Vec<DomainName>,
    ended: Vec<DomainName>,
}

/// The latest view that this daemon knows.
#[derive(Debug, Default)]
pub(super) struct FleetEvacuations {
    view: Option<EvacuationView>,
    /// Time at which the table last confirmed the view, if it has.
    confirmed_at: Option<TimePoint>,
    changed_at: TimePoint,
}

impl FleetEvacuations {
    fn apply(
        &mut self,
        now: TimePoint,
        view: EvacuationView,
        source: EvacuationSource,
    ) -> EvacuationChange {
        if source == EvacuationSource::Table {
            self.confirmed_at = Some(now);
        }
        if self.view.as_ref().is_some_and(|it| view.as_of <= it.as_of) {
            return EvacuationChange::default();
        }
        let before = self.view.take().map(|it| it.domains).unwrap_or_default();
        let change = EvacuationChange {
            begun: view.domains.difference(&before).cloned().collect(),
            ended: before.difference(&view.domains).cloned().collect(),
        };
        if change != EvacuationChange::default() {
            self.changed_at = now;
        }
        self.view = Some(view);
        change
    }

    /// Returns the view for peers that have just been connected.
    pub(super) fn view(&self) -> Option<&EvacuationView> {
        self.view.as_ref()
    }

    /// Returns the view for connected peers, or `None` if it tells them nothing new.
    pub(super) fn reportable_view(&self, now: TimePoint) -> Option<&EvacuationView> {
        let is_recent = now.since(self.changed_at) < CHANGE_REPORT_TIME;
        self.view.as_ref().filter(|it| is_recent || !it.domains.is_empty())
    }

    /// Returns the evacuated domains.
    pub(super) fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.view.iter().flat_map(|it| &it.domains)
    }
}

impl MeshReducer {
    /// Returns the evacuated failure domains as far as this daemon knows.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &DomainName> {
        self.evacuations.domains()
    }

    /// Applies a view of the evacuated domains, unless a later one is known.
    pub(super) fn apply_evacuations(
        &mut self,
        step: &mut ReducerStep<'_>,
        view: EvacuationView,
        source: EvacuationSource,
    ) {
        let confirmed_at = self.evacuations.confirmed_at;
        let unconfirmed_ms =
            confirmed_at.map_or("-".to_string(), |at| step.now.since(at).as_millis().to_string());
        let as_of = view.as_of;
        let change = self.evacuations.apply(step.now, view, source);
        let events = change
            .begun
            .iter()
            .map(|it| ("domain_evacuated", it))
            .chain(change.ended.iter().map(|it| ("domain_restored", it)));
        for (event, domain) in events {
            step.log(format!(
                "event={event} domain={domain} as_of={as_of} source={source} unconfirmed_ms={unconfirmed_ms}"
            ));
        }
        if change == EvacuationChange::default() {
            return;
        }
        self.picker.set_evacuated(self.evacuations.domains().cloned().collect());
        let is_evacuated = self.evacuations.domains().any(|it| *it == self.options.domain);
        if is_evacuated != self.guard.is_evacuated {
            self.guard.is_evacuated = is_evacuated;
            if !is_evacuated {
                // Servers without work may have become cold.
                self.observe_warm_up(step, WarmUpObservation::Evacuated);
            }
            self.update_limit(step);
            self.publish_before_replies(step);
        }
    }
}

#[cfg(test)]
mod tests;
