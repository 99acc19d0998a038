//! Stored content of a snapshot.

use hemlockhitch_model::RequestId;
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimKey, ClaimState};
use crate::state::BillTotal;

/// The stored state of a shard.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SnapshotContent {
    /// The ownership epoch of the shard.
    pub epoch: u64,
    /// The retained claims.
    pub claims: Vec<ClaimEntry>,
    /// The recent bills kept for deduplication.
    pub bills: Vec<RecordedBill>,
    /// Latest end time of an evicted bill, in milliseconds since the Unix epoch.
    /// A bill that ended no later may be a duplicate of an evicted one.
    pub forgotten_unix_ms: u64,
    /// The totals of all bills except late ones.
    pub totals: Vec<BillTotal>,
    /// The totals of bills that arrived too late to be checked for duplicates.
    pub late_totals: Vec<BillTotal>,
}

/// One retained claim.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimEntry {
    /// The key of the claim.
    pub key: ClaimKey,
    /// The latest attempt and its outcome.
    pub state: ClaimState,
    /// When the claim last changed, in milliseconds since the Unix epoch.
    pub changed_unix_ms: u64,
    /// Attempts that ended as not run. A delayed or retried claim of one of them
    /// is refused.
    pub spent: Vec<RequestId>,
}

/// Reference to a recent bill in the log, kept for deduplication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RecordedBill {
    /// The request that was billed.
    pub request_id: RequestId,
    /// The position of the batch that holds the bill.
    pub seq: u64,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}
