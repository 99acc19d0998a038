//! Rate limit of a shard's calls to the store.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Token bucket that paces calls to the store.
#[derive(Debug)]
pub(super) struct RateLimiter {
    interval: Duration,
    burst_calls: u32,
    /// Time at which the bucket is full if no further token is taken.
    full_at: Instant,
}

impl RateLimiter {
    pub(super) fn new(calls_per_s: u32, burst_calls: u32) -> Self {
        Self {
            interval: Duration::from_secs(1) / calls_per_s.max(1),
            burst_calls: burst_calls.max(1),
            full_at: Instant::now(),
        }
    }

    /// Waits until a token is available and takes it.
    pub(super) async fn acquire(&mut self) {
        let burst_tolerance = self.interval * (self.burst_calls - 1);
        let due_at = self
            .full_at
            .checked_sub(burst_tolerance)
            .unwrap_or(self.full_at);
        sleep_until(due_at).await;
        self.full_at = self.full_at.max(Instant::now()) + self.interval;
    }

    /// Returns an unused token to the bucket.
    pub(super) fn refund(&mut self) {
        self.full_at -= self.interval;
    }
}
