//! Pauses between the tries of a call.

use std::time::Duration;

use super::RoutedSettings;

/// Doubling pauses, each drawn at random from its upper half.
#[derive(Debug)]
pub(super) struct Backoff {
    next_ms: u64,
    max_ms: u64,
}

impl Backoff {
    pub(super) fn new(settings: &RoutedSettings) -> Self {
        Self {
            next_ms: settings.first_pause_ms.max(1),
            max_ms: settings.max_pause_ms.max(1),
        }
    }

    pub(super) fn next_pause(&mut self) -> Duration {
        let longest_ms = self.next_ms.min(self.max_ms);
        self.next_ms = longest_ms * 2;
        Duration::from_millis(fastrand::u64(longest_ms / 2..=longest_ms))
    }
}
