//! Model cascades: the choice of a model size for routes that leave it open.
//!
//! A small model responds first. A larger one is asked before anything is relayed to the
//! caller where its expected gain exceeds its price. The gain is the probability that the
//! kept response is poor, less the same for the larger model. Both follow from the confidence
//! of the model that responded, and from learned differences of the models' confidences. The
//! price is that of the model, of the delay of the requests that wait behind it, and of an
//! attempt that is no longer a reserve for failures.
//!
//! It is made for loads in which many responses of the smallest model are poor: while there
//! is room, most of them are replaced, and when room or attempts are scarce, the least
//! confident ones.

mod gain;
mod latency;
mod prompt_length;

pub use gain::{ConfidenceGains, Step};
pub use latency::{FirstEventLatency, FirstEventSample};
pub use prompt_length::PromptLengths;

use hemlockhitch_model::Now;

/// Price of a response of the largest model, as a ratio of the worth of a good response,
/// unless the settings state another.
pub const DEFAULT_MODEL_PRICE: f64 = 0.12;

/// Confidence at which a response is as likely good as poor, in percent.
const EVEN_CONFIDENCE_PERCENT: f64 = 50.0;

/// Factor by which the logistic function approximates the normal distribution.
const LOGISTIC_SCALE: f64 = 1.702;

/// Price of a response of the largest model for each request that is nearly late, as a ratio
/// of the worth of a good response: it delays about two requests.
const LATE_PRICE: f64 = 2.0;

/// Exponent of the price of an attempt over the used part of the retry budget. While half of
/// the budget is free, an attempt is worth little as a reserve.
const BUDGET_EXPONENT: i32 = 6;

/// Used part of the retry budget at which an attempt is worth as much as a good response, so
/// that no request escalates; the rest is reserved for failures.
const MAX_USED_BUDGET_RATIO: f64 = 0.95;

/// Longest prompt that starts at the largest model, as a ratio of the service's mean. Its
/// prefill there takes about as long as two mean prompts at the smallest model.
const SHORT_PROMPT_RATIO: f64 = 0.25;

/// Ratio of first events that are nearly late above which every request starts at the
/// smallest model.
const MAX_START_LATE_RATIO: f64 = 0.05;

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
    /// Price of a response of the largest model, as a ratio of the worth of a good response.
    pub model_price: f64,
}

/// What a node knows about the models of one service, to choose among them.
#[derive(Clone, Debug, Default)]
pub struct ModelChoice {
    latency: FirstEventLatency,
    gains: ConfidenceGains,
    lengths: PromptLengths,
}

impl ModelChoice {
    /// Records the time to a first event.
    pub fn record_first_event(&mut self, sample: FirstEventSample) {
        self.latency.record(sample);
    }

    /// Records the confidence of a larger size after that of a smaller one, in percent.
    pub fn record_escalation(&mut self, step: Step, from_percent: u8, to_percent: u8, now: Now) {
        self.gains.record(step, from_percent, to_percent, now);
    }

    /// Returns the ratio of first events that are late or nearly so, from 0 to 1.
    #[must_use]
    pub fn nearly_late_ratio(&self) -> f64 {
        self.latency.nearly_late_ratio()
    }

    /// Returns the size, of `size_count`, at which a request with a prompt of `tokens`
    /// starts. Short prompts cost the largest model little time and need no escalation
    /// there.
    #[must_use]
    pub fn first_size(&mut self, size_count: usize, tokens: u64) -> usize {
        let relative = self.lengths.relative(tokens);
        self.lengths.record(tokens);
        let is_short = relative.is_some_and(|relative| relative <= SHORT_PROMPT_RATIO);
        let has_room = self.nearly_late_ratio() <= MAX_START_LATE_RATIO;
        if is_short && has_room {
            size_count.saturating_sub(1)
        } else {
            0
        }
    }

    /// Returns the model size to escalate to, or `None` if the response is kept.
    ///
    /// A response that would probably be late is not asked for. It would delay others that
    /// can still be in time, which makes them late in turn while endpoints are busy.
    #[must_use]
    pub fn next_size(&self, input: EscalationInput, now: Now) -> Option<usize> {
        let largest = input.size_count.checked_sub(1)?;
        let confidence_percent = f64::from(input.confidence_percent?);
        let deviation_percent = self.gains.deviation_percent(now);
        let kept = probability_of_good(confidence_percent, deviation_percent);
        let attempt_price = (input.used_budget_ratio / MAX_USED_BUDGET_RATIO).powi(BUDGET_EXPONENT);
        let largest_price = input.model_price + LATE_PRICE * self.nearly_late_ratio();
        let is_in_time = |to: &usize| {
            self.latency.predict_ms(*to, input.cost_tokens) <= as_f64(input.remaining_to_slo_ms)
        };
        let net_gain = |to: usize| {
            let step = Step {
                from: input.size,
                to,
            };
            let gain_percent = self
                .gains
                .expected_gain_percent(step, input.size_count, now);
            let replaced =
                probability_of_good(confidence_percent + gain_percent, deviation_percent);
            let price = largest_price * self.relative_price(to, largest);
            replaced - kept - price - attempt_price
        };
        let larger = (input.size + 1..=largest).filter(is_in_time);
        let gains = larger.map(|to| (to, net_gain(to)));
        let best = gains.max_by(|(_, one), (_, other)| one.total_cmp(other));
        best.filter(|(_, gain)| *gain > 0.0).map(|(to, _)| to)
    }

    /// Returns the price of a size relative to the largest, by the time that they take.
    fn relative_price(&self, size: usize, largest: usize) -> f64 {
        let by_time = self.latency.relative(size, largest);
        let by_rank = as_f64(size as u64) / as_f64(largest.max(1) as u64);
        by_time.unwrap_or(by_rank).min(1.0)
    }
}

/// Returns the probability that a response is good whose model states this confidence with
/// this standard deviation, both in percent.
fn probability_of_good(confidence_percent: f64, deviation_percent: f64) -> f64 {
    let distance = (confidence_percent - EVEN_CONFIDENCE_PERCENT) / deviation_percent;
    1.0 / (1.0 + (-LOGISTIC_SCALE * distance).exp())
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
