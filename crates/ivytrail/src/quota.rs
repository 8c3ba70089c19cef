//! Rate and burst limits of client accounts, enforced across the fleet.
//!
//! The right to issue an account's tokens is split into shares. At any time, at most one [`QuotaOwner`] owns a share
//! and issues tokens at the share's part of the rate. A [`TokenCache`] at each entry requests tokens from the owners
//! and spends one per request. Tokens are moved, never copied, and expire a short TTL after they are issued, so the
//! number of requests in any window of length `w` is at most `rate * w + burst`. [`QuotaPlan`] contains the proof.

mod account;
mod demand;
mod message;
mod owner;
mod plan;
#[cfg(test)]
mod tests;
mod token_cache;

pub use self::{
    message::{QuotaEffect, QuotaGrant, QuotaRequest, QuotaVerdict},
    owner::QuotaOwner,
    plan::{QuotaOptions, QuotaPlan},
    token_cache::TokenCache,
};
use crate::id::{AccountName, ContentDigest};

/// Maximum number of shares into which an account's rate is split.
pub const MAX_SHARES: u8 = 3;

/// Returns the digest that determines the owner of a share in the ring.
pub fn share_digest(account: &AccountName, share: u8) -> ContentDigest {
    ContentDigest::of_parts(&[b"quota-share", account.as_str().as_bytes(), &[share]])
}
