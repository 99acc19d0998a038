//! Counters of the engine.

use std::collections::BTreeMap;

use hemlockhitch_model::{RequestId, VersionName};
use serde::{Deserialize, Serialize};

/// Counters since the start of the stand-in; an injected crash does not reset them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineStats {
    /// Completions started.
    pub started: u64,
    /// Completions that sent their last chunk.
    pub finished: u64,
    /// Completions that ended early because they were cancelled or their caller
    /// disconnected.
    pub cancelled: u64,
    /// Completions that an injected fault ended.
    pub failed: u64,
    /// Completions refused because of [`EngineFault::RefuseNext`](super::EngineFault).
    pub refused: u64,
    /// Completions refused because the concurrency limit was reached.
    pub overloads: u64,
    /// Injected crashes.
    pub crashes: u64,
    /// Tokens generated, including those that a fault left out.
    pub tokens: u64,
    /// Prompt characters found in the prefix cache, over all completions.
    pub cached_chars: u64,
    /// Completions running now.
    pub running: u32,
    /// Maximum number of concurrent completions.
    pub peak_running: u32,
    /// Maximum number of concurrent completions, counted when one starts during a
    /// cold start.
    pub peak_running_cold: u32,
    /// Completions started, by request ID.
    pub started_by_request: BTreeMap<RequestId, u32>,
    /// Completions started, by version.
    pub started_by_version: BTreeMap<VersionName, u32>,
}
