//! What a larger model's confidence will probably be, learned from responses.
//!
//! It is made for a load in which many responses miss the threshold by little: a middle
//! size then suffices, which takes a fraction of the largest one's time and cost.

use std::collections::HashMap;

use hemlockhitch_model::Now;

/// Weight of the prior, in responses: a few observations outweigh it.
const PRIOR_WEIGHT: f64 = 4.0;

/// Part of the way to full confidence that the largest size is assumed to go before any
/// response shows it. It is optimistic enough for a middle size to be tried.
const PRIOR_GAIN_RATIO: f64 = 0.5;

/// Time in which the weight of an observation falls to a half, in milliseconds, so that
/// a size that was given up is tried again.
const HALF_LIFE_MS: f64 = 30_000.0;

/// The escalation of a request from one model size to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    /// Index of the size that responded.
    pub from: usize,
    /// Index of the larger size.
    pub to: usize,
}

/// Gains in confidence by escalation, for the models of one service.
#[derive(Clone, Debug, Default)]
pub struct ConfidenceGains {
    gains: HashMap<Step, Gain>,
}

/// Decayed mean of the gains of one step, as a ratio of the way to full confidence.
#[derive(Clone, Copy, Debug, Default)]
struct Gain {
    weight: f64,
    ratio_sum: f64,
    updated_mono_ms: u64,
}

impl Gain {
    fn decayed(self, now: Now) -> Self {
        let age_ms = as_f64(now.mono_ms.saturating_sub(self.updated_mono_ms));
        let factor = (-age_ms / HALF_LIFE_MS).exp2();
        Self {
            weight: self.weight * factor,
            ratio_sum: self.ratio_sum * factor,
            updated_mono_ms: now.mono_ms,
        }
    }
}

impl ConfidenceGains {
    /// Records the confidence of the larger size after that of the smaller one, in
    /// percent.
    pub fn record(&mut self, step: Step, from_percent: u8, to_percent: u8, now: Now) {
        let remaining = 100.0 - f64::from(from_percent);
        if remaining <= 0.0 {
            return;
        }
        let gain = self.gains.entry(step).or_default();
        *gain = gain.decayed(now);
        // The ratio is measured more precisely from a low confidence.
        let weight = remaining / 100.0;
        gain.weight += weight;
        gain.ratio_sum += weight * (f64::from(to_percent) - f64::from(from_percent)) / remaining;
    }

    /// Returns the confidence to expect of the larger size, in percent.
    #[must_use]
    pub fn expected_percent(
        &self,
        step: Step,
        size_count: usize,
        from_percent: u8,
        now: Now,
    ) -> f64 {
        let steps_to_largest = size_count.saturating_sub(step.from + 1).max(1);
        let part = as_f64((step.to - step.from) as u64) / as_f64(steps_to_largest as u64);
        let prior_ratio = PRIOR_GAIN_RATIO * part;
        let gain = self.gains.get(&step).copied().unwrap_or_default();
        let gain = gain.decayed(now);
        let ratio = (gain.ratio_sum + PRIOR_WEIGHT * prior_ratio) / (gain.weight + PRIOR_WEIGHT);
        let from_percent = f64::from(from_percent);
        from_percent + (100.0 - from_percent) * ratio
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
