//! Pauses between the tries of a call.

use std::time::Duration;

/// A pause that doubles with each failure up to a bound and is drawn from its upper
/// half, so that callers which failed together do not return together.
///
/// ```
/// use hemlockhitch_model::Backoff;
///
/// let mut backoff = Backoff::new(100, 800);
/// assert!(backoff.next_pause().as_millis() <= 100);
/// assert!(backoff.next_pause().as_millis() >= 100);
/// backoff.reset();
/// assert!(backoff.next_pause().as_millis() <= 100);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Creates pauses of `first_ms` at first and `max_ms` at most, in milliseconds.
    #[must_use]
    pub fn new(first_ms: u64, max_ms: u64) -> Self {
        let first_ms = first_ms.max(1);
        Self {
            first_ms,
            max_ms: max_ms.max(1),
            next_ms: first_ms,
        }
    }

    /// Starts again with the first pause.
    pub fn reset(&mut self) {
        self.next_ms = self.first_ms;
    }

    /// Draws the next pause.
    pub fn next_pause(&mut self) -> Duration {
        let longest_ms = self.next_ms.min(self.max_ms);
        self.next_ms = longest_ms.saturating_mul(2);
        Duration::from_millis(fastrand::u64(longest_ms / 2..=longest_ms))
    }
}
