//! Calls to the owner of a shard and their replies.

use std::future::Future;

use hemlockhitch_model::{Now, RequestId};
use serde::{Deserialize, Serialize};

use crate::bill::Bill;
use crate::claim::{Claim, ClaimAnswer, ClaimKey, ClaimState, Outcome};
use crate::shard::ShardId;
use crate::{LedgerError, LedgerErrorKind};

/// A call to the owner of a shard. Every call is idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerCall {
    /// Claims a non-idempotent request.
    Claim(Claim),
    /// Records the outcome of a claimed request.
    Settle {
        /// The key of the claim.
        key: ClaimKey,
        /// The attempt that holds the claim.
        attempt: RequestId,
        /// The outcome to record.
        outcome: Outcome,
    },
    /// Records a bill.
    Bill(Bill),
    /// Finds the bill of a request.
    FindBill(RequestId),
    /// Finds the state of a claim.
    FindClaim(ClaimKey),
}

impl LedgerCall {
    /// Returns the shard that serves the call.
    #[must_use]
    pub fn shard(&self, shard_count: u16) -> ShardId {
        match self {
            Self::Claim(claim) => ShardId::of_claim(&claim.key, shard_count),
            Self::Settle { key, .. } | Self::FindClaim(key) => ShardId::of_claim(key, shard_count),
            Self::Bill(bill) => ShardId::of_request(bill.request_id, shard_count),
            Self::FindBill(request_id) => ShardId::of_request(*request_id, shard_count),
        }
    }
}

/// The owner's reply to a [`LedgerCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerReply {
    /// The reply to [`LedgerCall::Claim`].
    Claim(ClaimAnswer),
    /// The outcome or bill is durably recorded.
    Recorded,
    /// The reply to [`LedgerCall::FindBill`].
    Bill(Option<Bill>),
    /// The reply to [`LedgerCall::FindClaim`].
    Claimed(Option<ClaimState>),
    /// The node does not own the shard; retry at its owner. A write may or may not
    /// be recorded, so a claim must be retried with the same attempt.
    NotOwner,
    /// The call failed; a write may or may not be recorded.
    Failed {
        /// The kind of the error.
        kind: LedgerErrorKind,
        /// What failed and what to do.
        detail: String,
    },
}

impl LedgerReply {
    /// Creates the reply that reports `error`.
    #[must_use]
    pub fn failed(error: &LedgerError) -> Self {
        Self::Failed {
            kind: error.kind(),
            detail: error.detail().to_owned(),
        }
    }
}

/// Serves calls to the shards of this node.
pub trait LedgerService: Clone + Send + Sync + 'static {
    /// Serves one call.
    fn handle(&self, call: LedgerCall, now: Now) -> impl Future<Output = LedgerReply> + Send;
}

/// Sends calls to other nodes.
pub trait LedgerTransport: Clone + Send + Sync + 'static {
    /// Sends `call` to the node at `address` and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails if no reply was received; the call may or may not have been served.
    fn call(
        &self,
        address: &str,
        call: LedgerCall,
    ) -> impl Future<Output = Result<LedgerReply, LedgerError>> + Send;
}

/// Transport of a single-node system; every call fails.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTransport;

impl LedgerTransport for NoTransport {
    async fn call(&self, address: &str, _call: LedgerCall) -> Result<LedgerReply, LedgerError> {
        Err(LedgerError::new(
            LedgerErrorKind::Unavailable,
            format!("no transport to {address}; configure the peers"),
        ))
    }
}
