//! Settings of the engine.

use std::time::Duration;

use hemlockhitch_model::VersionName;

/// Behaviour of an engine without faults.
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
    /// Versions served at the start; empty means every version.
    pub versions: Vec<VersionName>,
    /// Maximum number of concurrent requests when warm.
    pub warm_limit: u32,
    /// Maximum number of concurrent requests during a cold start.
    pub cold_limit: u32,
    /// Duration of a cold start, in milliseconds; 0 starts warm.
    pub cold_start_ms: u64,
    /// Time per token of a request that runs alone, in milliseconds.
    pub token_ms: f64,
    /// Prefill time for 1,000 characters of a prompt that are not cached, in
    /// milliseconds.
    pub prefill_ms: f64,
    /// Fraction of [`EngineSettings::token_ms`] that each further running request adds
    /// to the time per token.
    pub batch_slowdown_ratio: f64,
    /// Age of the state in a load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether orders with a stale fencing number are refused.
    pub checks_fencing: bool,
    /// Maximum number of tokens of an answer.
    pub answer_tokens: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

impl EngineSettings {
    /// Creates settings of an engine that is warm, generates without delay and serves
    /// every version.
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
            checks_fencing: true,
            answer_tokens: 16,
            cache_blocks: 1_024,
        }
    }

    /// Sets the versions served at the start; empty means every version.
    pub fn versions(mut self, versions: impl IntoIterator<Item = impl Into<VersionName>>) -> Self {
        self.versions = versions.into_iter().map(Into::into).collect();
        self
    }

    /// Sets the maximum number of concurrent requests when warm.
    pub fn warm_limit(mut self, limit: impl Into<u32>) -> Self {
        self.warm_limit = limit.into();
        self
    }

    /// Sets the maximum number of concurrent requests during a cold start.
    pub fn cold_limit(mut self, limit: impl Into<u32>) -> Self {
        self.cold_limit = limit.into();
        self
    }

    /// Sets the duration of a cold start, in milliseconds; 0 starts warm.
    pub fn cold_start_ms(mut self, duration_ms: impl Into<u64>) -> Self {
        self.cold_start_ms = duration_ms.into();
        self
    }

    /// Sets the time per token of a request that runs alone, in milliseconds.
    pub fn token_ms(mut self, token_ms: impl Into<f64>) -> Self {
        self.token_ms = token_ms.into();
        self
    }

    /// Sets the prefill time for 1,000 characters that are not cached, in milliseconds.
    pub fn prefill_ms(mut self, prefill_ms: impl Into<f64>) -> Self {
        self.prefill_ms = prefill_ms.into();
        self
    }

    /// Sets the fraction of [`EngineSettings::token_ms`] that each further running
    /// request adds to the time per token.
    pub fn batch_slowdown_ratio(mut self, ratio: impl Into<f64>) -> Self {
        self.batch_slowdown_ratio = ratio.into();
        self
    }

    /// Sets the age of the state in a load report, in milliseconds.
    pub fn load_lag_ms(mut self, lag_ms: impl Into<u64>) -> Self {
        self.load_lag_ms = lag_ms.into();
        self
    }

    /// Sets whether orders with a stale fencing number are refused.
    pub fn checks_fencing(mut self, checks: impl Into<bool>) -> Self {
        self.checks_fencing = checks.into();
        self
    }

    /// Sets the maximum number of tokens of an answer.
    pub fn answer_tokens(mut self, tokens: impl Into<u32>) -> Self {
        self.answer_tokens = tokens.into();
        self
    }

    /// Sets the capacity of the prefix cache, in blocks.
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
