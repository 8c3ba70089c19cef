//! Failure detection: who is probed, who did not answer, who is suspected.

use std::{collections::BTreeMap, time::Duration};

use super::options::MembershipOptions;
use crate::{
    id::{InstanceName, MemberId},
    time::TimePoint,
};

/// A probe that has not been answered.
#[derive(Clone, Debug)]
pub(crate) struct OpenProbe {
    pub(crate) serial: u64,
    pub(crate) target: MemberId,
    sent_at: TimePoint,
    is_indirect: bool,
    /// The member on whose behalf this member probes, and the number of the probe there.
    pub(crate) origin: Option<(MemberId, u64)>,
}

/// What a look at the open probes calls for.
#[derive(Debug, Default)]
pub(crate) struct ProbeReview {
    /// Probes to be repeated through other members.
    pub(crate) to_probe_indirectly: Vec<OpenProbe>,
    /// Members that answered neither directly nor through others.
    pub(crate) unanswered: Vec<MemberId>,
}

/// A suspicion that has not been refuted.
#[derive(Clone, Debug)]
pub(crate) struct OpenSuspicion {
    pub(crate) member: MemberId,
    pub(crate) version: u64,
    pub(crate) since: TimePoint,
}

/// Open probes and suspicions.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    serial: u64,
    probes: Vec<OpenProbe>,
    suspicions: BTreeMap<InstanceName, OpenSuspicion>,
}

impl FailureDetector {
    /// Opens a probe of `target` and returns its number.
    pub(crate) fn open_probe(
        &mut self,
        now: TimePoint,
        target: MemberId,
        origin: Option<(MemberId, u64)>,
    ) -> u64 {
        self.serial += 1;
        let probe =
            OpenProbe { serial: self.serial, target, sent_at: now, is_indirect: false, origin };
        self.probes.push(probe);
        self.serial
    }

    pub(crate) fn has_open_probe(&self, target: &MemberId) -> bool {
        self.probes.iter().any(|it| it.target == *target && it.origin.is_none())
    }

    /// Closes the probe that an answer names.
    pub(crate) fn close_probe(&mut self, serial: u64, target: &MemberId) -> Option<OpenProbe> {
        let idx = self.probes.iter().position(|it| it.serial == serial && it.target == *target)?;
        Some(self.probes.swap_remove(idx))
    }

    /// Closes this member's own probes of `target`, which has shown that it lives.
    pub(crate) fn close_direct_probes(&mut self, target: &MemberId) {
        self.probes.retain(|it| it.target != *target || it.origin.is_some());
    }

    /// Forgets all probes and gives suspected members their whole time again, after a pause of this member.
    pub(crate) fn reset(&mut self, now: TimePoint) {
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since = now;
        }
    }

    /// Looks for probes that are due for a repetition or have failed.
    pub(crate) fn review(&mut self, now: TimePoint, options: &MembershipOptions) -> ProbeReview {
        let mut review = ProbeReview::default();
        for probe in &mut self.probes {
            let age = now.since(probe.sent_at);
            if probe.origin.is_none() && !probe.is_indirect && options.indirect_probe_delay <= age {
                probe.is_indirect = true;
                review.to_probe_indirectly.push(probe.clone());
            }
        }
        let failed = |it: &OpenProbe| options.probe_period <= now.since(it.sent_at);
        let unanswered = self.probes.iter().filter(|it| failed(it) && it.origin.is_none());
        review.unanswered = unanswered.map(|it| it.target.clone()).collect();
        self.probes.retain(|it| !failed(it));
        review
    }

    /// Opens a suspicion, unless one of this version is open; returns whether it is new.
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

    /// Returns the suspicions that have been open for the time that `time_for` allows.
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
