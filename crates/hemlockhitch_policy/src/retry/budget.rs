//! The budget of retries.

/// Retries that each request pays for.
const EARNED_PER_REQUEST: f64 = 0.1;

/// Retries that a node may do before it has seen a request.
const RESERVE: f64 = 3.0;

/// The most retries that are saved up.
const MAX_SAVED: f64 = 20.0;

/// Keeps retries to a tenth of the requests.
///
/// After n requests at most n / 10 + 3 retries were allowed, and at most 20 at
/// once after a quiet time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget with a small reserve.
    #[must_use]
    pub fn new() -> Self {
        Self { saved: RESERVE }
    }

    /// Counts a request that is sent for the first time.
    pub fn count_request(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Takes a retry; returns whether the budget had one.
    #[must_use]
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
