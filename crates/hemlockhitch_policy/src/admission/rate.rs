//! The rate limit of one organisation on one node.

use hemlockhitch_model::Now;

/// How many seconds' worth of requests may come at once.
const BURST_S: f64 = 2.0;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimit {
    tokens: f64,
    filled_ms: u64,
}

/// A node's part of a limit, in requests a second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    pub(super) per_s: f64,
}

impl Rate {
    /// Divides a limit evenly over the live nodes.
    pub(super) fn part_of(limit_per_s: u32, live_nodes: u32) -> Self {
        Self {
            per_s: f64::from(limit_per_s) / f64::from(live_nodes.max(1)),
        }
    }

    /// Returns the largest burst: at least one request, so that a small limit
    /// over many nodes lets requests through.
    fn burst(self) -> f64 {
        if self.per_s == 0.0 {
            return 0.0;
        }
        (self.per_s * BURST_S).max(1.0)
    }
}

impl RateLimit {
    /// Creates a full bucket.
    pub(super) fn full(rate: Rate, now: Now) -> Self {
        Self {
            tokens: rate.burst(),
            filled_ms: now.mono_ms,
        }
    }

    /// Returns whether a request may run; does not take its token.
    pub(super) fn allows(&mut self, rate: Rate, now: Now) -> bool {
        let elapsed_ms = now.mono_ms.saturating_sub(self.filled_ms);
        self.filled_ms = now.mono_ms;
        #[allow(clippy::cast_precision_loss)]
        let filled = elapsed_ms as f64 * rate.per_s / MS_PER_S;
        self.tokens = (self.tokens + filled).min(rate.burst());
        self.tokens >= 1.0
    }

    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
