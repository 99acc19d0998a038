//! Buckets: what is owned as one.

use std::fmt;

use hemlockhitch_ledger::shard::ShardId;
use hemlockhitch_model::EndpointName;

use crate::hash::hash_text;

/// What a bucket holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Space {
    /// Endpoints.
    Endpoint,
    /// One shard of the ledger.
    Ledger,
}

/// A set of endpoints, or one shard of the ledger, with one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bucket {
    /// What the bucket holds.
    pub space: Space,
    /// Its number within the space.
    pub index: u16,
}

impl Bucket {
    /// Returns the bucket of an endpoint among `count` buckets.
    #[must_use]
    pub fn of_endpoint(endpoint: &EndpointName, count: u16) -> Self {
        let index = hash_text(endpoint.as_str()) % u64::from(count.max(1));
        Self {
            space: Space::Endpoint,
            index: u16::try_from(index).unwrap_or_default(),
        }
    }

    /// Returns the bucket of a ledger shard.
    #[must_use]
    pub const fn of_shard(shard: ShardId) -> Self {
        Self {
            space: Space::Ledger,
            index: shard.0,
        }
    }

    /// Returns the key in the key-value service that names the owner.
    #[must_use]
    pub fn key(self) -> String {
        format!("own/{self}")
    }

    pub(crate) fn hash(self) -> u64 {
        hash_text(&self.key())
    }

    /// Returns the number that stands for the bucket in messages.
    pub(crate) fn code(self) -> u32 {
        let space = match self.space {
            Space::Endpoint => 0,
            Space::Ledger => 1,
        };
        space << u16::BITS | u32::from(self.index)
    }

    pub(crate) fn from_code(code: u32) -> Option<Self> {
        let space = match code >> u16::BITS {
            0 => Space::Endpoint,
            1 => Space::Ledger,
            _ => return None,
        };
        let index = u16::try_from(code & u32::from(u16::MAX)).ok()?;
        Some(Self { space, index })
    }
}

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let space = match self.space {
            Space::Endpoint => "endpoint",
            Space::Ledger => "ledger",
        };
        write!(f, "{space}/{:03}", self.index)
    }
}
