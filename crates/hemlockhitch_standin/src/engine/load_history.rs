//! Load history of the engine, for load reports with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of samples; the oldest is dropped first.
const MAX_SAMPLES: usize = 4_096;

/// Number of running completions at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSample {
    pub(super) at: Instant,
    pub(super) running: u32,
}

/// Samples, oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    pub(super) fn record(&mut self, running: u32, now: Instant) {
        self.samples.push_back(LoadSample { at: now, running });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the number of completions that were running `lag` ago.
    pub(super) fn running_before(&self, lag: Duration, now: Instant) -> u32 {
        let sample = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.at + lag <= now);
        sample.map_or(0, |sample| sample.running)
    }
}
