//! Rate and burst of client accounts, counted across the fleet.
//!
//! The right to mint an account's tokens is split into shares. One [`QuotaOwner`] owns a share at any instant and mints
//! its part of the rate. A [`TokenCache`] at each entry asks the homes for tokens and spends one per request. Tokens
//! are moved, never copied, and a token is void a short hold time after it was minted; so the uses within any window
//! of length `w` stay within `rate * w + burst`. [`QuotaPlan`] holds the proof.

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

/// Greatest number of shares into which an account's rate is split.
pub const MAX_SHARES: u8 = 3;

/// Returns the digest by which the owner of a share is found among the members of the ring.
pub fn share_digest(account: &AccountName, share: u8) -> ContentDigest {
    ContentDigest::of_parts(&[b"quota-share", account.as_str().as_bytes(), &[share]])
}
