//! Requests of a node that wait for one of its slots at brittle endpoints.
//!
//! It is made for small parts of few slots, which a handful of requests that arrive
//! together exceed although the endpoints have room a moment later.

/// Weight of the latest request in the moving average of how long slots are held.
const EWMA_WEIGHT: f64 = 0.2;

/// The queue of one node for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotQueue {
    waiting: u32,
    held_ms: Option<f64>,
}

impl SlotQueue {
    /// Records how long a request held its slot, in milliseconds.
    pub fn record_held(&mut self, held_ms: u64) {
        let sample = as_f64(held_ms);
        let mean = self.held_ms.unwrap_or(sample);
        self.held_ms = Some(mean + (sample - mean) * EWMA_WEIGHT);
    }

    /// Returns how long requests hold their slots on average, in milliseconds; `None` before
    /// the first one ended.
    #[must_use]
    pub fn mean_held_ms(&self) -> Option<f64> {
        self.held_ms
    }

    /// Adds a request that has `remaining_ms` milliseconds until its latency objective, if
    /// it will probably get one of the node's `slots` and end by then. Returns how long it
    /// may wait, in milliseconds; `None` if it is to be refused.
    pub fn join(&mut self, slots: u32, remaining_ms: u64) -> Option<u64> {
        let held_ms = self.held_ms?;
        if slots == 0 {
            return None;
        }
        // All slots may have been taken at the same time.
        let expected_wait_ms = held_ms * f64::from((self.waiting + 1).div_ceil(slots));
        let max_wait_ms = as_f64(remaining_ms) - held_ms;
        if expected_wait_ms > max_wait_ms {
            return None;
        }
        self.waiting += 1;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Some(max_wait_ms as u64)
    }

    /// Removes a request that got a slot or waits no longer.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns whether a request waits, so that those which arrive later wait as well.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.waiting > 0
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
