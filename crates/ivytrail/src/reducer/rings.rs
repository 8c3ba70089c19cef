//! Lease rings that this daemon is a member of or follows.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, rngs::StdRng};

use crate::{
    id::{MemberId, RingName, ServiceName},
    lease::{LeaseMessage, LeaseOptions, LeaseRing, RingDefinition, RingMember},
    membership::{MemberState, MemberView},
    time::TimePoint,
};

/// Name of the fleet-wide ring whose members own quota shares and attest to settings.
const CONTROL_RING: &str = "control";
/// Name prefix of the rings that own claims, one ring per service.
const CLAIM_RING_PREFIX: &str = "claims/";
/// Maximum number of members of the control ring.
const CONTROL_RING_SIZE: usize = 5;
/// Interval between checks for required changes of ring definitions.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between observing that a ring has no row and creating the ring, so that this daemon knows the others by then.
const CREATION_DELAY: Duration = Duration::from_millis(1_500);

/// Lease rings followed by this daemon.
#[derive(Debug)]
pub(super) struct RingSet {
    local_member: MemberId,
    rings: BTreeMap<RingName, LeaseRing>,
    /// Rings without a row in the platform's table, with the time at which this was first observed.
    absent_since: BTreeMap<RingName, TimePoint>,
    next_review_at: TimePoint,
}

impl RingSet {
    /// Creates a set that follows only the control ring, whose definition is not yet known.
    pub(super) fn new(local_member: MemberId) -> RingSet {
        let mut set = RingSet {
            local_member,
            rings: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            next_review_at: TimePoint::ORIGIN,
        };
        set.ensure_ring(control_ring_name());
        set
    }

    /// Returns the control ring.
    pub(super) fn control(&self) -> &LeaseRing {
        &self.rings[&control_ring_name()]
    }

    /// Returns the number of fenced members in the current epoch of `ring`.
    pub(super) fn n_fenced(&self, ring: &LeaseRing) -> usize {
        let members = ring.definition().map_or(&[][..], |it| &it.members[..]);
        members.iter().filter(|it| ring.fenced_at(&it.member).is_some()).count()
    }

    /// Returns whether the other members of any ring have fenced this incarnation.
    pub(super) fn is_expelled(&self) -> bool {
        self.rings.values().any(LeaseRing::is_expelled)
    }

    /// Returns the ring that owns the claims of `service`, if this daemon follows it.
    pub(super) fn claim_ring(&self, service: &ServiceName) -> Option<&LeaseRing> {
        self.rings.get(&claim_ring_name(service))
    }

    /// Follows the ring that owns the claims of `service`.
    pub(super) fn join_claim_ring(&mut self, service: &ServiceName) {
        self.ensure_ring(claim_ring_name(service));
    }

    /// Installs a definition from the platform's table or another daemon; ignored if the ring is not followed.
    pub(super) fn install(&mut self, now: TimePoint, definition: RingDefinition) {
        self.absent_since.remove(&definition.name);
        if let Some(ring) = self.rings.get_mut(&definition.name) {
            ring.install(now, definition);
        }
    }

    /// Records that the platform's table has no row for a ring.
    pub(super) fn record_absent(&mut self, now: TimePoint, name: RingName) {
        self.absent_since.entry(name).or_insert(now);
    }

    /// Returns the names of the rings that this daemon follows.
    pub(super) fn names(&self) -> impl Iterator<Item = &RingName> {
        self.rings.keys()
    }

    /// Returns whether the definition of any followed ring is unknown.
    pub(super) fn lacks_definition(&self) -> bool {
        self.rings.values().any(|it| it.definition().is_none())
    }

    /// Handles a message from another member.
    pub(super) fn receive(
        &mut self,
        now: TimePoint,
        from: &MemberId,
        message: LeaseMessage,
        out: &mut Vec<(MemberId, LeaseMessage)>,
    ) {
        if let Some(ring) = self.rings.get_mut(&message.ring) {
            ring.receive(now, from, message, out);
        }
    }

    /// Informs each ring that this process was suspended until `now`.
    pub(super) fn resume(&mut self, now: TimePoint) {
        for ring in self.rings.values_mut() {
            ring.resume(now);
        }
    }

    /// Runs the periodic work of each ring.
    pub(super) fn tick(&mut self, now: TimePoint, out: &mut Vec<(MemberId, LeaseMessage)>) {
        for ring in self.rings.values_mut() {
            ring.tick(now, out);
        }
    }

    /// Leaves all rings.
    pub(super) fn leave(&mut self, now: TimePoint, out: &mut Vec<(MemberId, LeaseMessage)>) {
        for ring in self.rings.values_mut() {
            ring.leave(now, out);
        }
    }

    /// Returns the definitions to propose to the platform's table now.
    ///
    /// Each member proposes with a probability of one over the ring size, to limit concurrent writes to the same row.
    pub(super) fn propose_changes(
        &mut self,
        now: TimePoint,
        view: &MemberView,
        rng: &mut StdRng,
    ) -> Vec<RingDefinition> {
        if now < self.next_review_at {
            return Vec::new();
        }
        self.next_review_at = now.plus(REVIEW_INTERVAL);
        let mut proposals = Vec::new();
        for (name, ring) in &self.rings {
            let eligible = candidates(name, view);
            let proposal = match ring.definition() {
                Some(_) => ring.proposed_change(now, &eligible),
                None => initial_definition(
                    name,
                    &eligible,
                    &self.local_member,
                    self.absent_since.get(name),
                    now,
                ),
            };
            let ring_size = ring.definition().map_or(eligible.len(), |it| it.members.len()).max(1);
            proposals.extend(proposal.filter(|_| rng.random_range(0..ring_size) == 0));
        }
        proposals
    }

    fn ensure_ring(&mut self, name: RingName) {
        let max_members = if name == control_ring_name() {
            CONTROL_RING_SIZE
        } else {
            LeaseOptions::default().max_members
        };
        let options = LeaseOptions { max_members, ..LeaseOptions::default() };
        let local_member = self.local_member.clone();
        self.rings.entry(name).or_insert_with(|| LeaseRing::new(local_member, options));
    }
}

/// Returns the name of the control ring.
pub(super) fn control_ring_name() -> RingName {
    RingName::from(CONTROL_RING)
}

/// Returns the name of the ring that owns the claims of `service`.
pub(super) fn claim_ring_name(service: &ServiceName) -> RingName {
    RingName::from(format!("{CLAIM_RING_PREFIX}{service}"))
}

/// Returns the daemons that are eligible as members of a ring.
fn candidates(name: &RingName, view: &MemberView) -> Vec<RingMember> {
    let service = name.as_str().strip_prefix(CLAIM_RING_PREFIX);
    view.members()
        .filter(|it| match service {
            Some(service) => {
                it.state == MemberState::Serving
                    && it.service.as_ref().is_some_and(|served| served.as_str() == service)
            }
            None => matches!(it.state, MemberState::Starting | MemberState::Serving),
        })
        .map(|it| RingMember { member: it.member.clone(), domain: it.domain.clone() })
        .collect()
}

/// Returns the initial definition of a ring whose row has been absent for at least [`CREATION_DELAY`].
fn initial_definition(
    name: &RingName,
    eligible: &[RingMember],
    local_member: &MemberId,
    absent_since: Option<&TimePoint>,
    now: TimePoint,
) -> Option<RingDefinition> {
    let is_due = absent_since.is_some_and(|since| CREATION_DELAY <= now.since(*since));
    if !is_due || !eligible.iter().any(|it| it.member == *local_member) {
        return None;
    }
    let members = select_across_domains(eligible, CONTROL_RING_SIZE);
    Some(RingDefinition { name: name.clone(), epoch: 1, members })
}

/// Returns up to `count` members, selected round-robin across the failure domains.
fn select_across_domains(eligible: &[RingMember], count: usize) -> Vec<RingMember> {
    let mut domains: BTreeMap<_, Vec<&RingMember>> = BTreeMap::new();
    for member in eligible {
        domains.entry(&member.domain).or_default().push(member);
    }
    let depth = domains.values().map(Vec::len).max().unwrap_or(0);
    let round_robin = (0..depth).flat_map(|idx| domains.values().filter_map(move |it| it.get(idx)));
    round_robin.take(count).map(|it| (*it).clone()).collect()
}
