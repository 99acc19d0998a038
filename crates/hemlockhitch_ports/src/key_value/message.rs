//! Messages of the HTTP protocol of the key-value service.
//!
//! Each request is posted as JSON to its path. The responses are the types of the
//! parent module, unless a message here says otherwise.

use serde::{Deserialize, Serialize};

use super::LeaseId;

/// The path of [`GetRequest`]; the response is an optional entry.
pub const GET_PATH: &str = "/get";

/// The path of [`ListRequest`]; the response is a listing.
pub const LIST_PATH: &str = "/list";

/// The path of a compare-and-swap; the response is its outcome.
pub const SWAP_PATH: &str = "/swap";

/// The path of [`WatchRequest`]; the response is a batch of changes.
pub const WATCH_PATH: &str = "/watch";

/// The path of [`LeaseGrantRequest`]; the response is the ID of the lease.
pub const LEASE_GRANT_PATH: &str = "/lease/grant";

/// The path of a [`LeaseRequest`] that renews a lease; the response is [`Done`].
pub const LEASE_RENEW_PATH: &str = "/lease/renew";

/// The path of a [`LeaseRequest`] that revokes a lease; the response is [`Done`].
pub const LEASE_REVOKE_PATH: &str = "/lease/revoke";

/// Request to read one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct GetRequest {
    /// The key to read.
    pub key: String,
}

/// Request to list entries under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ListRequest {
    /// Prefix that the keys start with.
    pub prefix: String,
    /// The key that the entries sort after; `None` starts at the first entry.
    pub after: Option<String>,
    /// Maximum number of entries to return.
    pub limit: usize,
}

/// Request to wait for changes under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct WatchRequest {
    /// Prefix that the keys start with.
    pub prefix: String,
    /// Only changes after this revision are returned.
    pub revision: u64,
    /// Maximum wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// Request to create a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct LeaseGrantRequest {
    /// Time to live of the lease after its creation and each renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Request to renew or to revoke a lease, depending on its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct LeaseRequest {
    /// ID of the lease.
    pub lease: LeaseId,
}

/// The empty response to a request that has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Done {}

/// Why the service refused a request. A refused request had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The lease has expired or was revoked.
    LeaseLapsed,
    /// The value exceeds the maximum size.
    TooLarge,
    /// The service cannot handle requests at present.
    Unavailable,
    /// The request could not be parsed.
    Malformed,
}

/// The body of a response with a status other than 2xx.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Refusal {
    /// Why the request was refused.
    pub code: RefusalCode,
    /// Cause of the refusal and the remedy.
    pub detail: String,
}
