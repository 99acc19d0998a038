//! Settings of the engine.

use std::time::Duration;

use hemlockhitch_model::VersionName;

/// How an engine behaves while no fault is set.
///
/// ```
/// use hemlockhitch_standin::engine::EngineSettings;
///
/// let settings = EngineSettings::new()
///     .versions(["m@1", "m@2"])
///     .warm_limit(8_u32)
///     .cold_limit(1_u32)
///     .cold_start_ms(2_000_u64)
///     .token_ms(5.0);
/// assert_eq!(settings.warm_limit, 8);
/// ```
#[derive(Clone, Debug, PartialEq)]
#[must_use]
pub struct EngineSettings {
    /// The versions served at the start; none means every version.
    pub versions: Vec<VersionName>,
    /// The most requests at once when warm.
    pub warm_limit: u32,
    /// The most requests at once while cold.
    pub cold_limit: u32,
    /// How long a cold start lasts; 0 starts warm.
    pub cold_start_ms: u64,
    /// Time between two tokens of a request that runs alone.
    pub token_ms: f64,
    /// Time to read 1,000 characters of prompt that are not cached.
    pub prefill_ms: f64,
    /// By which part of [`EngineSettings::token_ms`] each further running
    /// request slows a request down.
    pub batch_slowdown_ratio: f64,
    /// Age of the state that a load report shows.
    pub load_lag_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_orders: bool,
    /// The most tokens of an answer.
    pub answer_tokens: u32,
    /// How many prompt blocks the prefix cache holds.
    pub cache_blocks: usize,
}

impl EngineSettings {
    /// Starts from an engine that is warm, quick and serves every version.
    pub fn new() -> Self {
        Self {
            versions: Vec::new(),
            warm_limit: 8,
            cold_limit: 1,
            cold_start_ms: 0,
            token_ms: 0.0,
            prefill_ms: 0.0,
            batch_slowdown_ratio: 0.0,
            load_lag_ms: 0,
            checks_orders: true,
            answer_tokens: 16,
            cache_blocks: 1_024,
        }
    }

    /// Sets the versions served at the start; none means every version.
    pub fn versions(mut self, versions: impl IntoIterator<Item = impl Into<VersionName>>) -> Self {
        self.versions = versions.into_iter().map(Into::into).collect();
        self
    }

    /// Sets the most requests at once when warm.
    pub fn warm_limit(mut self, limit: impl Into<u32>) -> Self {
        self.warm_limit = limit.into();
        self
    }

    /// Sets the most requests at once while cold.
    pub fn cold_limit(mut self, limit: impl Into<u32>) -> Self {
        self.cold_limit = limit.into();
        self
    }

    /// Sets how long a cold start lasts, in milliseconds.
    pub fn cold_start_ms(mut self, duration_ms: impl Into<u64>) -> Self {
        self.cold_start_ms = duration_ms.into();
        self
    }

    /// Sets the time between two tokens of a request that runs alone, in
    /// milliseconds.
    pub fn token_ms(mut self, token_ms: impl Into<f64>) -> Self {
        self.token_ms = token_ms.into();
        self
    }

    /// Sets the time to read 1,000 characters of prompt, in milliseconds.
    pub fn prefill_ms(mut self, prefill_ms: impl Into<f64>) -> Self {
        self.prefill_ms = prefill_ms.into();
        self
    }

    /// Sets by which part each further running request slows a request down.
    pub fn batch_slowdown_ratio(mut self, ratio: impl Into<f64>) -> Self {
        self.batch_slowdown_ratio = ratio.into();
        self
    }

    /// Sets the age of the state that a load report shows, in milliseconds.
    pub fn load_lag_ms(mut self, lag_ms: impl Into<u64>) -> Self {
        self.load_lag_ms = lag_ms.into();
        self
    }

    /// Sets whether orders with an old fencing number are refused.
    pub fn checks_orders(mut self, checks: impl Into<bool>) -> Self {
        self.checks_orders = checks.into();
        self
    }

    /// Sets the most tokens of an answer.
    pub fn answer_tokens(mut self, tokens: impl Into<u32>) -> Self {
        self.answer_tokens = tokens.into();
        self
    }

    /// Sets how many prompt blocks the prefix cache holds.
    pub fn cache_blocks(mut self, blocks: impl Into<usize>) -> Self {
        self.cache_blocks = blocks.into();
        self
    }

    pub(super) fn cold_start(&self) -> Duration {
        Duration::from_millis(self.cold_start_ms)
    }

    pub(super) fn load_lag(&self) -> Duration {
        Duration::from_millis(self.load_lag_ms)
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self::new()
    }
}
