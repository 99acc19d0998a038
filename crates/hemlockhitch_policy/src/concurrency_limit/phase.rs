//! Tracks whether an endpoint is in its cold start.

use hemlockhitch_model::Now;

use super::MIN_SERVED_BEFORE_WARM;

/// Whether an endpoint is cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// In its cold start, or in an unknown state.
    Cold(ColdStart),
    /// Past its cold start.
    Warm,
}

/// Progress of a cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ColdStart {
    /// Monotonic time of the start, in milliseconds; `None` until the first signal
    /// of an unknown endpoint.
    since_ms: Option<u64>,
    /// Requests served successfully since then.
    pub(super) served: u32,
}

impl ColdStart {
    pub(super) fn since(now: Now) -> Self {
        Self {
            since_ms: Some(now.mono_ms),
            served: 0,
        }
    }

    /// Returns whether `cold_start_ms` have passed and the endpoint has served
    /// [`MIN_SERVED_BEFORE_WARM`] requests since the start.
    pub(super) fn is_complete(self, cold_start_ms: u64, now: Now) -> bool {
        let elapsed = self
            .since_ms
            .is_some_and(|since| now.mono_ms >= since + cold_start_ms);
        elapsed && self.served >= MIN_SERVED_BEFORE_WARM
    }
}

impl Phase {
    /// Returns the phase of an endpoint without any signal: cold, with the timer
    /// not started.
    pub(super) fn unknown() -> Self {
        Self::Cold(ColdStart {
            since_ms: None,
            served: 0,
        })
    }

    /// Starts the cold-start timer at the first signal of an unknown endpoint.
    pub(super) fn start_timer(&mut self, now: Now) {
        if let Self::Cold(cold) = self {
            cold.since_ms.get_or_insert(now.mono_ms);
        }
    }

    pub(super) fn is_cold(self) -> bool {
        matches!(self, Self::Cold(_))
    }
}
