//! Tracks an endpoint's usual time to the first token.

/// A time above the mean times this ratio is slow.
const SLOW_RATIO: f64 = 4.0;

/// Times up to this are never slow, in milliseconds.
const MIN_SLOW_MS: f64 = 200.0;

/// Weight of the newest sample in the moving average.
const EWMA_WEIGHT: f64 = 0.1;

/// Samples needed before a time can be classified as slow.
const MIN_SAMPLES: u32 = 8;

/// Exponentially weighted moving average of the time to the first token.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyAverage {
    mean_ms: f64,
    samples: u32,
}

impl LatencyAverage {
    /// Returns whether a time exceeds the slow threshold; always `false` until
    /// there are [`MIN_SAMPLES`].
    pub(super) fn is_slow(self, first_token_ms: u64) -> bool {
        let threshold_ms = (self.mean_ms * SLOW_RATIO).max(MIN_SLOW_MS);
        self.samples >= MIN_SAMPLES && as_f64(first_token_ms) > threshold_ms
    }

    /// Records a sample. A slow one is clamped to the threshold, so that an outlier
    /// moves the mean little while a lasting change is still learned.
    pub(super) fn record(&mut self, first_token_ms: u64) {
        let mut sample_ms = as_f64(first_token_ms);
        if self.is_slow(first_token_ms) {
            sample_ms = (self.mean_ms * SLOW_RATIO).max(MIN_SLOW_MS);
        }
        let weight = f64::max(EWMA_WEIGHT, 1.0 / f64::from(self.samples + 1));
        self.mean_ms += (sample_ms - self.mean_ms) * weight;
        self.samples = (self.samples + 1).min(MIN_SAMPLES);
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
