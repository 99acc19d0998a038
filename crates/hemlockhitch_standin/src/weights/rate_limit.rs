//! The rate limit of the weight store.

use std::time::Duration;

use tokio::time::Instant;

/// A generic cell rate limiter.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    /// When the transfers admitted so far are paid off at the mean rate.
    paid_off_at: Option<Instant>,
}

impl RateLimit {
    /// Admits a transfer, or returns how long to wait before the next try.
    pub(super) fn admit(
        &mut self,
        interval: Duration,
        burst: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        let paid_off_at = self.paid_off_at.map_or(now, |at| at.max(now));
        let credit = interval * burst.saturating_sub(1);
        let debt = paid_off_at - now;
        if debt > credit {
            return Err(debt - credit);
        }
        self.paid_off_at = Some(paid_off_at + interval);
        Ok(())
    }
}
