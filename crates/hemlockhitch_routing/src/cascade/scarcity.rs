//! Model choice where the retry budget limits escalations.
//!
//! It is made for a load in which more responses of the smallest model are poor than the
//! budget allows escalations, while endpoints have room for the larger models. Escalations
//! then go to the least confident responses, and short prompts, which cost a larger model
//! little time, start at the largest one and need none.

use super::LatencyPressure;

/// Confidence below which a request escalates while the budget is little used, in percent.
const BASE_THRESHOLD_PERCENT: f64 = 50.0;

/// Added to it for prompts up to the mean length while endpoints have room, in percent: some
/// of these responses are poor, but fewer than below it. Longer prompts would take more of
/// the largest model's time than that is worth to those that wait behind them.
const EXTRA_THRESHOLD_PERCENT: f64 = 15.0;

/// Pressure up to which all of the extra counts.
const LOW_PRESSURE_RATIO: f64 = 0.15;

/// Pressure from which none of the extra counts: long prompts then wait for each other at
/// the largest model.
const HIGH_PRESSURE_RATIO: f64 = 0.3;

/// Used part of the budget up to which the threshold is not reduced.
const LOW_USE_RATIO: f64 = 0.6;

/// Used part of the budget from which no request escalates; the rest is reserved for
/// failures.
const HIGH_USE_RATIO: f64 = 0.9;

/// Longest prompt that starts at the largest model, as a ratio of the service's mean. Its
/// prefill there takes about as long as two mean prompts at the smallest model.
const SHORT_PROMPT_RATIO: f64 = 0.25;

/// Pressure above which every request starts at the smallest model.
const MAX_START_PRESSURE_RATIO: f64 = HIGH_PRESSURE_RATIO;

/// Weight of the latest prompt in the mean length.
const EWMA_WEIGHT: f64 = 0.01;

/// Moving average of the length of prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptLengths {
    mean_tokens: Option<f64>,
}

impl PromptLengths {
    /// Records the length of a prompt, in tokens.
    pub fn record(&mut self, tokens: u64) {
        let tokens = super::as_f64(tokens);
        let mean = self.mean_tokens.unwrap_or(tokens);
        self.mean_tokens = Some(mean + (tokens - mean) * EWMA_WEIGHT);
    }

    /// Returns whether a prompt of this length, in tokens, exceeds the mean of its service.
    #[must_use]
    pub fn is_long(&self, tokens: u64) -> bool {
        self.mean_tokens
            .is_some_and(|mean| super::as_f64(tokens) > mean)
    }

    /// Returns whether a prompt of this length, in tokens, is short for its service.
    #[must_use]
    pub fn is_short(&self, tokens: u64) -> bool {
        self.mean_tokens
            .is_some_and(|mean| super::as_f64(tokens) <= mean * SHORT_PROMPT_RATIO)
    }
}

/// Returns the size at which a request with a prompt of `tokens` starts, of `size_count`
/// sizes.
#[must_use]
pub fn first_size(
    size_count: usize,
    tokens: u64,
    lengths: &PromptLengths,
    pressure: &LatencyPressure,
) -> usize {
    let has_room = pressure.latency_ratio() <= MAX_START_PRESSURE_RATIO;
    if has_room && lengths.is_short(tokens) {
        size_count.saturating_sub(1)
    } else {
        0
    }
}

/// Returns the confidence below which a request escalates when this part of the retry
/// budget is used, in percent; more pressure than counts here reduces it further.
pub(super) fn threshold_percent(
    used_ratio: f64,
    has_long_prompt: bool,
    pressure: &LatencyPressure,
) -> f64 {
    let used = (used_ratio - LOW_USE_RATIO) / (HIGH_USE_RATIO - LOW_USE_RATIO);
    let pressed = (pressure.latency_ratio() - LOW_PRESSURE_RATIO)
        / (HIGH_PRESSURE_RATIO - LOW_PRESSURE_RATIO);
    let extra_percent = if has_long_prompt {
        0.0
    } else {
        EXTRA_THRESHOLD_PERCENT * (1.0 - pressed.clamp(0.0, 1.0))
    };
    (BASE_THRESHOLD_PERCENT + extra_percent) * (1.0 - used.clamp(0.0, 1.0))
}
