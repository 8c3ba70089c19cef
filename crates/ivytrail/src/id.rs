//! Names and identifiers.
//!
//! Names are shared immutable strings: cloning one is cheap and never allocates for short names.

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
            /// Returns the name as text.
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
    /// Name of a service: a set of interchangeable backend servers, e.g. `booking`.
    ServiceName
);
name_type!(
    /// Name of a route, unique in its team, e.g. `book-launch`.
    RouteName
);
name_type!(
    /// Name of a team, the owner of one settings subtree.
    TeamName
);
name_type!(
    /// Name of an instance. It is stable across restarts of its daemon; see [`MemberId`].
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
    /// Public identifier of a key: shown in lists and in the audit trail, worth nothing by itself.
    KeyName
);

/// One run of a daemon: the instance's name and an incarnation that grows with each start.
///
/// A newer incarnation of an instance proves that the older one has ended.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{instance}#{incarnation}")]
pub struct MemberId {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Wall clock of the start in milliseconds since the Unix epoch; grows with each start.
    pub incarnation: u64,
}

/// A call at its entry daemon. Unique within one run of that daemon.
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

/// One attempt of a call, unique across the fleet.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{entry}/{serial}")]
pub struct AttemptId {
    /// The entry daemon that made the attempt.
    pub entry: MemberId,
    /// Serial number of the attempt at that daemon.
    pub serial: u64,
}

/// A root request: the call of a caller from which all nested calls descend.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{entry}/root-{serial}")]
pub struct RootId {
    /// The daemon that received the root request.
    pub entry: MemberId,
    /// Serial number of the call at that daemon.
    pub serial: u64,
}

/// Opaque, unguessable token by which a running call proves itself to its own daemon.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallToken(pub u128);

impl std::fmt::Debug for CallToken {
    // A token is a credential: it never reaches a log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CallToken(..)")
    }
}

/// SHA-256 digest of a key, a request body or an idempotency key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Returns the digest of the parts, each preceded by its length so that no two lists of parts collide.
    pub fn of_parts(parts: &[&[u8]]) -> ContentDigest {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        ContentDigest(hasher.finalize().into())
    }

    /// Returns the first eight bytes as a number, for rendezvous hashing and samples.
    pub fn prefix(&self) -> u64 {
        self.0.iter().take(8).fold(0, |acc, byte| (acc << 8) | u64::from(*byte))
    }
}

impl std::fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "digest-{:016x}", self.prefix())
    }
}

/// Returns the rendezvous weight of `member` for the key with `digest`: the member with the greatest weight owns it.
pub fn rendezvous_weight(member: &InstanceName, digest: &ContentDigest) -> u64 {
    // FNV-1a over the name, then a 64-bit finaliser. It is stable across builds and processes, unlike std's hasher.
    let seed = member.as_str().bytes().fold(0xcbf2_9ce4_8422_2325_u64, |acc, byte| {
        (acc ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mut mixed = seed ^ digest.prefix();
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
