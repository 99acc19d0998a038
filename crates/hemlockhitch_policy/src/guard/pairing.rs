//! Pairs losses of a new version with losses of its baseline.

use hemlockhitch_model::Now;

/// After this time without a loss of the baseline, the new version is compared
/// with the baseline's long-term mean, in milliseconds.
const BASELINE_SILENCE_MS: u64 = 60_000;

/// Losses that the long-term mean spans.
const LONG_TERM_SPAN: u32 = 500;

/// Losses without which the long-term mean is not known.
const LONG_TERM_MIN: u32 = 20;

/// The mean loss that is presumed of an unknown baseline.
const UNKNOWN_MEAN_RATIO: f64 = 0.5;

/// Collects losses until both versions have one, so that each loss is used once.
#[derive(Clone, Debug, Default)]
pub(super) struct Pairing {
    candidate: Mean,
    baseline: Mean,
    long_term: Mean,
    baseline_seen_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    mean: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        self.mean += (value - self.mean) / f64::from(self.count);
    }

    fn add_recent(&mut self, value: f64, span: u32) {
        self.count = self.count.min(span - 1);
        self.add(value);
    }
}

impl Pairing {
    /// Adds a loss of the new version; returns how much more it loses than its
    /// baseline once a comparison is complete.
    pub(super) fn add_candidate(&mut self, loss_ratio: f64, now: Now) -> Option<f64> {
        self.candidate.add(loss_ratio);
        self.baseline_seen_ms.get_or_insert(now.mono_ms);
        self.compare().or_else(|| self.compare_with_long_term(now))
    }

    /// Adds a loss of the baseline.
    pub(super) fn add_baseline(&mut self, loss_ratio: f64, now: Now) -> Option<f64> {
        self.baseline.add(loss_ratio);
        self.long_term.add_recent(loss_ratio, LONG_TERM_SPAN);
        self.baseline_seen_ms = Some(now.mono_ms);
        self.compare()
    }

    fn compare(&mut self) -> Option<f64> {
        if self.candidate.count == 0 || self.baseline.count == 0 {
            return None;
        }
        let gap_ratio = self.candidate.mean - self.baseline.mean;
        self.candidate = Mean::default();
        self.baseline = Mean::default();
        Some(gap_ratio)
    }

    fn compare_with_long_term(&mut self, now: Now) -> Option<f64> {
        let seen_ms = self.baseline_seen_ms?;
        if now.mono_ms < seen_ms + BASELINE_SILENCE_MS {
            return None;
        }
        let gap_ratio = self.candidate.mean - self.long_term_mean();
        self.candidate = Mean::default();
        Some(gap_ratio)
    }

    fn long_term_mean(&self) -> f64 {
        if self.long_term.count < LONG_TERM_MIN {
            return UNKNOWN_MEAN_RATIO;
        }
        self.long_term.mean
    }
}
