//! Delays between the attempts of a call.

use std::time::Duration;

/// Exponential backoff with jitter.
///
/// The delay doubles with each attempt up to a maximum and is drawn from its upper
/// half, so that callers that failed at the same time do not retry at the same time.
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
    initial_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Creates a backoff with an initial and a maximum delay, in milliseconds.
    #[must_use]
    pub fn new(initial_ms: u64, max_ms: u64) -> Self {
        let initial_ms = initial_ms.max(1);
        Self {
            initial_ms,
            max_ms: max_ms.max(1),
            next_ms: initial_ms,
        }
    }

    /// Resets the delay to its initial value after a success.
    pub fn reset(&mut self) {
        self.next_ms = self.initial_ms;
    }

    /// Draws the delay before the next attempt.
    pub fn next_pause(&mut self) -> Duration {
        let upper_ms = self.next_ms.min(self.max_ms);
        self.next_ms = upper_ms.saturating_mul(2);
        Duration::from_millis(fastrand::u64(upper_ms / 2..=upper_ms))
    }
}
