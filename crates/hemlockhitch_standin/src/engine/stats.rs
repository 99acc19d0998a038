//! What the engine has done.

use std::collections::BTreeMap;

use hemlockhitch_model::{RequestId, VersionName};
use serde::{Deserialize, Serialize};

/// Counts since the start of the process; a crash does not reset them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineStats {
    /// Completions that started to run.
    pub started: u64,
    /// Completions that ran to their last chunk.
    pub finished: u64,
    /// Completions that ended earlier because their caller left.
    pub cancelled: u64,
    /// Completions that a fault of the engine ended.
    pub failed: u64,
    /// Completions that were refused because of a fault.
    pub refused: u64,
    /// Completions that came over the limit and were refused.
    pub overloads: u64,
    /// Crashes.
    pub crashes: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt characters found in the prefix cache.
    pub cached_chars: u64,
    /// Completions that run now.
    pub running: u32,
    /// The most completions that ran at once.
    pub peak_running: u32,
    /// The most completions that ran when one was started in cold start.
    pub peak_running_cold: u32,
    /// Starts by request.
    pub started_by_request: BTreeMap<RequestId, u32>,
    /// Starts by version.
    pub started_by_version: BTreeMap<VersionName, u32>,
}
