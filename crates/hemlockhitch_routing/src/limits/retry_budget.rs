//! The retry budget: a limit on the attempts beyond the first of each request.

use std::collections::VecDeque;

use hemlockhitch_model::Now;

/// Fraction of the budget that is used. The rest is a margin for requests that arrive
/// closer together than they were sent.
const USABLE_RATIO: f64 = 0.8;

/// The retry budget of one service, shared by all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed for each request.
    pub retries_per_request: f64,
    /// Retries allowed in addition, for all nodes together.
    pub shared_retries: f64,
    /// Sliding window in which requests and retries are counted, in milliseconds.
    pub window_ms: u64,
}

/// Sliding-window log of one node's first attempts and retries at one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests_mono_ms: VecDeque<u64>,
    retries_mono_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, settings: RetryBudgetSettings, now: Now) {
        push_and_prune(&mut self.requests_mono_ms, settings.window_ms, now);
    }

    /// Records an attempt beyond the first.
    pub fn record_retry(&mut self, settings: RetryBudgetSettings, now: Now) {
        push_and_prune(&mut self.retries_mono_ms, settings.window_ms, now);
    }

    /// Returns the used fraction of this node's budget, which is the retries earned by
    /// its own requests and an equal share of the shared retries.
    #[must_use]
    pub fn used_ratio(&self, settings: RetryBudgetSettings, nodes: u32, now: Now) -> f64 {
        let window_start_mono_ms = now.mono_ms.saturating_sub(settings.window_ms);
        let count = |times: &VecDeque<u64>| {
            let recent = times
                .iter()
                .rev()
                .take_while(|at| **at >= window_start_mono_ms);
            #[allow(clippy::cast_precision_loss)]
            let count = recent.count() as f64;
            count
        };
        let earned_retries = settings.retries_per_request * count(&self.requests_mono_ms);
        let shared_retries = settings.shared_retries / f64::from(nodes.max(1));
        count(&self.retries_mono_ms)
            / ((earned_retries + shared_retries) * USABLE_RATIO).max(f64::MIN_POSITIVE)
    }

    /// Returns whether another retry may be sent now.
    #[must_use]
    pub fn allows(&self, settings: RetryBudgetSettings, nodes: u32, now: Now) -> bool {
        self.used_ratio(settings, nodes, now) < 1.0
    }
}

fn push_and_prune(times: &mut VecDeque<u64>, window_ms: u64, now: Now) {
    times.push_back(now.mono_ms);
    let cutoff_mono_ms = now.mono_ms.saturating_sub(window_ms);
    while times.front().is_some_and(|at| *at < cutoff_mono_ms) {
        times.pop_front();
    }
}
