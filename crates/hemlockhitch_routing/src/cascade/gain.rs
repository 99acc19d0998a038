//! What a larger model's confidence will probably be, learned from responses.
//!
//! A larger model is more confident by about the same amount whatever the request, and each
//! confidence is a rough opinion. Pairs of confidences in the same request show both: the
//! mean difference, and how rough the opinions are.

use std::collections::HashMap;

use hemlockhitch_model::Now;

/// Weight of the prior, in responses: a few observations outweigh it.
const PRIOR_WEIGHT: f64 = 4.0;

/// Gain in confidence that the largest size is assumed to have over the smallest before any
/// response shows it, in percent. The largest size is presumed to respond well to all
/// requests. A size between them is presumed to gain less than its rank says, since each node
/// pays for finding out what it gains.
const PRIOR_GAIN_PERCENT: f64 = 100.0;

/// Standard deviation of a confidence that is assumed before any response shows it, in
/// percent.
const PRIOR_DEVIATION_PERCENT: f64 = 12.0;

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

/// Decayed sums of the gains of one step, in percent.
#[derive(Clone, Copy, Debug, Default)]
struct Gain {
    weight: f64,
    sum: f64,
    square_sum: f64,
    updated_mono_ms: u64,
}

impl Gain {
    fn decayed(self, now: Now) -> Self {
        let age_ms = as_f64(now.mono_ms.saturating_sub(self.updated_mono_ms));
        let factor = (-age_ms / HALF_LIFE_MS).exp2();
        Self {
            weight: self.weight * factor,
            sum: self.sum * factor,
            square_sum: self.square_sum * factor,
            updated_mono_ms: now.mono_ms,
        }
    }

    /// Returns the weighted sum of squared differences from the mean.
    fn scatter(self) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        (self.square_sum - self.sum * self.sum / self.weight).max(0.0)
    }
}

impl ConfidenceGains {
    /// Records the confidence of the larger size after that of the smaller one, in
    /// percent. Confidences at either end of the scale show no difference.
    pub fn record(&mut self, step: Step, from_percent: u8, to_percent: u8, now: Now) {
        let is_inside = |percent: u8| percent > 0 && percent < 100;
        if !is_inside(from_percent) || !is_inside(to_percent) {
            return;
        }
        let difference = f64::from(to_percent) - f64::from(from_percent);
        let gain = self.gains.entry(step).or_default();
        *gain = gain.decayed(now);
        gain.weight += 1.0;
        gain.sum += difference;
        gain.square_sum += difference * difference;
    }

    /// Returns the gain in confidence to expect of the larger size, in percent.
    #[must_use]
    pub fn expected_gain_percent(&self, step: Step, size_count: usize, now: Now) -> f64 {
        let steps = size_count.saturating_sub(1).max(1);
        let part = as_f64((step.to - step.from) as u64) / as_f64(steps as u64);
        let prior_percent = PRIOR_GAIN_PERCENT * part * part;
        let gain = self.gains.get(&step).copied().unwrap_or_default();
        let gain = gain.decayed(now);
        (gain.sum + PRIOR_WEIGHT * prior_percent) / (gain.weight + PRIOR_WEIGHT)
    }

    /// Returns the standard deviation of a confidence, in percent. Two of them differ by the
    /// square root of two as much.
    #[must_use]
    pub fn deviation_percent(&self, now: Now) -> f64 {
        let gains = self.gains.values().map(|gain| gain.decayed(now));
        let (weight, scatter) = gains.fold((0.0, 0.0), |(weight, scatter), gain| {
            (weight + gain.weight, scatter + gain.scatter())
        });
        let prior = PRIOR_DEVIATION_PERCENT * PRIOR_DEVIATION_PERCENT;
        ((scatter / 2.0 + PRIOR_WEIGHT * prior) / (weight + PRIOR_WEIGHT)).sqrt()
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
