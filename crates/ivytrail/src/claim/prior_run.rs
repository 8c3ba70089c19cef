//! Checks whether an earlier owner may have run a key that is not in the table.
//!
//! A key that contains its creation time was created before any owner received it, up to the permitted clock lead. An
//! owner whose ownership ended before the creation time therefore cannot have run it. A key without a creation time is
//! in doubt until no more resends of requests to the earlier owner are expected.

use super::{ClaimTable, ClaimVerdict};
use crate::{
    id::{ContentDigest, MemberId},
    lease::PriorOwner,
    time::{TimePoint, WallClock},
};

/// Whether an earlier owner may have run a key.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum PriorRun {
    /// No earlier owner can have run it.
    Impossible,
    /// This earlier owner is alive and must be asked.
    Ask(MemberId),
    /// An earlier owner that can no longer be asked may have run it.
    Possible,
}

impl ClaimTable {
    /// Returns a refusal if the creation time of a key lies too far in the past or in the future.
    pub(super) fn age_verdict(
        &self,
        wall: WallClock,
        made_ms: Option<u64>,
    ) -> Option<ClaimVerdict> {
        let created = WallClock::from_millis(made_ms?);
        let clock_tolerance = self.options.clock_skew * 2 + self.options.max_key_lead;
        let max_age = self.options.retention.saturating_sub(clock_tolerance);
        if wall.plus(self.options.max_key_lead) < created {
            return Some(ClaimVerdict::TooNew);
        }
        (created.plus(max_age) <= wall).then_some(ClaimVerdict::TooOld)
    }

    /// Returns whether an earlier owner may have run a key that is not in the table.
    pub(super) fn prior_run_of(
        &self,
        now: TimePoint,
        wall: WallClock,
        digest: &ContentDigest,
        made_ms: Option<u64>,
        priors: &[PriorOwner],
    ) -> PriorRun {
        let mut prior_run = PriorRun::Impossible;
        for prior in priors {
            // A live member is asked even if its handover is complete, because its answer also covers the owners before
            // it.
            let is_covered = !prior.is_live
                && prior.member.as_ref().is_some_and(|it| self.handovers.covers(it, digest));
            if is_covered || !self.may_have_run(now, wall, made_ms, prior) {
                continue;
            }
            match &prior.member {
                Some(owner) if prior.is_live => prior_run = PriorRun::Ask(owner.clone()),
                _ => return PriorRun::Possible,
            }
        }
        prior_run
    }

    /// Returns whether `prior` may have run a key created at `made_ms`.
    fn may_have_run(
        &self,
        now: TimePoint,
        wall: WallClock,
        made_ms: Option<u64>,
        prior: &PriorOwner,
    ) -> bool {
        let elapsed = now.since(prior.owned_until);
        match made_ms {
            Some(made_ms) => {
                let clock_tolerance = self.options.clock_skew * 2 + self.options.max_key_lead;
                let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
                let until = WallClock::from_millis(wall.as_millis().saturating_sub(elapsed_ms));
                WallClock::from_millis(made_ms) <= until.plus(clock_tolerance)
            }
            None => elapsed <= self.options.resend_horizon,
        }
    }
}
