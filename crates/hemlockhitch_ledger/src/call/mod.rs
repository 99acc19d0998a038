//! Messages between a node and the owner of a shard.

use std::future::Future;

use hemlockhitch_model::{Now, RequestId};
use serde::{Deserialize, Serialize};

use crate::bill::Bill;
use crate::claim::{Claim, ClaimAnswer, ClaimKey, ClaimState, Outcome};
use crate::shard::ShardId;
use crate::{LedgerError, LedgerErrorKind};

/// A call to the owner of a shard. Every call may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LedgerCall {
    /// Claims a non-idempotent request.
    Claim(Claim),
    /// Records how a claimed request ended.
    Settle {
        /// What was claimed.
        key: ClaimKey,
        /// The attempt that claimed it.
        attempt: RequestId,
        /// How it ended.
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
    /// Returns the shard that the call goes to.
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

/// The owner's answer to a [`LedgerCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LedgerReply {
    /// The answer to [`LedgerCall::Claim`].
    Claim(ClaimAnswer),
    /// The outcome or bill lies in the store.
    Recorded,
    /// The answer to [`LedgerCall::FindBill`].
    Bill(Option<Bill>),
    /// The answer to [`LedgerCall::FindClaim`].
    Claimed(Option<ClaimState>),
    /// The node does not own the shard; ask its owner. A claim may or may not
    /// be recorded, so it is repeated with the same attempt.
    NotOwner,
    /// The call failed; a write may or may not be recorded.
    Failed {
        /// What failed.
        kind: LedgerErrorKind,
        /// What failed and what to do.
        detail: String,
    },
}

impl LedgerReply {
    /// Builds the reply that reports `error`.
    #[must_use]
    pub fn failed(error: &LedgerError) -> Self {
        Self::Failed {
            kind: error.kind(),
            detail: error.detail().to_owned(),
        }
    }
}

/// Serves calls for the shards that this node owns.
pub trait LedgerService: Clone + Send + Sync + 'static {
    /// Serves one call.
    fn handle(&self, call: LedgerCall, now: Now) -> impl Future<Output = LedgerReply> + Send;
}

/// Carries calls to other nodes.
pub trait LedgerTransport: Clone + Send + Sync + 'static {
    /// Calls the node at `address`.
    ///
    /// # Errors
    ///
    /// Fails when no reply came; the call may or may not have been served.
    fn call(
        &self,
        address: &str,
        call: LedgerCall,
    ) -> impl Future<Output = Result<LedgerReply, LedgerError>> + Send;
}

/// The transport of a system of one node: it reaches nobody.
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
