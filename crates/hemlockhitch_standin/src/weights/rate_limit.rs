//! Rate limiter of the weight store.

use std::time::Duration;

use tokio::time::Instant;

/// Rate limiter that uses the generic cell rate algorithm (GCRA).
#[derive(Debug, Default)]
pub(super) struct RateLimiter {
    /// Theoretical arrival time: when the transfers admitted so far would end at the
    /// mean rate; `None` before the first transfer.
    theoretical_arrival: Option<Instant>,
}

impl RateLimiter {
    /// Admits a transfer, or returns how long to wait before the next attempt.
    pub(super) fn admit(
        &mut self,
        interval: Duration,
        burst: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        let theoretical_arrival = self.theoretical_arrival.map_or(now, |at| at.max(now));
        let burst_tolerance = interval * burst.saturating_sub(1);
        let ahead = theoretical_arrival - now;
        if ahead > burst_tolerance {
            return Err(ahead - burst_tolerance);
        }
        self.theoretical_arrival = Some(theoretical_arrival + interval);
        Ok(())
    }
}
