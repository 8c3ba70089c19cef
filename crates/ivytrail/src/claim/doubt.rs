//! Whether a key that this table has never seen may have run elsewhere.
//!
//! A key that carries its time was made before any owner saw it, up to the lead that owners allow. So an owner that
//! ended before it was made can't have run it. A key that tells nothing is in doubt until resends of it are no longer
//! expected.

use super::{ClaimTable, ClaimVerdict};
use crate::{
    id::{ContentDigest, MemberId},
    lease::PriorOwner,
    time::{TimePoint, WallClock},
};

/// Whether an earlier owner may have run a key.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum KeyDoubt {
    /// None can have run it.
    None,
    /// This living member knows.
    Ask(MemberId),
    /// A member that has ended may have run it.
    Lost,
}

impl ClaimTable {
    /// Judges a key by its own time alone.
    pub(super) fn age_verdict(
        &self,
        wall: WallClock,
        made_ms: Option<u64>,
    ) -> Option<ClaimVerdict> {
        let made = WallClock::from_millis(made_ms?);
        let slack = self.options.clock_skew * 2 + self.options.key_lead;
        let memory = self.options.retention.saturating_sub(slack);
        if wall.plus(self.options.key_lead) < made {
            return Some(ClaimVerdict::TooNew);
        }
        (made.plus(memory) <= wall).then_some(ClaimVerdict::TooOld)
    }

    /// Judges whether an earlier owner may have run a key that this table has never seen.
    pub(super) fn doubt_of(
        &self,
        now: TimePoint,
        wall: WallClock,
        digest: &ContentDigest,
        made_ms: Option<u64>,
        priors: &[PriorOwner],
    ) -> KeyDoubt {
        let mut doubt = KeyDoubt::None;
        for prior in priors {
            // A living member is asked even if it has handed over: it answers for those before it too.
            let is_known = !prior.is_live
                && prior.member.as_ref().is_some_and(|it| self.intake.covers(it, digest));
            if is_known || !self.may_have_run(now, wall, made_ms, prior) {
                continue;
            }
            match &prior.member {
                Some(owner) if prior.is_live => doubt = KeyDoubt::Ask(owner.clone()),
                _ => return KeyDoubt::Lost,
            }
        }
        doubt
    }

    /// Returns whether `prior` may have run a key that was made at `made_ms`.
    fn may_have_run(
        &self,
        now: TimePoint,
        wall: WallClock,
        made_ms: Option<u64>,
        prior: &PriorOwner,
    ) -> bool {
        let since = now.since(prior.owned_until);
        match made_ms {
            Some(made_ms) => {
                let slack = self.options.clock_skew * 2 + self.options.key_lead;
                let since_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
                let until = WallClock::from_millis(wall.as_millis().saturating_sub(since_ms));
                WallClock::from_millis(made_ms) <= until.plus(slack)
            }
            None => since <= self.options.resend_horizon,
        }
    }
}
