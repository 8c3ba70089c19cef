//! Selects the daemons that are asked for evidence, so that the load on each daemon is bounded.
//!
//! In each failure domain the first daemons in rendezvous order are sources: they read the head from the platform or
//! question the control ring. The daemons after them, about as many as the square root of the domain's size, are
//! relays, which ask the sources. All others ask the relays, so that evidence takes two hops.

use super::AuthorityContext;
use crate::{
    id::{ContentDigest, MemberId, rendezvous_weight},
    settings::feed::FeedPeer,
    time::TimePoint,
};

/// Number of sources in each failure domain.
const SOURCES_PER_DOMAIN: usize = 2;

/// Maximum number of requests kept to match late replies.
const MAX_REQUESTS: usize = 4;

/// Selects relays and keeps the outstanding requests to them.
#[derive(Debug, Default)]
pub(super) struct RelaySelector {
    requests: Vec<RelayRequest>,
    /// Number of requests not answered by the time of the next one; each selects the next relay in order.
    n_unanswered: usize,
}

#[derive(Debug)]
struct RelayRequest {
    serial: u64,
    to: MemberId,
    sent_at: TimePoint,
    is_answered: bool,
}

impl RelaySelector {
    /// Returns the daemons to ask now and records the request. With `needs_fallback`, one daemon of the whole fleet is
    /// asked in addition to a preferred relay.
    pub(super) fn select(
        &mut self,
        local_peer: &FeedPeer,
        context: &AuthorityContext<'_>,
        serial: u64,
        needs_fallback: bool,
    ) -> Vec<MemberId> {
        if self.requests.last().is_some_and(|it| !it.is_answered) {
            self.n_unanswered += 1;
        }
        let preferred = preferred_relays(local_peer, context.peers);
        let offset = relay_offset(local_peer);
        let mut chosen = Vec::new();
        if !preferred.is_empty() {
            chosen.push(preferred[(offset + self.n_unanswered) % preferred.len()].clone());
        }
        if needs_fallback && !context.peers.is_empty() {
            let idx = (offset + serial as usize) % context.peers.len();
            chosen.push(context.peers[idx].member.clone());
        }
        chosen.dedup();
        for to in &chosen {
            let to = to.clone();
            self.requests.push(RelayRequest {
                serial,
                to,
                sent_at: context.now,
                is_answered: false,
            });
        }
        let n_excess = self.requests.len().saturating_sub(MAX_REQUESTS);
        self.requests.drain(..n_excess);
        chosen
    }

    /// Returns when the request that `from` answers was sent, and marks it as answered.
    pub(super) fn sent_at_of(&mut self, serial: u64, from: &MemberId) -> Option<TimePoint> {
        let matches = |it: &&mut RelayRequest| it.serial == serial && it.to == *from;
        let request = self.requests.iter_mut().find(matches)?;
        request.is_answered = true;
        Some(request.sent_at)
    }
}

/// Returns whether `local_peer` is a source of evidence: one of the first in its domain or a member of the control
/// ring.
pub(super) fn is_source(local_peer: &FeedPeer, context: &AuthorityContext<'_>) -> bool {
    let is_member = context.ring.is_some_and(|ring| ring.members.contains(&local_peer.member));
    is_member || crate::settings::feed::domain_rank(local_peer, context.peers) < SOURCES_PER_DOMAIN
}

/// Returns the daemons of the local failure domain that `local_peer` asks by default, in rendezvous order.
fn preferred_relays(local_peer: &FeedPeer, peers: &[FeedPeer]) -> Vec<MemberId> {
    let digest = ContentDigest::of_parts(&[local_peer.domain.as_str().as_bytes()]);
    let weight = |member: &MemberId| rendezvous_weight(&member.instance, &digest);
    let mut domain_members = peers
        .iter()
        .filter(|it| it.domain == local_peer.domain)
        .map(|it| &it.member)
        .collect::<Vec<_>>();
    domain_members.sort_by_key(|member| std::cmp::Reverse(weight(member)));
    let rank = domain_members.iter().filter(|it| weight(&local_peer.member) < weight(it)).count();
    let n_relays = (domain_members.len() + 1).isqrt();
    let range = match rank {
        rank if rank < SOURCES_PER_DOMAIN => 0..0,
        rank if rank < SOURCES_PER_DOMAIN + n_relays => 0..SOURCES_PER_DOMAIN,
        _ => SOURCES_PER_DOMAIN..SOURCES_PER_DOMAIN + n_relays,
    };
    domain_members[range].iter().map(|it| (*it).clone()).collect()
}

/// Returns an offset derived from the instance name, which distributes the daemons over the relays.
fn relay_offset(local_peer: &FeedPeer) -> usize {
    let digest = ContentDigest::of_parts(&[local_peer.member.instance.as_str().as_bytes()]);
    (digest.prefix() >> 1) as usize
}
