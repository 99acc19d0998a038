//! The new version's share of a service's requests at one node.

use hemlockhitch_model::Now;

/// Margin below the share of requests that a bad version may get, for the last writes to
/// the store.
const SHARE_MARGIN: f64 = 0.01;

/// Window over which the request rate is measured, in milliseconds: short compared with
/// the last part of a roll-out, long compared with the time between requests.
const RATE_WINDOW_MS: u64 = 500;

/// Requests of a service at one node since the order.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetShare {
    total_requests: u32,
    target_requests: u32,
    /// Start of the current rate window.
    window_start_mono_ms: u64,
    /// Requests counted in the current rate window.
    window_requests: u32,
    rate_per_ms: f64,
}

impl TargetShare {
    pub(super) fn record_request(&mut self, is_target: bool, now: Now) {
        self.total_requests += 1;
        self.target_requests += u32::from(is_target);
        let elapsed_ms = now.mono_ms.saturating_sub(self.window_start_mono_ms);
        if elapsed_ms >= RATE_WINDOW_MS {
            #[allow(clippy::cast_precision_loss)]
            let elapsed_ms = elapsed_ms as f64;
            self.rate_per_ms = f64::from(self.window_requests) / elapsed_ms;
            self.window_start_mono_ms = now.mono_ms;
            self.window_requests = 0;
        }
        self.window_requests += 1;
    }

    /// Returns whether the new version may get all requests until `end_mono_ms`,
    /// assuming the current request rate. `max_share` is the share of the service's
    /// requests that a bad version may get.
    pub(super) fn can_take_all(&self, max_share: f64, end_mono_ms: u64, now: Now) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let remaining_ms = end_mono_ms.saturating_sub(now.mono_ms) as f64;
        let expected_requests = self.rate_per_ms * remaining_ms;
        f64::from(self.target_requests) + expected_requests
            <= (max_share - SHARE_MARGIN) * (f64::from(self.total_requests) + expected_requests)
    }
}
