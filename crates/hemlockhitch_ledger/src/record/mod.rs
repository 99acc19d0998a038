//! What a shard's log holds: batches of records.

use std::fmt;

use hemlockhitch_model::{NodeName, RequestId};
use serde::{Deserialize, Serialize};

use crate::bill::Bill;
use crate::claim::{Claim, ClaimKey, Outcome};

/// One change of a shard's state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A node became the owner; batches of former owners end here.
    Opened {
        /// The new owner.
        owner: NodeName,
        /// Counts the owners of the shard.
        epoch: u64,
    },
    /// An attempt was granted its claim.
    Claimed {
        /// The claim.
        claim: Claim,
        /// When, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// An attempt ended.
    Settled {
        /// What was claimed.
        key: ClaimKey,
        /// The attempt that ended.
        attempt: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// When, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// A request was billed.
    Billed(Bill),
    /// A request was billed too late to tell whether the bill repeats one that
    /// is forgotten; it is summed apart.
    BilledLate(Bill),
}

/// Identifies one batch, so that a lost answer can be resolved by reading back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct BatchId(RequestId);

impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl BatchId {
    /// Draws a new identifier.
    #[must_use]
    pub fn random() -> Self {
        Self(RequestId::random())
    }
}

/// The records that one write adds to a log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Batch {
    /// Identifies the batch.
    pub id: BatchId,
    /// The position of the batch in its log; the first is 1.
    pub seq: u64,
    /// The records in order.
    pub records: Vec<Record>,
}
