//! The usual time to the first token of an endpoint.

/// A time that is this many times the usual one is slow.
const SLOW_RATIO: f64 = 4.0;

/// Times below this are never slow, in milliseconds.
const NEVER_SLOW_MS: f64 = 200.0;

/// Weight of the newest time in the mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// Times recorded before any time can be slow.
const MIN_TIMES: u32 = 8;

/// A moving mean of the times to the first token.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Baseline {
    mean_ms: f64,
    times: u32,
}

impl Baseline {
    pub(super) fn is_slow(self, first_token_ms: u64) -> bool {
        let bound_ms = (self.mean_ms * SLOW_RATIO).max(NEVER_SLOW_MS);
        self.times >= MIN_TIMES && as_f64(first_token_ms) > bound_ms
    }

    /// Records a time; a slow one moves the mean no further than its bound, so
    /// that a lasting change is learned in the end.
    pub(super) fn record(&mut self, first_token_ms: u64) {
        let mut time_ms = as_f64(first_token_ms);
        if self.is_slow(first_token_ms) {
            time_ms = (self.mean_ms * SLOW_RATIO).max(NEVER_SLOW_MS);
        }
        let weight = f64::max(NEWEST_WEIGHT, 1.0 / f64::from(self.times + 1));
        self.mean_ms += (time_ms - self.mean_ms) * weight;
        self.times = (self.times + 1).min(MIN_TIMES);
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
