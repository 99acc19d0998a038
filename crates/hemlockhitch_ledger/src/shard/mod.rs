//! Shards of the ledger and their owners.

use std::fmt;

use hemlockhitch_model::{NodeName, Now, RequestId};
use serde::{Deserialize, Serialize};

use crate::claim::ClaimKey;

/// Index of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Returns the shard of a claim key in a ledger with `shard_count` shards.
    #[must_use]
    pub fn of_claim(key: &ClaimKey, shard_count: u16) -> Self {
        let organisation = fnv1a(FNV_OFFSET_BASIS, key.organisation.as_str().as_bytes());
        let with_separator = fnv1a(organisation, &[0]);
        Self::of_hash(
            fnv1a(with_separator, key.idempotency_key.as_bytes()),
            shard_count,
        )
    }

    /// Returns the shard of a request's bill in a ledger with `shard_count` shards.
    #[must_use]
    pub fn of_request(request_id: RequestId, shard_count: u16) -> Self {
        let bytes = request_id.as_u128().to_be_bytes();
        Self::of_hash(fnv1a(FNV_OFFSET_BASIS, &bytes), shard_count)
    }

    fn of_hash(hash: u64, shard_count: u16) -> Self {
        let index = hash % u64::from(shard_count.max(1));
        Self(u16::try_from(index).unwrap_or_default())
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}", self.0)
    }
}

/// The owner of a shard, according to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardOwner {
    /// This node is the owner. Two nodes may believe this at the same time;
    /// conditional writes to the shard's log let only one of them write.
    Local,
    /// Another node is the owner.
    Remote {
        /// The name of the owner node.
        node: NodeName,
        /// The peer address of the owner, `ip:port`.
        address: String,
    },
    /// No owner is known.
    Unknown,
}

/// Looks up the owners of shards.
pub trait ShardDirectory: Clone + Send + Sync + 'static {
    /// Returns the owner of `shard` at `now`.
    fn owner(&self, shard: ShardId, now: Now) -> ShardOwner;
}

/// Directory of a single-node system: this node owns every shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoleOwner;

impl ShardDirectory for SoleOwner {
    fn owner(&self, _shard: ShardId, _now: Now) -> ShardOwner {
        ShardOwner::Local
    }
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Continues an FNV-1a hash. The result must be the same on every node and in
/// every release.
fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns a hash of `text` that is the same on every node and in every release.
pub(crate) fn stable_hash(text: &str) -> u64 {
    fnv1a(FNV_OFFSET_BASIS, text.as_bytes())
}
