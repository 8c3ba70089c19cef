//! Access of the operator API to this daemon.

use ivytrail::{
    id::InstanceName,
    membership::MemberState,
    reducer::{DaemonEvent, DaemonReducer},
    settings::{
        Revision, SettingsChange,
        index::SettingsInForce,
        operator_api::{
            DaemonRevision, DrainReply, ReadinessView, SettingsStatus, UpstreamList, UpstreamView,
        },
    },
    time::WallClock,
};

use crate::{
    driver::wall_clock, executor::EffectExecutor, metrics::GaugeReadings, operator::OperatorBackend,
};

impl OperatorBackend for EffectExecutor {
    fn now(&self) -> WallClock {
        wall_clock()
    }

    fn settings(&self) -> SettingsInForce {
        self.driver().inspect(|it| it.settings().clone())
    }

    fn apply_changes(&self, changes: Vec<SettingsChange>) {
        self.apply(DaemonEvent::ChangesStored(changes));
    }

    fn is_confirmed(&self, revision: Revision) -> bool {
        self.driver().inspect(|it| it.is_confirmed(revision))
    }

    fn settings_status(&self) -> SettingsStatus {
        let now = self.driver().now();
        self.driver().inspect(|it| SettingsStatus {
            instance: it.local_record().member.instance.clone(),
            revision: it.revision(),
            fresh: it.is_authoritative(now),
            daemons: it
                .known_revisions(now)
                .into_iter()
                .map(|(instance, revision, age)| DaemonRevision {
                    instance,
                    revision,
                    age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                })
                .collect(),
        })
    }

    fn upstreams(&self) -> UpstreamList {
        let upstreams = self.driver().inspect(|it| {
            let view = |record: &ivytrail::membership::MemberRecord| UpstreamView {
                instance: record.member.instance.clone(),
                service: record.service.clone(),
                domain: record.domain.clone(),
                state: record.state.to_string(),
                load: it.member_load(&record.member),
            };
            it.members().filter(|record| !record.state.is_inactive()).map(view).collect()
        });
        UpstreamList { upstreams }
    }

    fn drain(&self, instance: &InstanceName) -> DrainReply {
        let found = self.driver().inspect(|it| {
            it.members()
                .find(|record| record.member.instance == *instance && !record.state.is_inactive())
                .cloned()
        });
        match found {
            None => DrainReply::UnknownInstance,
            Some(record) => {
                self.apply(DaemonEvent::DrainOrdered { member: record.member });
                DrainReply::Requested
            }
        }
    }

    fn render_metrics(&self) -> String {
        let readings = self.driver().inspect(|it| GaugeReadings {
            load: it.load(),
            revision: it.revision().0,
            n_members: it.members().filter(|record| !record.state.is_inactive()).count(),
        });
        self.metrics().render(&readings)
    }

    fn readiness(&self) -> ReadinessView {
        let now = self.driver().now();
        self.driver().inspect(|it| {
            let reason = unready_reason(it, now);
            ReadinessView {
                ready: reason.is_none(),
                reason: reason.unwrap_or_default().to_string(),
            }
        })
    }
}

/// Returns the reason for which the daemon can't serve callers at `now`, or `None` if it can.
fn unready_reason(reducer: &DaemonReducer, now: ivytrail::time::TimePoint) -> Option<&'static str> {
    match reducer.local_record().state {
        MemberState::Draining | MemberState::Left => Some("the daemon is leaving"),
        _ if reducer.revision() == Revision::default() => Some("no settings have been read yet"),
        _ if !reducer.is_authoritative(now) => {
            Some("neither the platform nor other daemons confirm the settings")
        }
        _ => None,
    }
}
