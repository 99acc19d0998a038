//! How recent a node's knowledge of the configuration is.

use hemlockhitch_model::Now;

/// The last moment as of which the store confirmed what the node knows.
///
/// The moment is that at which the confirming call was sent, so that a slow
/// answer never makes old knowledge look new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_mono_ms: Option<u64>,
}

impl Freshness {
    /// Takes in that a call sent at `sent` was answered.
    pub fn confirm(&mut self, sent: Now) {
        self.confirmed_mono_ms = self.confirmed_mono_ms.max(Some(sent.mono_ms));
    }

    /// Returns the age in milliseconds; `None` before the first confirmation.
    #[must_use]
    pub fn age_ms(&self, now: Now) -> Option<u64> {
        let confirmed_mono_ms = self.confirmed_mono_ms?;
        Some(now.mono_ms.saturating_sub(confirmed_mono_ms))
    }

    /// Returns whether the knowledge is at most `limit_ms` old.
    #[must_use]
    pub fn holds(&self, limit_ms: u64, now: Now) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms <= limit_ms)
    }
}
