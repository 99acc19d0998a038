//! The part of a service's requests that a new version gets at one node.

use hemlockhitch_model::Now;

/// The part of a service's requests that a new version may get until its time is
/// over: the platform's 15 percent, less what the last writes need.
const PART_MOST: f64 = 0.14;

/// The time over which the present rate of requests is counted, in milliseconds:
/// short against the last part of an order, long against the gaps between requests.
const RATE_MS: u64 = 500;

/// Requests of a service at one node since the order.
#[derive(Clone, Debug, Default)]
pub(super) struct Share {
    all: u32,
    of_target: u32,
    /// When the present count of the rate began, and what it counted so far.
    counted_from_mono_ms: u64,
    counted: u32,
    rate_per_ms: f64,
}

impl Share {
    pub(super) fn count(&mut self, of_target: bool, now: Now) {
        self.all += 1;
        self.of_target += u32::from(of_target);
        let passed_ms = now.mono_ms.saturating_sub(self.counted_from_mono_ms);
        if passed_ms >= RATE_MS {
            #[allow(clippy::cast_precision_loss)]
            let passed_ms = passed_ms as f64;
            self.rate_per_ms = f64::from(self.counted) / passed_ms;
            self.counted_from_mono_ms = now.mono_ms;
            self.counted = 0;
        }
        self.counted += 1;
    }

    /// Returns whether the new version may have all requests until `end_mono_ms`, if
    /// they come as they do now.
    pub(super) fn allows_all(&self, end_mono_ms: u64, now: Now) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let left_ms = end_mono_ms.saturating_sub(now.mono_ms) as f64;
        let to_come = self.rate_per_ms * left_ms;
        f64::from(self.of_target) + to_come <= PART_MOST * (f64::from(self.all) + to_come)
    }
}
