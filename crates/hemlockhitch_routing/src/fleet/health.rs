//! Whether an endpoint can be relied on, by what its answers show.

use hemlockhitch_model::Now;

/// Weight of the newest sign in the share of failures.
const NEWEST_WEIGHT: f64 = 0.25;

/// Share of failures from which an endpoint is left alone: above the share that a
/// sound service shows, below that of one which fails half of its requests.
const FAILING_RATIO: f64 = 0.4;

/// First time for which a failing endpoint is left alone, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// Longest such time, in milliseconds: an endpoint that crashed is back after
/// some seconds.
const PAUSE_MOST_MS: u64 = 4_000;

/// What one try says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered well.
    Good,
    /// It failed the request or broke the answer.
    Bad,
    /// It could not be reached, or stayed silent.
    Unreachable,
}

/// The health of one endpoint as one node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failing_ratio: f64,
    pauses: u32,
    paused_until_mono_ms: u64,
}

impl Health {
    /// Takes in a sign; returns whether the endpoint is left alone from now on.
    pub fn note(&mut self, sign: Sign, now: Now) -> bool {
        let newest = if sign == Sign::Good { 0.0 } else { 1.0 };
        self.failing_ratio += (newest - self.failing_ratio) * NEWEST_WEIGHT;
        if sign == Sign::Good {
            if self.failing_ratio < FAILING_RATIO / 2.0 {
                self.pauses = 0;
            }
            return false;
        }
        if self.is_paused(now) {
            return false;
        }
        let pause = sign == Sign::Unreachable || self.failing_ratio >= FAILING_RATIO;
        if pause {
            let factor = 1_u64 << self.pauses.min(4);
            let pause_ms = (PAUSE_MS * factor).min(PAUSE_MOST_MS);
            self.paused_until_mono_ms = now.mono_ms + pause_ms;
            self.pauses += 1;
        }
        pause
    }

    /// Returns whether the endpoint is left alone.
    #[must_use]
    pub fn is_paused(&self, now: Now) -> bool {
        now.mono_ms < self.paused_until_mono_ms
    }

    /// Returns whether the endpoint was left alone and has not proved itself since.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        self.pauses > 0
    }

    /// Returns the share of failures among the latest tries.
    #[must_use]
    pub fn failing_ratio(&self) -> f64 {
        self.failing_ratio
    }
}
