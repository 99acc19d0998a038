//! A bound on how many things are done in a second.

use std::collections::VecDeque;

use hemlockhitch_model::Now;

/// The window of the bound, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Added to the window for the time between a send and its arrival, in
/// milliseconds.
const JITTER_MS: u64 = 100;

/// The latest sends of one node.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    sent_mono_ms: VecDeque<u64>,
}

impl Pace {
    /// Returns whether one more may be sent now, at `per_s` a second; a rate below
    /// one a second spaces the sends further apart.
    #[must_use]
    pub fn allows(&self, per_s: f64, now: Now) -> bool {
        if per_s <= 0.0 {
            return false;
        }
        if per_s < 1.0 {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            #[allow(clippy::cast_precision_loss)]
            let apart_ms = (WINDOW_MS as f64 / per_s).ceil() as u64 + JITTER_MS;
            let last = self.sent_mono_ms.back();
            return last.is_none_or(|at| now.mono_ms >= at + apart_ms);
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let most = per_s as usize;
        let since_mono_ms = now.mono_ms.saturating_sub(WINDOW_MS + JITTER_MS);
        let recent = self.sent_mono_ms.iter().rev();
        recent.take_while(|at| **at >= since_mono_ms).count() < most
    }

    /// Counts a send.
    pub fn count(&mut self, now: Now) {
        self.sent_mono_ms.push_back(now.mono_ms);
        let keep_mono_ms = now.mono_ms.saturating_sub(60 * WINDOW_MS);
        while self
            .sent_mono_ms
            .front()
            .is_some_and(|at| *at < keep_mono_ms)
        {
            self.sent_mono_ms.pop_front();
        }
    }
}
