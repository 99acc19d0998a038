//! What a snapshot holds.

use hemlockhitch_model::RequestId;
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimKey, ClaimState};
use crate::state::BillTotal;

/// The state of a shard as it is stored.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SnapshotContent {
    /// How often the shard has changed its owner.
    pub epoch: u64,
    /// The claims that are kept.
    pub claims: Vec<ClaimEntry>,
    /// The bills whose repeats are recognised.
    pub bills: Vec<RecordedBill>,
    /// A bill that ended no later may have been recorded and forgotten, in
    /// milliseconds since the Unix epoch.
    pub forgotten_unix_ms: u64,
    /// The sums of all bills but the late ones.
    pub totals: Vec<BillTotal>,
    /// The sums of the bills that came too late to tell whether they repeat.
    pub late_totals: Vec<BillTotal>,
}

/// One claim that is kept.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClaimEntry {
    /// What was claimed.
    pub key: ClaimKey,
    /// The last attempt and how it ended.
    pub state: ClaimState,
    /// When the claim last changed, in milliseconds since the Unix epoch.
    pub changed_unix_ms: u64,
    /// Attempts that ended as not run; a delayed repeat of their claims is
    /// refused.
    pub spent: Vec<RequestId>,
}

/// One bill whose repeats are recognised.
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
