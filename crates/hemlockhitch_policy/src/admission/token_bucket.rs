//! Token bucket for the rate limit of one organisation on one node.

use hemlockhitch_model::Now;

/// Burst size, in seconds of the rate.
const BURST_S: f64 = 2.0;

const MS_PER_S: f64 = 1_000.0;

/// A token bucket; each request takes one token.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
    /// Monotonic time of the last refill, in milliseconds.
    refilled_ms: u64,
}

/// A node's share of a rate limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeRate {
    /// Requests per second.
    pub(super) per_s: f64,
}

impl NodeRate {
    /// Returns one node's share when a limit is divided evenly over the live nodes.
    pub(super) fn share_of(limit_per_s: u32, live_nodes: u32) -> Self {
        Self {
            per_s: f64::from(limit_per_s) / f64::from(live_nodes.max(1)),
        }
    }

    /// Returns the capacity of the bucket, in tokens. It is at least one unless the
    /// rate is zero, so that a small limit divided over many nodes still admits
    /// requests.
    fn burst(self) -> f64 {
        if self.per_s == 0.0 {
            return 0.0;
        }
        (self.per_s * BURST_S).max(1.0)
    }
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn full(rate: NodeRate, now: Now) -> Self {
        Self {
            tokens: rate.burst(),
            refilled_ms: now.mono_ms,
        }
    }

    /// Refills the bucket and returns whether a token is available, without taking
    /// it.
    pub(super) fn refill_and_check(&mut self, rate: NodeRate, now: Now) -> bool {
        let elapsed_ms = now.mono_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now.mono_ms;
        #[allow(clippy::cast_precision_loss)]
        let refilled_tokens = elapsed_ms as f64 * rate.per_s / MS_PER_S;
        self.tokens = (self.tokens + refilled_tokens).min(rate.burst());
        self.tokens >= 1.0
    }

    /// Takes the token of an admitted or queued request.
    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
