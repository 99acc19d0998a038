//! The age of a node's copy of the configuration.

use hemlockhitch_model::Now;

/// The last time at which the store confirmed the node's copy.
///
/// It is the time when the confirming call was sent, so that a slow response does not
/// make an old copy look recent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Negative if the copy was confirmed before this process started, since monotonic time
    /// starts at zero.
    confirmed_mono_ms: Option<i64>,
}

impl Freshness {
    /// Records the response to a call that was sent at `sent`; what it held was `age_ms`
    /// milliseconds old.
    pub fn confirm(&mut self, sent: Now, age_ms: u64) {
        let confirmed_mono_ms = to_signed(sent.mono_ms).saturating_sub(to_signed(age_ms));
        self.confirmed_mono_ms = self.confirmed_mono_ms.max(Some(confirmed_mono_ms));
    }

    /// Returns the age of the copy in milliseconds, or `None` before the first
    /// confirmation.
    #[must_use]
    pub fn age_ms(&self, now: Now) -> Option<u64> {
        let confirmed_mono_ms = self.confirmed_mono_ms?;
        let age_ms = to_signed(now.mono_ms).saturating_sub(confirmed_mono_ms);
        Some(u64::try_from(age_ms).unwrap_or_default())
    }

    /// Returns whether the copy is at most `limit_ms` milliseconds old.
    #[must_use]
    pub fn is_fresh(&self, limit_ms: u64, now: Now) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms <= limit_ms)
    }
}

fn to_signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}
