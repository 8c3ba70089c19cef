//! Names and identifiers.
//!
//! Names are immutable shared strings. Cloning a name is cheap, and short names are stored without heap allocation.

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            AsRef, Clone, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[as_ref(str)]
        #[from(&str, String, SmolStr)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// Name of a client account (tenant), e.g. `meteo`.
    AccountName
);
name_type!(
    /// Name of a service, which is a set of interchangeable backend servers, e.g. `booking`.
    ServiceName
);
name_type!(
    /// Name of a route, unique within its team, e.g. `book-launch`.
    RouteName
);
name_type!(
    /// Name of a team, which owns one settings subtree.
    TeamName
);
name_type!(
    /// Name of an instance, stable across restarts of its daemon; see [`MemberId`].
    InstanceName
);
name_type!(
    /// Name of a failure domain, e.g. `kolkata`.
    DomainName
);
name_type!(
    /// Name of a lease ring, e.g. `claims/booking`.
    RingName
);
name_type!(
    /// Public identifier of an API key, shown in lists and in the audit trail. It is not a secret and grants no access.
    KeyName
);

/// Identifies one run of a daemon by its instance name and an incarnation number that increases with each start.
///
/// A newer incarnation of an instance proves that the older one has ended.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{instance}#{incarnation}")]
pub struct MemberId {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Wall clock time of the start, in milliseconds since the Unix epoch; increases with each start.
    pub incarnation: u64,
}

/// Identifies a call at its entry daemon, unique within one run of that daemon.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("call-{_0}")]
pub struct CallId(pub u64);

/// Identifies one attempt of a call, unique across all daemons.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{entry}/{serial}")]
pub struct AttemptId {
    /// Entry daemon that sent the attempt.
    pub entry: MemberId,
    /// Serial number of the attempt at that daemon.
    pub serial: u64,
}

/// Identifies a root request: the external call from which a tree of nested calls descends.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{entry}/root-{serial}")]
pub struct RootId {
    /// Daemon that received the root request.
    pub entry: MemberId,
    /// Serial number of the call at that daemon.
    pub serial: u64,
}

/// Opaque, unguessable token that authenticates a running call to the local daemon.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallToken(pub u128);

impl std::fmt::Debug for CallToken {
    // The token is a credential and must not be logged.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CallToken(..)")
    }
}

/// SHA-256 digest of a key, a request body or an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Returns the digest of `parts`. Each part is prefixed with its length, so that different lists have different
    /// input.
    pub fn of_parts(parts: &[&[u8]]) -> ContentDigest {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        ContentDigest(hasher.finalize().into())
    }

    /// Returns the first eight bytes as a big-endian number, for rendezvous hashing and sampling.
    pub fn prefix(&self) -> u64 {
        self.0.iter().take(8).fold(0, |acc, byte| (acc << 8) | u64::from(*byte))
    }
}

impl std::fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "digest-{:016x}", self.prefix())
    }
}

/// Returns the rendezvous weight of `member` for the key with `digest`; the member with the greatest weight owns the
/// key.
pub fn rendezvous_weight(member: &InstanceName, digest: &ContentDigest) -> u64 {
    // FNV-1a over the name, then a 64-bit finalizer. Unlike std's default hasher, the result is the same in every build
    // and process, so all daemons agree on the owner.
    let seed = member.as_str().bytes().fold(0xcbf2_9ce4_8422_2325_u64, |acc, byte| {
        (acc ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mut mixed = seed ^ digest.prefix();
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
