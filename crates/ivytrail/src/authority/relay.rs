//! Whom a daemon asks for evidence, so that no daemon is asked by too many.
//!
//! In each failure domain the first daemons in rendezvous order are sources: they read the head from the platform, or ask
//! the control ring. The next ones, about as many as the square root of the domain's size, ask the sources; all others
//! ask these relays. Evidence thus travels two hops.

use super::AuthorityContext;
use crate::{
    id::{ContentDigest, MemberId, rendezvous_weight},
    settings::feed::FeedPeer,
    time::TimePoint,
};

/// Sources in each failure domain.
const SOURCES_PER_DOMAIN: usize = 2;

/// Sendings that are remembered for late replies.
const MAX_SENDINGS: usize = 4;

/// The choice of relays, and the requests on their way.
#[derive(Debug, Default)]
pub(super) struct RelayChoice {
    sendings: Vec<RelaySending>,
    /// Requests without an answer in time; each moves the choice on by one.
    n_failed: usize,
}

#[derive(Debug)]
struct RelaySending {
    serial: u64,
    to: MemberId,
    sent_at: TimePoint,
    is_answered: bool,
}

impl RelayChoice {
    /// Returns whom to ask now, and remembers the request. A worried daemon also asks one outside its usual relays.
    pub(super) fn choose(
        &mut self,
        me: &FeedPeer,
        context: &AuthorityContext<'_>,
        serial: u64,
        is_worried: bool,
    ) -> Vec<MemberId> {
        if self.sendings.last().is_some_and(|it| !it.is_answered) {
            self.n_failed += 1;
        }
        let usual = usual_relays(me, context.peers);
        let spread = own_spread(me);
        let mut chosen = Vec::new();
        if !usual.is_empty() {
            chosen.push(usual[(spread + self.n_failed) % usual.len()].clone());
        }
        if is_worried && !context.peers.is_empty() {
            let idx = (spread + serial as usize) % context.peers.len();
            chosen.push(context.peers[idx].member.clone());
        }
        chosen.dedup();
        for to in &chosen {
            let to = to.clone();
            self.sendings.push(RelaySending {
                serial,
                to,
                sent_at: context.now,
                is_answered: false,
            });
        }
        let n_old = self.sendings.len().saturating_sub(MAX_SENDINGS);
        self.sendings.drain(..n_old);
        chosen
    }

    /// Returns when the request that `from` answers was sent.
    pub(super) fn sending_of(&mut self, serial: u64, from: &MemberId) -> Option<TimePoint> {
        let is_meant = |it: &&mut RelaySending| it.serial == serial && it.to == *from;
        let sending = self.sendings.iter_mut().find(is_meant)?;
        sending.is_answered = true;
        Some(sending.sent_at)
    }
}

/// Returns whether `me` is a source of evidence: one of the first in its domain, or a member of the control ring.
pub(super) fn is_source(me: &FeedPeer, context: &AuthorityContext<'_>) -> bool {
    let is_member = context.ring.is_some_and(|ring| ring.members.contains(&me.member));
    is_member || crate::settings::feed::domain_rank(me, context.peers) < SOURCES_PER_DOMAIN
}

/// Returns the daemons of the own domain that `me` usually asks, in rendezvous order.
fn usual_relays(me: &FeedPeer, peers: &[FeedPeer]) -> Vec<MemberId> {
    let digest = ContentDigest::of_parts(&[me.domain.as_str().as_bytes()]);
    let weight = |member: &MemberId| rendezvous_weight(&member.instance, &digest);
    let mut domain =
        peers.iter().filter(|it| it.domain == me.domain).map(|it| &it.member).collect::<Vec<_>>();
    domain.sort_by_key(|member| std::cmp::Reverse(weight(member)));
    let rank = domain.iter().filter(|it| weight(&me.member) < weight(it)).count();
    let n_relays = (domain.len() + 1).isqrt();
    let range = match rank {
        rank if rank < SOURCES_PER_DOMAIN => 0..0,
        rank if rank < SOURCES_PER_DOMAIN + n_relays => 0..SOURCES_PER_DOMAIN,
        _ => SOURCES_PER_DOMAIN..SOURCES_PER_DOMAIN + n_relays,
    };
    domain[range].iter().map(|it| (*it).clone()).collect()
}

/// Returns a number of its own for each daemon, so that not all choose the same relay.
fn own_spread(me: &FeedPeer) -> usize {
    let digest = ContentDigest::of_parts(&[me.member.instance.as_str().as_bytes()]);
    (digest.prefix() >> 1) as usize
}
