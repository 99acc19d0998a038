//! Pairs losses of a candidate version with losses of its baseline.

use hemlockhitch_model::Now;

/// Time without a loss of the baseline after which the candidate is compared with
/// the baseline's long-term mean, in milliseconds.
const BASELINE_TIMEOUT_MS: u64 = 60_000;

/// Window of the long-term mean, in losses.
const LONG_TERM_WINDOW: u32 = 500;

/// Losses needed before the long-term mean is used.
const LONG_TERM_MIN_SAMPLES: u32 = 20;

/// Mean loss assumed for a baseline with too few losses.
const DEFAULT_BASELINE_LOSS_RATIO: f64 = 0.5;

/// Collects losses until both versions have at least one, then compares the pair of
/// their means. Each loss is used in one pair only.
#[derive(Clone, Debug, Default)]
pub(super) struct Pairing {
    candidate: RunningMean,
    baseline: RunningMean,
    long_term: RunningMean,
    /// Monotonic time of the last loss of the baseline, in milliseconds. Before the
    /// first one, the time of the first loss of the candidate.
    baseline_seen_ms: Option<u64>,
}

/// A running mean.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    mean: f64,
    count: u32,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        self.mean += (value - self.mean) / f64::from(self.count);
    }

    /// Adds a value to an exponentially weighted mean over about `window` values.
    fn add_windowed(&mut self, value: f64, window: u32) {
        self.count = self.count.min(window - 1);
        self.add(value);
    }
}

impl Pairing {
    /// Adds a loss of the candidate. Returns the candidate's mean loss minus the
    /// baseline's when a pair is complete.
    pub(super) fn add_candidate(&mut self, loss_ratio: f64, now: Now) -> Option<f64> {
        self.candidate.add(loss_ratio);
        self.baseline_seen_ms.get_or_insert(now.mono_ms);
        self.compare().or_else(|| self.compare_with_long_term(now))
    }

    /// Adds a loss of the baseline; returns the same as [`Pairing::add_candidate`].
    pub(super) fn add_baseline(&mut self, loss_ratio: f64, now: Now) -> Option<f64> {
        self.baseline.add(loss_ratio);
        self.long_term.add_windowed(loss_ratio, LONG_TERM_WINDOW);
        self.baseline_seen_ms = Some(now.mono_ms);
        self.compare()
    }

    fn compare(&mut self) -> Option<f64> {
        if self.candidate.count == 0 || self.baseline.count == 0 {
            return None;
        }
        let gap_ratio = self.candidate.mean - self.baseline.mean;
        self.candidate = RunningMean::default();
        self.baseline = RunningMean::default();
        Some(gap_ratio)
    }

    /// Compares with the long-term mean if the baseline has timed out.
    fn compare_with_long_term(&mut self, now: Now) -> Option<f64> {
        let seen_ms = self.baseline_seen_ms?;
        if now.mono_ms < seen_ms + BASELINE_TIMEOUT_MS {
            return None;
        }
        let gap_ratio = self.candidate.mean - self.long_term_mean();
        self.candidate = RunningMean::default();
        Some(gap_ratio)
    }

    fn long_term_mean(&self) -> f64 {
        if self.long_term.count < LONG_TERM_MIN_SAMPLES {
            return DEFAULT_BASELINE_LOSS_RATIO;
        }
        self.long_term.mean
    }
}
