//! Claims, which prevent a non-idempotent request from running twice.

use hemlockhitch_model::{OrganisationName, RequestId};
use serde::{Deserialize, Serialize};

/// Identifies a non-idempotent request across retries by its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimKey {
    /// The organisation of the caller.
    pub organisation: OrganisationName,
    /// The caller's idempotency key.
    pub idempotency_key: String,
}

/// A claim on the right to run a non-idempotent request, made by one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The key to claim.
    pub key: ClaimKey,
    /// The claiming attempt. After a lost response the claim is retried with the
    /// same attempt.
    pub attempt: RequestId,
    /// Digest of the call. Reusing the key for a different call is refused.
    pub call_digest: String,
}

/// The outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and returned this response.
    Done {
        /// HTTP status of the response.
        status: u16,
        /// Content type of the response, if it has one.
        content_type: Option<String>,
        /// Body of the response.
        body: String,
    },
    /// The request did not run; the key may be claimed again.
    NotRun,
    /// The request was dispatched, but it is unknown whether it ran.
    Unknown,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The attempt may dispatch the request, once.
    Granted,
    /// Another attempt holds the claim and has no outcome yet.
    InProgress {
        /// The attempt that holds the claim.
        attempt: RequestId,
        /// When the claim was granted, in milliseconds since the Unix epoch.
        since_unix_ms: u64,
    },
    /// The claim already has this outcome; never [`Outcome::NotRun`].
    Ended(Outcome),
    /// The key was already used for a different call.
    Mismatch,
}

/// The recorded state of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimState {
    /// The latest attempt that was granted the claim or released it.
    pub attempt: RequestId,
    /// Digest of the call; empty if only a release was recorded.
    pub call_digest: String,
    /// When the attempt was recorded, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// The outcome of the attempt, if it is known.
    pub outcome: Option<Outcome>,
}
