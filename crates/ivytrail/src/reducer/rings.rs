//! The lease rings that this daemon takes part in or follows.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, rngs::StdRng};

use crate::{
    id::{MemberId, RingName, ServiceName},
    lease::{LeaseMessage, LeaseOptions, LeaseRing, RingDefinition, RingMember},
    membership::{MemberState, MemberView},
    time::TimePoint,
};

/// Name of the fleet-wide ring whose members own quota shares and attest settings.
const CONTROL_RING: &str = "control";
/// Prefix of the names of the rings that own claims, one for each service.
const CLAIMS_PREFIX: &str = "claims/";
/// Greatest number of members of the control ring.
const CONTROL_RING_SIZE: usize = 5;
/// Time between two looks at whether a ring should change.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the start before this daemon founds a ring, so that it knows the others by then.
const FOUNDING_DELAY: Duration = Duration::from_millis(1_500);

/// All rings at this daemon.
#[derive(Debug)]
pub(super) struct RingSet {
    me: MemberId,
    rings: BTreeMap<RingName, LeaseRing>,
    /// Rings whose row the platform's table was seen to lack.
    absent: BTreeMap<RingName, TimePoint>,
    next_review_at: TimePoint,
}

impl RingSet {
    /// Returns a daemon's rings: the control ring, without a definition.
    pub(super) fn new(me: MemberId) -> RingSet {
        let mut set = RingSet {
            me,
            rings: BTreeMap::new(),
            absent: BTreeMap::new(),
            next_review_at: TimePoint::ORIGIN,
        };
        set.follow(control_ring());
        set
    }

    /// Returns the control ring.
    pub(super) fn control(&self) -> &LeaseRing {
        &self.rings[&control_ring()]
    }

    /// Returns how many members of the ring's epoch are fenced.
    pub(super) fn n_fenced(&self, ring: &LeaseRing) -> usize {
        let members = ring.definition().map_or(&[][..], |it| &it.members[..]);
        members.iter().filter(|it| ring.fence_of(&it.member).is_some()).count()
    }

    /// Returns whether some ring's other members have fenced this incarnation.
    pub(super) fn is_expelled(&self) -> bool {
        self.rings.values().any(LeaseRing::is_expelled)
    }

    /// Returns the ring that owns the claims of `service`, if it is followed here.
    pub(super) fn claims(&self, service: &ServiceName) -> Option<&LeaseRing> {
        self.rings.get(&claims_ring(service))
    }

    /// Takes part in the claims of `service`.
    pub(super) fn join_claims(&mut self, service: &ServiceName) {
        self.follow(claims_ring(service));
    }

    /// Takes a definition from the platform's table or from another daemon.
    pub(super) fn install(&mut self, now: TimePoint, definition: RingDefinition) {
        self.absent.remove(&definition.name);
        if let Some(ring) = self.rings.get_mut(&definition.name) {
            ring.install(now, definition);
        }
    }

    /// Notes that the platform's table has no row for a ring.
    pub(super) fn note_absent(&mut self, now: TimePoint, name: RingName) {
        self.absent.entry(name).or_insert(now);
    }

    /// Returns the names of the rings that are followed here.
    pub(super) fn names(&self) -> impl Iterator<Item = &RingName> {
        self.rings.keys()
    }

    /// Returns whether some ring has no definition here.
    pub(super) fn lacks_definition(&self) -> bool {
        self.rings.values().any(|it| it.definition().is_none())
    }

    /// Takes a message of another member.
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

    /// Notes in each ring that this process was suspended until `now`.
    pub(super) fn resume(&mut self, now: TimePoint) {
        for ring in self.rings.values_mut() {
            ring.resume(now);
        }
    }

    /// Does what is due in each ring.
    pub(super) fn tick(&mut self, now: TimePoint, out: &mut Vec<(MemberId, LeaseMessage)>) {
        for ring in self.rings.values_mut() {
            ring.tick(now, out);
        }
    }

    /// Leaves every ring.
    pub(super) fn leave(&mut self, now: TimePoint, out: &mut Vec<(MemberId, LeaseMessage)>) {
        for ring in self.rings.values_mut() {
            ring.leave(now, out);
        }
    }

    /// Returns the definitions that should be written to the platform's table now.
    ///
    /// Each member proposes with a chance of one in the ring's size, so that a large ring does not race for one row.
    pub(super) fn review(
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
            let alive = candidates(name, view);
            let wanted = match ring.definition() {
                Some(_) => ring.wanted_change(now, &alive),
                None => founding(name, &alive, &self.me, self.absent.get(name), now),
            };
            let odds = ring.definition().map_or(alive.len(), |it| it.members.len()).max(1);
            proposals.extend(wanted.filter(|_| rng.random_range(0..odds) == 0));
        }
        proposals
    }

    fn follow(&mut self, name: RingName) {
        let max_members = if name == control_ring() {
            CONTROL_RING_SIZE
        } else {
            LeaseOptions::default().max_members
        };
        let options = LeaseOptions { max_members, ..LeaseOptions::default() };
        let me = self.me.clone();
        self.rings.entry(name).or_insert_with(|| LeaseRing::new(me, options));
    }
}

/// Returns the name of the control ring.
pub(super) fn control_ring() -> RingName {
    RingName::from(CONTROL_RING)
}

/// Returns the name of the ring that owns the claims of `service`.
pub(super) fn claims_ring(service: &ServiceName) -> RingName {
    RingName::from(format!("{CLAIMS_PREFIX}{service}"))
}

/// Returns the daemons that could be members of a ring.
fn candidates(name: &RingName, view: &MemberView) -> Vec<RingMember> {
    let service = name.as_str().strip_prefix(CLAIMS_PREFIX);
    view.members()
        .filter(|it| match service {
            Some(service) => {
                it.state == MemberState::Serving
                    && it.service.as_ref().is_some_and(|own| own.as_str() == service)
            }
            None => matches!(it.state, MemberState::Starting | MemberState::Serving),
        })
        .map(|it| RingMember { member: it.member.clone(), domain: it.domain.clone() })
        .collect()
}

/// Returns the first definition of a ring whose row is absent.
fn founding(
    name: &RingName,
    alive: &[RingMember],
    me: &MemberId,
    absent_since: Option<&TimePoint>,
    now: TimePoint,
) -> Option<RingDefinition> {
    let is_due = absent_since.is_some_and(|since| FOUNDING_DELAY <= now.since(*since));
    if !is_due || !alive.iter().any(|it| it.member == *me) {
        return None;
    }
    let members = spread_over_domains(alive, CONTROL_RING_SIZE);
    Some(RingDefinition { name: name.clone(), epoch: 1, members })
}

/// Returns up to `count` members, taking the failure domains in turn.
fn spread_over_domains(alive: &[RingMember], count: usize) -> Vec<RingMember> {
    let mut domains: BTreeMap<_, Vec<&RingMember>> = BTreeMap::new();
    for member in alive {
        domains.entry(&member.domain).or_default().push(member);
    }
    let depth = domains.values().map(Vec::len).max().unwrap_or(0);
    let in_turn = (0..depth).flat_map(|idx| domains.values().filter_map(move |it| it.get(idx)));
    in_turn.take(count).map(|it| (*it).clone()).collect()
}
