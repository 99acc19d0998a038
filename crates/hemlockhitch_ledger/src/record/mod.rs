//! Records of a shard's log and the batches in which they are written.

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
    /// A node took over the shard; written before its first other record.
    Opened {
        /// The new owner.
        owner: NodeName,
        /// The ownership epoch, incremented by each new owner.
        epoch: u64,
    },
    /// An attempt was granted its claim.
    Claimed {
        /// The granted claim.
        claim: Claim,
        /// When it was granted, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// The outcome of an attempt was recorded.
    Settled {
        /// The key of the claim.
        key: ClaimKey,
        /// The attempt that the outcome belongs to.
        attempt: RequestId,
        /// The outcome.
        outcome: Outcome,
        /// When it was recorded, in milliseconds since the Unix epoch.
        at_unix_ms: u64,
    },
    /// A request was billed.
    Billed(Bill),
    /// A request was billed too late to be checked against evicted bills for
    /// duplicates; it is totalled separately.
    BilledLate(Bill),
}

/// Unique id of a batch. After a lost response it shows whether the batch was
/// written. Snapshots use it as their id, too.
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
    /// Generates a random id.
    #[must_use]
    pub fn random() -> Self {
        Self(RequestId::random())
    }
}

/// Records that are appended to a log in one write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Batch {
    /// Unique id of the batch.
    pub id: BatchId,
    /// The position of the batch in its log, starting at 1.
    pub seq: u64,
    /// The records in the order of their application.
    pub records: Vec<Record>,
}
