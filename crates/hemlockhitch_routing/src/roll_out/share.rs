//! The new version's share of a service's requests.
//!
//! Each node counts the requests that it sends. Any node may move all sessions to the new
//! version, so the most optimistic of them decides. The estimates are therefore upper
//! bounds over as many nodes as there are.

use std::collections::VecDeque;

use hemlockhitch_model::Now;

/// Margin below the share of requests that a bad version may get, for the last writes to
/// the store.
const SHARE_MARGIN: f64 = 0.01;

/// Window of the current request rate, in milliseconds: short compared
/// with the last part of a roll-out, long compared with the time between requests.
const RATE_WINDOW_MS: u64 = 1_000;

/// How often each node looks at its count while the step is due: once in each poll of a
/// second.
const DECISIONS: f64 = 10.0;

/// Requests of a service at one node since the order.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetShare {
    total_requests: u32,
    target_requests: u32,
    /// Times of the requests within the rate window.
    recent_mono_ms: VecDeque<u64>,
}

/// Bounds of a roll-out within which the new version's share is kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareLimit {
    /// Share of the service's requests that a bad version may get, from 0 to 1.
    pub max_share: f64,
    /// Share that the new version is expected to get during the trial, from 0 to 1.
    pub trial_share: f64,
    /// When the order was received.
    pub ordered_mono_ms: u64,
    /// When the order's time ends.
    pub end_mono_ms: u64,
    /// Number of nodes, any of which may take the next step.
    pub node_count: u32,
}

impl TargetShare {
    pub(super) fn record_request(&mut self, is_target: bool, now: Now) {
        self.total_requests += 1;
        self.target_requests += u32::from(is_target);
        self.recent_mono_ms.push_back(now.mono_ms);
        let cutoff_mono_ms = now.mono_ms.saturating_sub(RATE_WINDOW_MS);
        while self
            .recent_mono_ms
            .front()
            .is_some_and(|at| *at < cutoff_mono_ms)
        {
            self.recent_mono_ms.pop_front();
        }
    }

    /// Returns whether the new version may get all requests until the end of the order's
    /// time, at the current request rate.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn can_take_all(&self, limit: ShareLimit, now: Now) -> bool {
        let elapsed_ms = now.mono_ms.saturating_sub(limit.ordered_mono_ms) as f64;
        let remaining_ms = limit.end_mono_ms.saturating_sub(now.mono_ms) as f64;
        let observed_share =
            f64::from(self.target_requests) / f64::from(self.total_requests.max(1));
        let target_ms = elapsed_ms * observed_share.max(limit.trial_share);
        // Requests to come, as the time in which as many have arrived so far.
        let expected_ms = remaining_ms * self.rate_increase(limit, now);
        target_ms + expected_ms <= (limit.max_share - SHARE_MARGIN) * (elapsed_ms + expected_ms)
    }

    /// Returns an upper bound of the current request rate, as a multiple of the mean rate
    /// since the order. It is at least 1, since a single node may get fewer requests while
    /// others get more.
    #[allow(clippy::cast_precision_loss)]
    fn rate_increase(&self, limit: ShareLimit, now: Now) -> f64 {
        let elapsed_ms = now.mono_ms.saturating_sub(limit.ordered_mono_ms);
        if elapsed_ms <= RATE_WINDOW_MS || self.total_requests == 0 {
            return 1.0;
        }
        let window_start_mono_ms = now.mono_ms.saturating_sub(RATE_WINDOW_MS);
        let recent = self.recent_mono_ms.iter().rev();
        let recent = recent.take_while(|at| **at >= window_start_mono_ms).count() as f64;
        // The square root of a count varies by half around that of its mean. The lowest of
        // all counts that are looked at lies this many times as far below.
        let counts = DECISIONS * f64::from(limit.node_count.max(1));
        let deviations = (2.0 * counts.ln()).sqrt();
        let recent = (recent.sqrt() + deviations / 2.0).powi(2);
        let usual = f64::from(self.total_requests) * RATE_WINDOW_MS as f64 / elapsed_ms as f64;
        (recent / usual).max(1.0)
    }
}
