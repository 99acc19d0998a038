//! How the weight store behaves.

use hemlockhitch_model::VersionName;
use serde::{Deserialize, Serialize};

/// Settings of the weight store; the default has no limit and every version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct WeightsSettings {
    /// The mean time between two transfers, in milliseconds.
    pub interval_ms: u64,
    /// How many transfers may follow each other without pause; at least 1.
    pub burst: u32,
    /// The versions that the store lacks.
    pub missing: Vec<VersionName>,
    /// How long each answer takes, in milliseconds.
    pub delay_ms: u64,
    /// Whether every connection breaks at its next request.
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
    /// Sets the mean time between two transfers, in milliseconds.
    #[must_use]
    pub fn interval_ms(mut self, interval_ms: u64) -> Self {
        self.interval_ms = interval_ms;
        self
    }

    /// Sets how many transfers may follow each other without pause.
    #[must_use]
    pub fn burst(mut self, burst: u32) -> Self {
        self.burst = burst;
        self
    }

    /// Adds a version that the store lacks.
    #[must_use]
    pub fn missing(mut self, version: impl Into<VersionName>) -> Self {
        self.missing.push(version.into());
        self
    }

    /// Sets how long each answer takes, in milliseconds.
    #[must_use]
    pub fn delay_ms(mut self, delay_ms: u64) -> Self {
        self.delay_ms = delay_ms;
        self
    }

    /// Sets whether every connection breaks at its next request.
    #[must_use]
    pub fn down(mut self, down: bool) -> Self {
        self.down = down;
        self
    }
}
