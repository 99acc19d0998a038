//! Whether an endpoint is in cold start.

use hemlockhitch_model::Now;

use super::WARM_AFTER_SERVED;

/// The phase of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// In cold start, or not known.
    Cold(Cold),
    /// Warm.
    Warm,
}

/// A cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Cold {
    since_ms: Option<u64>,
    pub(super) served: u32,
}

impl Cold {
    pub(super) fn since(now: Now) -> Self {
        Self {
            since_ms: Some(now.mono_ms),
            served: 0,
        }
    }

    /// Returns whether a cold start of `cold_start_ms` is over and the endpoint
    /// has served since.
    pub(super) fn is_over(self, cold_start_ms: u64, now: Now) -> bool {
        let elapsed = self
            .since_ms
            .is_some_and(|since| now.mono_ms >= since + cold_start_ms);
        elapsed && self.served >= WARM_AFTER_SERVED
    }
}

impl Phase {
    /// Returns the phase of an endpoint of which nothing is known.
    pub(super) fn unknown() -> Self {
        Self::Cold(Cold {
            since_ms: None,
            served: 0,
        })
    }

    /// Starts the clock of an unknown endpoint at its first sign.
    pub(super) fn begin(&mut self, now: Now) {
        if let Self::Cold(cold) = self {
            cold.since_ms.get_or_insert(now.mono_ms);
        }
    }

    pub(super) fn is_cold(self) -> bool {
        matches!(self, Self::Cold(_))
    }
}
