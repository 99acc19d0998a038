//! The pause before the store is called again.

use std::time::Duration;

/// Pause after the first failure, in milliseconds.
const FIRST_MS: u64 = 100;

/// Longest pause, in milliseconds: short against the age that the configuration
/// may have.
const MOST_MS: u64 = 800;

/// A pause that doubles with each failure and is drawn from its upper half, so that
/// nodes which failed together do not return together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    next_ms: u64,
}

impl Backoff {
    pub(crate) fn new() -> Self {
        Self { next_ms: FIRST_MS }
    }

    pub(crate) fn reset(&mut self) {
        self.next_ms = FIRST_MS;
    }

    pub(crate) fn next(&mut self) -> Duration {
        let pause_ms = fastrand::u64(self.next_ms / 2..=self.next_ms);
        self.next_ms = (2 * self.next_ms).min(MOST_MS);
        Duration::from_millis(pause_ms)
    }
}
