//! How long a node sends nothing to an endpoint that asked for a pause.
//!
//! It is made for an endpoint that was full: all nodes that it turned away would
//! otherwise return at the same moment and fill it again.

use hemlockhitch_model::mix;

/// Range over which nodes return after the requested time, as a part of that time.
const STAGGER_DIVISOR: u64 = 2;

/// Longest delay of a node's return after the requested time, in milliseconds.
const MAX_STAGGER_MS: u64 = 1_000;

/// A pause that an endpoint asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestedPause {
    /// A time in milliseconds.
    Ms(u64),
    /// A value that states no time, such as a negative number.
    Unreadable,
}

/// Settings of a node's pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseSettings {
    /// Hash of this node's name.
    pub node_hash: u64,
    /// Longest time that an endpoint may ask for, in milliseconds.
    pub max_pause_ms: u64,
}

impl PauseSettings {
    /// Returns how long this node sends nothing to an endpoint, in milliseconds. It is
    /// never shorter than what the endpoint asked for, up to the longest allowed time.
    ///
    /// ```
    /// use hemlockhitch_routing::limits::{PauseSettings, RequestedPause};
    ///
    /// let settings = PauseSettings { node_hash: 1, max_pause_ms: 60_000 };
    /// assert!(settings.pause_ms(RequestedPause::Ms(400), 7) >= 400);
    /// assert_eq!(settings.pause_ms(RequestedPause::Unreadable, 7), 0);
    /// ```
    #[must_use]
    pub fn pause_ms(self, requested: RequestedPause, endpoint_hash: u64) -> u64 {
        let RequestedPause::Ms(requested_ms) = requested else {
            return 0;
        };
        let pause_ms = requested_ms.min(self.max_pause_ms);
        let stagger_ms = (pause_ms / STAGGER_DIVISOR).min(MAX_STAGGER_MS);
        pause_ms + mix(self.node_hash, endpoint_hash) % (stagger_ms + 1)
    }

    /// Returns whether a request for a pause is not honoured as it was made.
    #[must_use]
    pub fn is_invalid(self, requested: RequestedPause) -> bool {
        match requested {
            RequestedPause::Ms(requested_ms) => requested_ms > self.max_pause_ms,
            RequestedPause::Unreadable => true,
        }
    }
}
