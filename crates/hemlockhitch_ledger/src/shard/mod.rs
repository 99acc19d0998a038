//! Shards of the ledger and who writes them.

use std::fmt;

use hemlockhitch_model::{NodeName, Now, RequestId};
use serde::{Deserialize, Serialize};

use crate::claim::ClaimKey;

/// Addresses one shard of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Returns the shard of a claim's key in a ledger of `shard_count` shards.
    #[must_use]
    pub fn of_claim(key: &ClaimKey, shard_count: u16) -> Self {
        let organisation = hash(HASH_START, key.organisation.as_str().as_bytes());
        let separated = hash(organisation, &[0]);
        Self::of_hash(hash(separated, key.idempotency_key.as_bytes()), shard_count)
    }

    /// Returns the shard of a request's bill in a ledger of `shard_count` shards.
    #[must_use]
    pub fn of_request(request_id: RequestId, shard_count: u16) -> Self {
        let bytes = request_id.as_u128().to_be_bytes();
        Self::of_hash(hash(HASH_START, &bytes), shard_count)
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

/// Who writes a shard, as far as this node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardOwner {
    /// This node believes that it is the owner. Two nodes may believe so at
    /// once; the log of the shard lets only one of them write.
    Here,
    /// Another node.
    At {
        /// The name of the owner.
        node: NodeName,
        /// The address that peers call, `ip:port`.
        address: String,
    },
    /// Nobody is known to own it.
    Nobody,
}

/// Tells who owns each shard.
pub trait ShardOwners: Clone + Send + Sync + 'static {
    /// Returns the owner of `shard`.
    fn owner(&self, shard: ShardId, now: Now) -> ShardOwner;
}

/// The owners of a system of one node: this node owns every shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoleOwner;

impl ShardOwners for SoleOwner {
    fn owner(&self, _shard: ShardId, _now: Now) -> ShardOwner {
        ShardOwner::Here
    }
}

/// The offset basis of the 64-bit FNV-1a hash.
const HASH_START: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime of the 64-bit FNV-1a hash.
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Continues an FNV-1a hash, which is the same on every node and release.
fn hash(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(HASH_PRIME)
    })
}

/// Returns a hash of `text` that is the same on every node and release.
pub(crate) fn hash_text(text: &str) -> u64 {
    hash(HASH_START, text.as_bytes())
}
