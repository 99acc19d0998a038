//! Model cascades: the choice of a model size for routes that leave it open.
//!
//! A small model responds first. If its confidence in the response is low, the request
//! escalates to a larger model before anything is relayed to the caller. The confidence
//! threshold falls under load, because larger models take more of an endpoint's time.

mod gain;
mod scarcity;

pub use gain::{ConfidenceGains, Step};
pub use scarcity::{PromptLengths, first_size};

use hemlockhitch_model::Now;

/// Confidence below which a request escalates under low load, in percent. Half of the
/// responses that a small model considers poor have a lower confidence.
const MAX_THRESHOLD_PERCENT: f64 = 50.0;

/// Used part of the retry budget from which no request escalates by the fixed threshold;
/// the rest is reserved for failures.
const MAX_USED_RATIO: f64 = 0.75;

/// Pressure up to which the confidence threshold is not reduced.
const LOW_PRESSURE_RATIO: f64 = 0.2;

/// Pressure from which no request escalates.
const HIGH_PRESSURE_RATIO: f64 = 0.7;

/// Weight of the latest first event in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// Moving averages of the time to the first event, relative to the objective and per
/// prompt token.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LatencyPressure {
    latency_ratio: f64,
    ms_per_token_by_size: Vec<f64>,
}

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

impl LatencyPressure {
    /// Records a first event.
    pub fn record(&mut self, sample: FirstEventSample) {
        let took_ms = as_f64(sample.took_ms);
        let ratio = took_ms / as_f64(sample.slo_ms.max(1));
        self.latency_ratio += (ratio.min(2.0) - self.latency_ratio) * EWMA_WEIGHT;
        if self.ms_per_token_by_size.len() <= sample.size {
            self.ms_per_token_by_size.resize(sample.size + 1, 0.0);
        }
        let ms_per_token = took_ms / as_f64(sample.cost_tokens.max(1));
        let mean = &mut self.ms_per_token_by_size[sample.size];
        if *mean == 0.0 {
            *mean = ms_per_token;
        }
        *mean += (ms_per_token - *mean) * EWMA_WEIGHT;
    }

    /// Returns the moving average of the time to the first event as a ratio of the
    /// objective, where each sample counts 2 at most.
    #[must_use]
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Predicts the time to the first event, in milliseconds; 0 for a size without
    /// samples.
    #[must_use]
    pub fn predict_first_event_ms(&self, size: usize, cost_tokens: u64) -> f64 {
        self.ms_per_token_by_size
            .get(size)
            .copied()
            .unwrap_or_default()
            * as_f64(cost_tokens)
    }
}

/// Input to the choice of the next model size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscalationInput {
    /// Index of the model size that has responded.
    pub size: usize,
    /// Number of model sizes of the route.
    pub size_count: usize,
    /// Confidence of the model in its response, in percent.
    pub confidence_percent: Option<u8>,
    /// Cost of the work before a first event, in prompt tokens.
    pub cost_tokens: u64,
    /// Time left until the latency objective, in milliseconds.
    pub remaining_to_slo_ms: u64,
    /// Used part of the retry budget, which escalations draw on.
    pub used_budget_ratio: f64,
    /// How the threshold depends on the budget.
    pub threshold: Threshold,
    /// Whether the prompt is longer than the mean of its service.
    pub has_long_prompt: bool,
}

/// How the confidence threshold depends on the retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Threshold {
    /// The same threshold until three quarters of the budget are used.
    #[default]
    Fixed,
    /// A higher threshold that falls as the budget is used.
    ByBudget,
}

impl Threshold {
    /// Returns the confidence below which a request escalates without pressure, in percent.
    fn percent(self, input: EscalationInput, pressure: &LatencyPressure) -> f64 {
        match self {
            Self::Fixed if input.used_budget_ratio < MAX_USED_RATIO => MAX_THRESHOLD_PERCENT,
            Self::Fixed => 0.0,
            Self::ByBudget => scarcity::threshold_percent(
                input.used_budget_ratio,
                input.has_long_prompt,
                pressure,
            ),
        }
    }
}

/// Returns the confidence below which a request escalates, in percent, where it is
/// `max_percent` without pressure.
#[must_use]
pub fn escalation_threshold_percent(pressure: &LatencyPressure, max_percent: f64) -> f64 {
    let excess = (pressure.latency_ratio() - LOW_PRESSURE_RATIO)
        / (HIGH_PRESSURE_RATIO - LOW_PRESSURE_RATIO);
    max_percent * (1.0 - excess.clamp(0.0, 1.0))
}

/// Returns the model size to escalate to, or `None` if the response is kept. It is the
/// smallest size whose response will probably be confident enough, or the largest if no
/// other will.
///
/// A response that would probably be late is not asked for. It would delay others that
/// can still be in time, which makes them late in turn while endpoints are busy.
#[must_use]
pub fn next_size(
    input: EscalationInput,
    pressure: &LatencyPressure,
    gains: &ConfidenceGains,
    now: Now,
) -> Option<usize> {
    let largest = input.size_count.checked_sub(1)?;
    let confidence_percent = input.confidence_percent?;
    let max_percent = input.threshold.percent(input, pressure);
    let sufficient_percent = max_percent.max(MAX_THRESHOLD_PERCENT);
    let suffices = |to: &usize| {
        let step = Step {
            from: input.size,
            to: *to,
        };
        gains.expected_percent(step, input.size_count, confidence_percent, now)
            >= sufficient_percent
    };
    let size = (input.size + 1..largest).find(suffices).unwrap_or(largest);
    let is_late = pressure.predict_first_event_ms(size, input.cost_tokens)
        > as_f64(input.remaining_to_slo_ms);
    let threshold_percent = escalation_threshold_percent(pressure, max_percent);
    let is_below_threshold = f64::from(confidence_percent) < threshold_percent;
    (input.size < largest && is_below_threshold && !is_late).then_some(size)
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
