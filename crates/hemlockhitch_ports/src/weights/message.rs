//! Messages of the HTTP protocol of the weight store.

use hemlockhitch_model::VersionName;
use serde::{Deserialize, Serialize};

/// The path that a [`ReserveRequest`] is posted to.
pub const RESERVE_PATH: &str = "/reserve";

/// Asks for the transfer of one version to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ReserveRequest {
    /// The version.
    pub version: VersionName,
}

/// The transfer is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Reserved {}

/// The body of an answer with a status other than 2xx.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReserveRefusal {
    /// The rate limit is reached.
    RateLimited {
        /// Milliseconds to wait before the next try.
        retry_after_ms: u64,
    },
    /// The store has no such version.
    Missing,
}
