//! Limits how often a shard calls the store.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// A token bucket of calls to the store.
#[derive(Debug)]
pub(super) struct Pace {
    interval: Duration,
    burst: u32,
    /// When the bucket would be full if no further call took a token.
    full_at: Instant,
}

impl Pace {
    pub(super) fn new(calls_per_s: u32, burst_calls: u32) -> Self {
        Self {
            interval: Duration::from_secs(1) / calls_per_s.max(1),
            burst: burst_calls.max(1),
            full_at: Instant::now(),
        }
    }

    /// Waits until a call is due and takes its token.
    pub(super) async fn take(&mut self) {
        let debt = self.interval * (self.burst - 1);
        let due = self.full_at.checked_sub(debt).unwrap_or(self.full_at);
        sleep_until(due).await;
        self.full_at = self.full_at.max(Instant::now()) + self.interval;
    }

    /// Puts back a token that was not used.
    pub(super) fn give_back(&mut self) {
        self.full_at -= self.interval;
    }
}
