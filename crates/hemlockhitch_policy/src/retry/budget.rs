//! A token bucket that bounds the ratio of retries to requests.

/// Tokens that each request adds; a retry costs one token.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Tokens of a new budget, so that a node can retry its first requests.
const INITIAL_TOKENS: f64 = 3.0;

/// Capacity of the bucket, in tokens.
const MAX_TOKENS: f64 = 20.0;

/// Limits retries to a tenth of the requests.
///
/// After n requests, at most n / 10 + 3 retries have been allowed. At most
/// 20 are allowed in a burst without new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget with tokens for three retries.
    #[must_use]
    pub fn new() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes the token for one retry; returns `false` if there is none.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
