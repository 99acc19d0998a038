//! A rate limit over a sliding window.

use std::collections::VecDeque;

use hemlockhitch_model::Now;

/// Length of the sliding window, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Added to the window for the variation of the time between sending and arrival, in
/// milliseconds.
const JITTER_MS: u64 = 100;

/// Sliding-window log of the requests that one node sent.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    sent_mono_ms: VecDeque<u64>,
}

impl RateLimiter {
    /// Returns whether another request may be sent now at a limit of `per_s` requests
    /// per second. Below one per second, the limit is enforced by a minimum interval
    /// between requests.
    #[must_use]
    pub fn allows(&self, per_s: f64, now: Now) -> bool {
        if per_s <= 0.0 {
            return false;
        }
        if per_s < 1.0 {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            #[allow(clippy::cast_precision_loss)]
            let interval_ms = (WINDOW_MS as f64 / per_s).ceil() as u64 + JITTER_MS;
            let last_mono_ms = self.sent_mono_ms.back();
            return last_mono_ms.is_none_or(|at| now.mono_ms >= at + interval_ms);
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = per_s as usize;
        let window_start_mono_ms = now.mono_ms.saturating_sub(WINDOW_MS + JITTER_MS);
        let recent = self.sent_mono_ms.iter().rev();
        recent.take_while(|at| **at >= window_start_mono_ms).count() < limit
    }

    /// Records a sent request.
    pub fn record(&mut self, now: Now) {
        self.sent_mono_ms.push_back(now.mono_ms);
        let cutoff_mono_ms = now.mono_ms.saturating_sub(60 * WINDOW_MS);
        while self
            .sent_mono_ms
            .front()
            .is_some_and(|at| *at < cutoff_mono_ms)
        {
            self.sent_mono_ms.pop_front();
        }
    }
}
