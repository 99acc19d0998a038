//! The budget of sends beyond the first of each request.

use std::collections::VecDeque;

use hemlockhitch_model::Now;

/// The part of the bound that is used, so that sends which arrive closer together
/// than they were sent stay within it.
const USED_RATIO: f64 = 0.8;

/// The bound that all nodes keep together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatSettings {
    /// Repeats allowed for each request.
    pub per_request: f64,
    /// Repeats allowed besides, by all nodes together.
    pub allowance: f64,
    /// The window in which both are counted, in milliseconds.
    pub window_ms: u64,
}

/// One node's firsts and repeats at one service.
#[derive(Clone, Debug, Default)]
pub struct Repeats {
    firsts_mono_ms: VecDeque<u64>,
    repeats_mono_ms: VecDeque<u64>,
}

impl Repeats {
    /// Counts a request that is sent for the first time.
    pub fn count_first(&mut self, settings: RepeatSettings, now: Now) {
        push(&mut self.firsts_mono_ms, settings.window_ms, now);
    }

    /// Counts a send beyond the first.
    pub fn count_repeat(&mut self, settings: RepeatSettings, now: Now) {
        push(&mut self.repeats_mono_ms, settings.window_ms, now);
    }

    /// Returns which part of this node's budget is used: its own requests'
    /// repeats and an even part of the common allowance.
    #[must_use]
    pub fn used_ratio(&self, settings: RepeatSettings, nodes: u32, now: Now) -> f64 {
        let since_mono_ms = now.mono_ms.saturating_sub(settings.window_ms);
        let count = |times: &VecDeque<u64>| {
            let recent = times.iter().rev().take_while(|at| **at >= since_mono_ms);
            #[allow(clippy::cast_precision_loss)]
            let count = recent.count() as f64;
            count
        };
        let earned = settings.per_request * count(&self.firsts_mono_ms);
        let share = settings.allowance / f64::from(nodes.max(1));
        count(&self.repeats_mono_ms) / ((earned + share) * USED_RATIO).max(f64::MIN_POSITIVE)
    }

    /// Returns whether one more repeat may be sent now.
    #[must_use]
    pub fn allows(&self, settings: RepeatSettings, nodes: u32, now: Now) -> bool {
        self.used_ratio(settings, nodes, now) < 1.0
    }
}

fn push(times: &mut VecDeque<u64>, window_ms: u64, now: Now) {
    times.push_back(now.mono_ms);
    let keep_mono_ms = now.mono_ms.saturating_sub(window_ms);
    while times.front().is_some_and(|at| *at < keep_mono_ms) {
        times.pop_front();
    }
}
