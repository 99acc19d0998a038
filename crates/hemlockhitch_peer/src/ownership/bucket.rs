//! Buckets: the units of ownership.

use std::fmt;

use hemlockhitch_ledger::shard::ShardId;
use hemlockhitch_model::EndpointName;

use crate::hash::hash_text;

/// What a bucket contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum BucketKind {
    /// Endpoints whose name hashes to the bucket.
    Endpoint,
    /// One shard of the ledger.
    Ledger,
}

/// A set of endpoints or one shard of the ledger; at most one node owns it at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bucket {
    /// What the bucket contains.
    pub kind: BucketKind,
    /// Index among the buckets of its kind, from 0.
    pub index: u16,
}

impl Bucket {
    /// Returns the bucket of an endpoint among `count` buckets.
    #[must_use]
    pub fn of_endpoint(endpoint: &EndpointName, count: u16) -> Self {
        let index = hash_text(endpoint.as_str()) % u64::from(count.max(1));
        Self {
            kind: BucketKind::Endpoint,
            index: u16::try_from(index).unwrap_or_default(),
        }
    }

    /// Returns the bucket of a ledger shard.
    #[must_use]
    pub const fn of_shard(shard: ShardId) -> Self {
        Self {
            kind: BucketKind::Ledger,
            index: shard.0,
        }
    }

    /// Returns the key in the key-value service under which the owner is recorded.
    #[must_use]
    pub fn key(self) -> String {
        format!("own/{self}")
    }

    pub(crate) fn hash(self) -> u64 {
        hash_text(&self.key())
    }

    /// Returns the encoding for peer messages: the kind in the upper 16 bits, the
    /// index in the lower 16.
    pub(crate) fn wire_id(self) -> u32 {
        let kind = match self.kind {
            BucketKind::Endpoint => 0,
            BucketKind::Ledger => 1,
        };
        kind << u16::BITS | u32::from(self.index)
    }

    pub(crate) fn from_wire_id(id: u32) -> Option<Self> {
        let kind = match id >> u16::BITS {
            0 => BucketKind::Endpoint,
            1 => BucketKind::Ledger,
            _ => return None,
        };
        let index = u16::try_from(id & u32::from(u16::MAX)).ok()?;
        Some(Self { kind, index })
    }
}

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            BucketKind::Endpoint => "endpoint",
            BucketKind::Ledger => "ledger",
        };
        write!(f, "{kind}/{:03}", self.index)
    }
}
