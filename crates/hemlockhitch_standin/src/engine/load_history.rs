//! Past states of the engine, for reports that lag.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The most states that are kept.
const MAX_STATES: usize = 4_096;

/// One state of the engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadState {
    pub(super) at: Instant,
    pub(super) running: u32,
}

/// The states, oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    states: VecDeque<LoadState>,
}

impl LoadHistory {
    pub(super) fn record(&mut self, running: u32, now: Instant) {
        self.states.push_back(LoadState { at: now, running });
        if self.states.len() > MAX_STATES {
            self.states.pop_front();
        }
    }

    /// Returns the requests that ran `lag` ago.
    pub(super) fn running_before(&self, lag: Duration, now: Instant) -> u32 {
        let state = self.states.iter().rev().find(|state| state.at + lag <= now);
        state.map_or(0, |state| state.running)
    }
}
