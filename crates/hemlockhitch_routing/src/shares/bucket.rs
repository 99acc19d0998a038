//! The part of a limited organisation's share that one node admits.

use hemlockhitch_model::Now;

use super::rate::as_f64;

/// Tokens that the bucket holds at any rate: the thresholds of all ranks and one more.
const MIN_BURST: f64 = 4.0;

/// Tokens that the bucket holds in addition, in seconds of its rate.
const BURST_S: f64 = 0.25;

const MS_PER_S: f64 = 1_000.0;

/// Shortest and longest Retry-After, in milliseconds. Beyond a few seconds the share has
/// probably changed.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (100.0, 8_000.0);

/// Width of the jitter of Retry-After, as a ratio of the wait: small, so that the order of
/// arrival is mostly kept.
const JITTER_RATIO: f64 = 0.1;

/// Order of a request within its organisation; a lower one is admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// No request of the organisation is more urgent.
    MostUrgent,
    /// More urgent requests of the organisation arrive as well.
    LessUrgent,
    /// The request was refused and returned before its time.
    EarlyRepeat,
}

impl Rank {
    /// Returns the tokens that must be present. A rank takes a token only if the ranks
    /// before it leave some.
    fn threshold(self) -> f64 {
        match self {
            Self::MostUrgent => 1.0,
            Self::LessUrgent => 2.0,
            Self::EarlyRepeat => 3.0,
        }
    }
}

/// A token bucket that also assigns the times of return of refused requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShareBucket {
    tokens: f64,
    refilled_mono_ms: u64,
    /// Monotonic time of the last assigned return, in milliseconds.
    last_return_mono_ms: f64,
}

impl ShareBucket {
    /// Creates a bucket with one token, so that no organisation begins with a burst.
    pub(super) fn new(now: Now) -> Self {
        Self {
            tokens: 1.0,
            refilled_mono_ms: now.mono_ms,
            last_return_mono_ms: 0.0,
        }
    }

    /// Takes a token if there are enough for the rank.
    pub(super) fn take(&mut self, rank: Rank, rate_per_s: f64, now: Now) -> bool {
        let elapsed_ms = as_f64(now.mono_ms.saturating_sub(self.refilled_mono_ms));
        self.refilled_mono_ms = now.mono_ms;
        let burst = MIN_BURST + rate_per_s * BURST_S;
        self.tokens = (self.tokens + elapsed_ms * rate_per_s / MS_PER_S).min(burst);
        let may_take = self.tokens >= rank.threshold();
        if may_take {
            self.tokens -= 1.0;
        }
        may_take
    }

    /// Returns the time after which a refused request is to return, in milliseconds. Each
    /// refused request gets a time of its own, one token after the one before it; from the
    /// longest time on, they are spread over its upper half. `draw` is from 0 to 1.
    pub(super) fn retry_after_ms(&mut self, rate_per_s: f64, draw: f64, now: Now) -> u64 {
        let (min_ms, max_ms) = RETRY_AFTER_BOUNDS_MS;
        let interval_ms = MS_PER_S / rate_per_s.max(MS_PER_S / max_ms);
        let now_ms = as_f64(now.mono_ms);
        self.last_return_mono_ms =
            (self.last_return_mono_ms.max(now_ms) + interval_ms).min(now_ms + max_ms);
        let wait_ms = self.last_return_mono_ms - now_ms;
        let wait_ms = if wait_ms >= max_ms {
            max_ms * (0.5 + draw / 2.0)
        } else {
            wait_ms * (1.0 + JITTER_RATIO * draw)
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_ms = wait_ms.clamp(min_ms, max_ms) as u64;
        wait_ms
    }
}
