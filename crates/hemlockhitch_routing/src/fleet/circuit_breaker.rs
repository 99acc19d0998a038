//! A circuit breaker for each endpoint, driven by the outcomes of its attempts.

use hemlockhitch_model::Now;

/// Weight of the latest outcome in the moving average of failures.
const EWMA_WEIGHT: f64 = 0.25;

/// Failure ratio at which the circuit breaker opens: above that of a healthy service,
/// below that of an endpoint which fails half of its requests.
const OPEN_FAILURE_RATIO: f64 = 0.4;

/// Time for which the circuit breaker opens at first, in milliseconds.
const INITIAL_OPEN_MS: u64 = 1_000;

/// Longest time for which the circuit breaker opens, in milliseconds: a crashed
/// endpoint is back after a few seconds.
const MAX_OPEN_MS: u64 = 4_000;

/// Outcome of an attempt as far as the circuit breaker is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The endpoint responded correctly.
    Good,
    /// The endpoint failed the request or sent an incomplete or invalid response.
    Bad,
    /// The endpoint could not be reached or did not respond in time.
    Unreachable,
}

/// The circuit breaker of one endpoint, as one node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CircuitBreaker {
    failure_ratio: f64,
    opens_since_recovery: u32,
    open_until_mono_ms: u64,
}

impl CircuitBreaker {
    /// Records an outcome; returns whether it opened the circuit breaker.
    pub fn record(&mut self, sign: Sign, now: Now) -> bool {
        let sample = if sign == Sign::Good { 0.0 } else { 1.0 };
        self.failure_ratio += (sample - self.failure_ratio) * EWMA_WEIGHT;
        if sign == Sign::Good {
            if self.failure_ratio < OPEN_FAILURE_RATIO / 2.0 {
                self.opens_since_recovery = 0;
            }
            return false;
        }
        if self.is_open(now) {
            return false;
        }
        let opens = sign == Sign::Unreachable || self.failure_ratio >= OPEN_FAILURE_RATIO;
        if opens {
            let factor = 1_u64 << self.opens_since_recovery.min(4);
            let open_ms = (INITIAL_OPEN_MS * factor).min(MAX_OPEN_MS);
            self.open_until_mono_ms = now.mono_ms + open_ms;
            self.opens_since_recovery += 1;
        }
        opens
    }

    /// Returns whether the circuit breaker is open. An open one keeps requests away
    /// while other endpoints are available.
    #[must_use]
    pub fn is_open(&self, now: Now) -> bool {
        now.mono_ms < self.open_until_mono_ms
    }

    /// Returns whether the circuit breaker opened and the failure ratio has not dropped
    /// far enough since to close it fully.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.opens_since_recovery > 0
    }

    /// Returns the exponentially weighted failure ratio of the latest attempts.
    #[must_use]
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }
}
