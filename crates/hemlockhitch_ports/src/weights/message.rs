//! Messages of the HTTP protocol of the weight store.

use hemlockhitch_model::VersionName;
use serde::{Deserialize, Serialize};

/// The path that a [`ReserveRequest`] is posted to; the response is [`Reserved`].
pub const RESERVE_PATH: &str = "/reserve";

/// Request to reserve the transfer of one version to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct ReserveRequest {
    /// The version to transfer.
    pub version: VersionName,
}

/// Response to a successful reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Reserved {}

/// The body of a response with a status other than 2xx.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReserveRefusal {
    /// The rate limit of the store has been reached.
    RateLimited {
        /// Time to wait before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// The store has no such version.
    Missing,
}
