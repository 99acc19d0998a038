//! Settings of the weight store.

use hemlockhitch_model::VersionName;
use serde::{Deserialize, Serialize};

/// Settings of the weight store; by default it has no rate limit and all versions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct WeightsSettings {
    /// Mean time between two transfers, in milliseconds; 0 sets no limit.
    pub interval_ms: u64,
    /// Number of transfers that may start at once; at least 1.
    pub burst: u32,
    /// Versions that the store does not have.
    pub missing: Vec<VersionName>,
    /// Delay before each response, in milliseconds.
    pub delay_ms: u64,
    /// Whether every reservation is dropped and its connection aborted.
    pub down: bool,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            interval_ms: 0,
            burst: 1,
            missing: Vec::new(),
            delay_ms: 0,
            down: false,
        }
    }
}

impl WeightsSettings {
    /// Sets the mean time between two transfers, in milliseconds; 0 sets no limit.
    #[must_use]
    pub fn interval_ms(mut self, interval_ms: u64) -> Self {
        self.interval_ms = interval_ms;
        self
    }

    /// Sets the number of transfers that may start at once; at least 1.
    #[must_use]
    pub fn burst(mut self, burst: u32) -> Self {
        self.burst = burst;
        self
    }

    /// Adds a version that the store does not have.
    #[must_use]
    pub fn missing(mut self, version: impl Into<VersionName>) -> Self {
        self.missing.push(version.into());
        self
    }

    /// Sets the delay before each response, in milliseconds.
    #[must_use]
    pub fn delay_ms(mut self, delay_ms: u64) -> Self {
        self.delay_ms = delay_ms;
        self
    }

    /// Sets whether every reservation is dropped and its connection aborted.
    #[must_use]
    pub fn down(mut self, down: bool) -> Self {
        self.down = down;
        self
    }
}
