//! Settings of the requester's side.

use hemlockhitch_model::Backoff;

/// Settings of a [`RoutedLedger`](crate::RoutedLedger).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutedSettings {
    /// Number of shards; the same on every node.
    pub shard_count: u16,
    /// How long a call is repeated before it fails.
    pub limit_ms: u64,
    /// How long one try waits for its answer.
    pub try_limit_ms: u64,
    /// The longest pause after the first try.
    pub first_pause_ms: u64,
    /// The longest pause after any try.
    pub max_pause_ms: u64,
    /// How long the release of a failed claim is repeated.
    pub release_limit_ms: u64,
    /// Number of failed claims that are released at one time.
    pub max_releases: usize,
}

impl RoutedSettings {
    /// Creates the default settings.
    #[must_use]
    pub fn new() -> Self {
        Self {
            shard_count: 8,
            limit_ms: 2_000,
            try_limit_ms: 800,
            first_pause_ms: 20,
            max_pause_ms: 250,
            release_limit_ms: 60_000,
            max_releases: 1_024,
        }
    }

    /// Sets the number of shards.
    #[must_use]
    pub fn shard_count(mut self, shard_count: u16) -> Self {
        self.shard_count = shard_count;
        self
    }

    /// Sets how long a call is repeated before it fails.
    #[must_use]
    pub fn limit_ms(mut self, limit_ms: u64) -> Self {
        self.limit_ms = limit_ms;
        self
    }

    /// Sets how long one try waits for its answer.
    #[must_use]
    pub fn try_limit_ms(mut self, try_limit_ms: u64) -> Self {
        self.try_limit_ms = try_limit_ms;
        self
    }

    /// Sets the longest pauses after the first try and after any try.
    #[must_use]
    pub fn pauses_ms(mut self, first: u64, max: u64) -> Self {
        self.first_pause_ms = first;
        self.max_pause_ms = max;
        self
    }

    /// Sets how long the release of a failed claim is repeated.
    #[must_use]
    pub fn release_limit_ms(mut self, release_limit_ms: u64) -> Self {
        self.release_limit_ms = release_limit_ms;
        self
    }

    /// Sets the number of failed claims that are released at one time.
    #[must_use]
    pub fn max_releases(mut self, max_releases: usize) -> Self {
        self.max_releases = max_releases;
        self
    }
}

impl RoutedSettings {
    /// Returns the pauses between the tries of a call.
    pub(super) fn backoff(&self) -> Backoff {
        Backoff::new(self.first_pause_ms, self.max_pause_ms)
    }
}

impl Default for RoutedSettings {
    fn default() -> Self {
        Self::new()
    }
}
