//! Times to the first event of a service's responses.

/// Weight of the latest first event in the moving average of times.
const EWMA_WEIGHT: f64 = 0.1;

/// Weight of the latest first event in the ratio of those that are nearly late. Few are, so
/// that the ratio needs many.
const LATE_EWMA_WEIGHT: f64 = 0.03;

/// Time to a first event from which it is nearly late, as a ratio of the objective.
const NEARLY_LATE_RATIO: f64 = 0.75;

/// Measurement of one first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstEventSample {
    /// Index of the model size.
    pub size: usize,
    /// Cost of the work before the event, in prompt tokens.
    pub cost_tokens: u64,
    /// Time to the event, in milliseconds.
    pub took_ms: u64,
    /// Latency objective of the event, in milliseconds.
    pub slo_ms: u64,
}

/// Moving averages of the time to the first event, relative to the objective and per
/// prompt token.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FirstEventLatency {
    nearly_late_ratio: f64,
    ms_per_token_by_size: Vec<f64>,
}

impl FirstEventLatency {
    /// Records a first event.
    pub fn record(&mut self, sample: FirstEventSample) {
        let took_ms = super::as_f64(sample.took_ms);
        let is_nearly_late = took_ms > NEARLY_LATE_RATIO * super::as_f64(sample.slo_ms);
        let nearly_late = f64::from(u8::from(is_nearly_late));
        self.nearly_late_ratio += (nearly_late - self.nearly_late_ratio) * LATE_EWMA_WEIGHT;
        if self.ms_per_token_by_size.len() <= sample.size {
            self.ms_per_token_by_size.resize(sample.size + 1, 0.0);
        }
        let ms_per_token = took_ms / super::as_f64(sample.cost_tokens.max(1));
        let mean = &mut self.ms_per_token_by_size[sample.size];
        if *mean == 0.0 {
            *mean = ms_per_token;
        }
        *mean += (ms_per_token - *mean) * EWMA_WEIGHT;
    }

    /// Returns the ratio of first events that are late or nearly so, from 0 to 1.
    #[must_use]
    pub fn nearly_late_ratio(&self) -> f64 {
        self.nearly_late_ratio
    }

    /// Predicts the time to the first event, in milliseconds. A size without samples takes at
    /// most as long as the next larger one; 0 if that is not known either.
    #[must_use]
    pub fn predict_ms(&self, size: usize, cost_tokens: u64) -> f64 {
        let mut larger = self.ms_per_token_by_size.iter().skip(size);
        let ms_per_token = larger.find(|ms_per_token| **ms_per_token > 0.0);
        ms_per_token.copied().unwrap_or_default() * super::as_f64(cost_tokens)
    }

    /// Returns how long a size takes relative to another; `None` if one of them is not
    /// known.
    #[must_use]
    pub fn relative(&self, size: usize, other: usize) -> Option<f64> {
        let known = |size| {
            let ms_per_token = self.ms_per_token_by_size.get(size).copied();
            ms_per_token.filter(|ms_per_token| *ms_per_token > 0.0)
        };
        Some(known(size)? / known(other)?)
    }
}
