//! When refused callers are told to come back.

use fastrand::Rng;
use hemlockhitch_model::Now;

/// Shortest time until a caller comes back, in milliseconds.
const MIN_RETRY_MS: f64 = 100.0;

/// Longest time until a caller comes back, in milliseconds.
const MAX_RETRY_MS: f64 = 60_000.0;

/// Jitter, as a part of the time until a caller comes back.
const JITTER_RATIO: f64 = 0.2;

/// Gives each refused caller a time of its own, so that callers who were refused
/// together come back at the rate at which work drains.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Comeback {
    last_ms: f64,
}

impl Comeback {
    /// Returns when a caller should come back, given that nothing runs for it in
    /// the next `busy_ms` and that `drain_per_ms` requests end in a millisecond.
    pub(super) fn retry_after_ms(
        &mut self,
        busy_ms: f64,
        drain_per_ms: f64,
        now: Now,
        rng: &mut Rng,
    ) -> u64 {
        #[allow(clippy::cast_precision_loss)]
        let now_ms = now.mono_ms as f64;
        let gap_ms = 1.0 / drain_per_ms.max(1.0 / MAX_RETRY_MS);
        let latest_ms = now_ms + MAX_RETRY_MS;
        self.last_ms = (self.last_ms.max(now_ms + busy_ms) + gap_ms).min(latest_ms);
        let wait_ms = self.last_ms - now_ms;
        let jitter_ms = wait_ms * JITTER_RATIO * (rng.f64() - 0.5);
        let late = self.last_ms >= latest_ms;
        let spread_ms = if late {
            MAX_RETRY_MS * rng.f64() / 2.0
        } else {
            0.0
        };
        let after_ms = (wait_ms + jitter_ms - spread_ms).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let after_ms = after_ms as u64;
        after_ms
    }
}
