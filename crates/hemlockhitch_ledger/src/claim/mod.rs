//! Claims: the records that keep a non-idempotent request from running twice.

use hemlockhitch_model::{OrganisationName, RequestId};
use serde::{Deserialize, Serialize};

/// Identifies a non-idempotent request, however often its caller sends it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimKey {
    /// The organisation of the caller.
    pub organisation: OrganisationName,
    /// The caller's idempotency key.
    pub idempotency_key: String,
}

/// One attempt to run a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// What is claimed.
    pub key: ClaimKey,
    /// The attempt that claims it; a claim is repeated with the same attempt
    /// after a lost answer.
    pub attempt: RequestId,
    /// A digest of the call; the same key with another call is refused.
    pub call_digest: String,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Outcome {
    /// It ran and this is its answer.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer, if it has one.
        content_type: Option<String>,
        /// Body of the answer.
        body: String,
    },
    /// It certainly did not run; the key may be claimed again.
    NotRun,
    /// It was dispatched and nobody knows whether it ran.
    Unknown,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimAnswer {
    /// The attempt may dispatch the request, once.
    Granted,
    /// Another attempt holds the claim.
    InProgress {
        /// The other attempt.
        attempt: RequestId,
        /// When it claimed, in milliseconds since the Unix epoch.
        since_unix_ms: u64,
    },
    /// Another attempt has ended so; never [`Outcome::NotRun`].
    Ended(Outcome),
    /// The key was used for a different call.
    Mismatch,
}

/// The state of a claim that was recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimState {
    /// The attempt that claimed last.
    pub attempt: RequestId,
    /// The digest of the call.
    pub call_digest: String,
    /// When it claimed, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// How the attempt ended, once that is recorded.
    pub outcome: Option<Outcome>,
}
