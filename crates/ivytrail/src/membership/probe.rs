//! Failure detector: open probes and suspicions.

use std::{collections::BTreeMap, time::Duration};

use super::options::MembershipOptions;
use crate::{
    id::{InstanceName, MemberId},
    time::TimePoint,
};

/// Probe without an answer so far.
#[derive(Clone, Debug)]
pub(crate) struct OpenProbe {
    pub(crate) serial: u64,
    pub(crate) target: MemberId,
    sent_at: TimePoint,
    is_repeated: bool,
    /// The member that requested the probe, with its serial number there; `None` if this member started the probe.
    pub(crate) origin: Option<(MemberId, u64)>,
}

/// Probes that require an action.
#[derive(Debug, Default)]
pub(crate) struct ProbeReview {
    /// Probes to repeat through other members.
    pub(crate) to_probe_indirectly: Vec<OpenProbe>,
    /// Members that answered neither directly nor through other members.
    pub(crate) unanswered: Vec<MemberId>,
}

/// Suspicion that has not been refuted.
#[derive(Clone, Debug)]
pub(crate) struct OpenSuspicion {
    pub(crate) member: MemberId,
    pub(crate) version: u64,
    pub(crate) since: TimePoint,
}

/// Open probes and suspicions of one member.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    serial: u64,
    probes: Vec<OpenProbe>,
    suspicions: BTreeMap<InstanceName, OpenSuspicion>,
}

impl FailureDetector {
    /// Opens a probe of `target` and returns its serial number.
    pub(crate) fn open_probe(
        &mut self,
        now: TimePoint,
        target: MemberId,
        origin: Option<(MemberId, u64)>,
    ) -> u64 {
        self.serial += 1;
        let probe =
            OpenProbe { serial: self.serial, target, sent_at: now, is_repeated: false, origin };
        self.probes.push(probe);
        self.serial
    }

    pub(crate) fn has_open_probe(&self, target: &MemberId) -> bool {
        self.probes.iter().any(|it| it.target == *target && it.origin.is_none())
    }

    /// Removes and returns the probe that was answered.
    pub(crate) fn close_probe(&mut self, serial: u64, target: &MemberId) -> Option<OpenProbe> {
        let idx = self.probes.iter().position(|it| it.serial == serial && it.target == *target)?;
        Some(self.probes.swap_remove(idx))
    }

    /// Removes the probes of `target` that this member started, since `target` is known to be alive.
    pub(crate) fn close_local_probes(&mut self, target: &MemberId) {
        self.probes.retain(|it| it.target != *target || it.origin.is_some());
    }

    /// Removes all probes and restarts the timeout of each suspicion, after a pause of this process.
    pub(crate) fn reset(&mut self, now: TimePoint) {
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since = now;
        }
    }

    /// Returns the probes to repeat through other members and the targets of failed ones, and removes the failed
    /// probes.
    pub(crate) fn review(&mut self, now: TimePoint, options: &MembershipOptions) -> ProbeReview {
        let mut review = ProbeReview::default();
        for probe in &mut self.probes {
            let age = now.since(probe.sent_at);
            if probe.origin.is_none() && !probe.is_repeated && options.indirect_probe_delay <= age {
                probe.is_repeated = true;
                review.to_probe_indirectly.push(probe.clone());
            }
        }
        let failed = |it: &OpenProbe| options.probe_period <= now.since(it.sent_at);
        let unanswered = self.probes.iter().filter(|it| failed(it) && it.origin.is_none());
        review.unanswered = unanswered.map(|it| it.target.clone()).collect();
        self.probes.retain(|it| !failed(it));
        review
    }

    /// Adds a suspicion, unless one of this or a later version exists; returns whether it was added.
    pub(crate) fn add_suspicion(
        &mut self,
        now: TimePoint,
        member: &MemberId,
        version: u64,
    ) -> bool {
        match self.suspicions.get(&member.instance) {
            Some(known) if known.member == *member && version <= known.version => false,
            _ => {
                let suspicion = OpenSuspicion { member: member.clone(), version, since: now };
                self.suspicions.insert(member.instance.clone(), suspicion);
                true
            }
        }
    }

    pub(crate) fn is_suspect(&self, member: &MemberId) -> bool {
        self.suspicions.get(&member.instance).is_some_and(|it| it.member == *member)
    }

    pub(crate) fn clear_suspicion(&mut self, instance: &InstanceName) {
        self.suspicions.remove(instance);
    }

    pub(crate) fn suspicions(&self) -> impl Iterator<Item = &OpenSuspicion> {
        self.suspicions.values()
    }

    /// Returns the suspicions whose timeout, given by `timeout_of`, has elapsed.
    pub(crate) fn expired_suspicions<F>(&self, now: TimePoint, timeout_of: F) -> Vec<OpenSuspicion>
    where
        F: Fn(&OpenSuspicion) -> Duration,
    {
        self.suspicions
            .values()
            .filter(|it| timeout_of(it) <= now.since(it.since))
            .cloned()
            .collect()
    }
}
