//! Spreads the Retry-After times of refused callers.

use fastrand::Rng;
use hemlockhitch_model::Now;

/// Minimum Retry-After time, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 100.0;

/// Maximum Retry-After time, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// Width of the jitter, as a fraction of the Retry-After time.
const JITTER_RATIO: f64 = 0.2;

/// Assigns each refused caller a slot of its own, so that callers which were refused
/// together retry at the rate at which requests complete.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetrySchedule {
    /// Monotonic time of the last assigned slot, in milliseconds.
    last_slot_ms: f64,
}

impl RetrySchedule {
    /// Returns the time after which a caller should retry, in milliseconds.
    ///
    /// No slot is earlier than `backlog_ms` from now, and `drain_per_ms` slots are
    /// assigned per millisecond. Callers at the maximum are spread over its upper
    /// half.
    pub(super) fn retry_after_ms(
        &mut self,
        backlog_ms: f64,
        drain_per_ms: f64,
        now: Now,
        rng: &mut Rng,
    ) -> u64 {
        #[allow(clippy::cast_precision_loss)]
        let now_ms = now.mono_ms as f64;
        let interval_ms = 1.0 / drain_per_ms.max(1.0 / MAX_RETRY_AFTER_MS);
        let latest_ms = now_ms + MAX_RETRY_AFTER_MS;
        self.last_slot_ms =
            (self.last_slot_ms.max(now_ms + backlog_ms) + interval_ms).min(latest_ms);
        let wait_ms = self.last_slot_ms - now_ms;
        let jitter_ms = wait_ms * JITTER_RATIO * (rng.f64() - 0.5);
        let at_limit = self.last_slot_ms >= latest_ms;
        let spread_ms = if at_limit {
            MAX_RETRY_AFTER_MS * rng.f64() / 2.0
        } else {
            0.0
        };
        let after_ms =
            (wait_ms + jitter_ms - spread_ms).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let after_ms = after_ms as u64;
        after_ms
    }
}
