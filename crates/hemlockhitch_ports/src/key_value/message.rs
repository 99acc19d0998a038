//! Requests and refusals of the HTTP protocol of the key-value service.
//!
//! Every request is posted as JSON to the path of its message. The answers are
//! the types of the parent module.

use serde::{Deserialize, Serialize};

use super::LeaseId;

/// The path of [`GetRequest`]; answered by an optional entry.
pub const GET_PATH: &str = "/get";

/// The path of [`ListRequest`]; answered by a listing.
pub const LIST_PATH: &str = "/list";

/// The path of a swap; answered by its outcome.
pub const SWAP_PATH: &str = "/swap";

/// The path of [`WatchRequest`]; answered by a batch.
pub const WATCH_PATH: &str = "/watch";

/// The path of [`LeaseGrantRequest`]; answered by the identifier of the lease.
pub const LEASE_GRANT_PATH: &str = "/lease/grant";

/// The path of [`LeaseRequest`] for renewal; answered by [`Done`].
pub const LEASE_RENEW_PATH: &str = "/lease/renew";

/// The path of [`LeaseRequest`] for revocation; answered by [`Done`].
pub const LEASE_REVOKE_PATH: &str = "/lease/revoke";

/// Reads one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct GetRequest {
    /// The key.
    pub key: String,
}

/// Lists entries under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ListRequest {
    /// The prefix of the keys.
    pub prefix: String,
    /// The key that the entries sort after.
    pub after: Option<String>,
    /// The largest number of entries.
    pub limit: usize,
}

/// Waits for changes under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct WatchRequest {
    /// The prefix of the keys.
    pub prefix: String,
    /// The revision after which changes are of interest.
    pub revision: u64,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// Creates a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct LeaseGrantRequest {
    /// How long the lease lasts after its last renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Renews or revokes a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct LeaseRequest {
    /// The lease.
    pub lease: LeaseId,
}

/// A request without a result was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Done {}

/// Why the service refused a request without any effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The lease has lapsed.
    LeaseLapsed,
    /// The value is too large.
    TooLarge,
    /// The service cannot serve now.
    Unavailable,
    /// The request is not understood.
    Malformed,
}

/// The body of an answer with a status other than 2xx.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Refusal {
    /// Why the request was refused.
    pub code: RefusalCode,
    /// What went wrong and the remedy.
    pub detail: String,
}
