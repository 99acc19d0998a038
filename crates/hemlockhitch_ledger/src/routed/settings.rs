//! Settings of [`RoutedLedger`](crate::RoutedLedger).

use hemlockhitch_model::Backoff;

/// Settings of a [`RoutedLedger`](crate::RoutedLedger).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutedSettings {
    /// Number of shards; must be the same on every node.
    pub shard_count: u16,
    /// Total time limit of a call, including retries.
    pub timeout_ms: u64,
    /// Time limit of each try of a call.
    pub per_try_timeout_ms: u64,
    /// Upper bound of the backoff after the first try.
    pub initial_backoff_ms: u64,
    /// Upper bound of the backoff after any try.
    pub max_backoff_ms: u64,
    /// Total time limit of the release of a failed claim, including retries.
    pub release_timeout_ms: u64,
    /// Maximum number of failed claims that are released concurrently.
    pub max_concurrent_releases: usize,
}

impl RoutedSettings {
    /// Creates the default settings.
    #[must_use]
    pub fn new() -> Self {
        Self {
            shard_count: 8,
            timeout_ms: 2_000,
            per_try_timeout_ms: 800,
            initial_backoff_ms: 20,
            max_backoff_ms: 250,
            release_timeout_ms: 60_000,
            max_concurrent_releases: 1_024,
        }
    }

    /// Sets the number of shards.
    #[must_use]
    pub fn shard_count(mut self, shard_count: u16) -> Self {
        self.shard_count = shard_count;
        self
    }

    /// Sets the total time limit of a call, including retries.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the time limit of each try of a call.
    #[must_use]
    pub fn per_try_timeout_ms(mut self, per_try_timeout_ms: u64) -> Self {
        self.per_try_timeout_ms = per_try_timeout_ms;
        self
    }

    /// Sets the upper bounds of the backoff after the first try and after any try.
    #[must_use]
    pub fn backoff_ms(mut self, initial: u64, max: u64) -> Self {
        self.initial_backoff_ms = initial;
        self.max_backoff_ms = max;
        self
    }

    /// Sets the total time limit of the release of a failed claim.
    #[must_use]
    pub fn release_timeout_ms(mut self, release_timeout_ms: u64) -> Self {
        self.release_timeout_ms = release_timeout_ms;
        self
    }

    /// Sets the maximum number of failed claims that are released concurrently.
    #[must_use]
    pub fn max_concurrent_releases(mut self, max_concurrent_releases: usize) -> Self {
        self.max_concurrent_releases = max_concurrent_releases;
        self
    }
}

impl RoutedSettings {
    /// Returns the backoff between the tries of a call.
    pub(super) fn backoff(&self) -> Backoff {
        Backoff::new(self.initial_backoff_ms, self.max_backoff_ms)
    }
}

impl Default for RoutedSettings {
    fn default() -> Self {
        Self::new()
    }
}
