//! Admitted requests of a node that wait for a slot of their service.
//!
//! A slot that this node releases is known to be free before any other node can know it.
//! The waiting request that comes first in order gets it.

use std::collections::BTreeMap;

use hemlockhitch_model::Now;

use super::Standing;

/// Weight of the latest request in the moving average of how long slots are held.
const EWMA_WEIGHT: f64 = 0.2;

/// Longest wait of an organisation's request within its share, in milliseconds. A node of
/// a small fleet releases a slot more often than that.
const MAX_WAIT_MS: u64 = 400;

/// The same for an organisation that is limited: it is refused soon instead.
const MAX_LIMITED_WAIT_MS: u64 = 250;

/// Position of a waiting request: by standing, priority, due time and arrival.
pub type WaitKey = (Standing, u8, u64, u64);

/// The waiting requests of one service; `T` is what is called when a slot is free.
#[derive(Debug)]
pub struct SlotWaiters<T> {
    waiting: BTreeMap<WaitKey, T>,
    arrivals: u64,
    held_ms: f64,
}

impl<T> Default for SlotWaiters<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            arrivals: 0,
            held_ms: 0.0,
        }
    }
}

impl<T> SlotWaiters<T> {
    /// Records how long a request held its slot, in milliseconds.
    pub fn record_held(&mut self, held_ms: u64) {
        #[allow(clippy::cast_precision_loss)]
        let sample = held_ms as f64;
        self.held_ms += (sample - self.held_ms) * EWMA_WEIGHT;
    }

    /// Returns how long a request may wait that has `remaining_ms` milliseconds until its
    /// latency objective, in milliseconds; `None` if it would be late.
    #[must_use]
    pub fn max_wait_ms(&self, standing: Standing, remaining_ms: u64) -> Option<u64> {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let left_ms = remaining_ms.checked_sub(self.held_ms as u64)?;
        let max_ms = match standing {
            Standing::WithinShare => MAX_WAIT_MS,
            Standing::Limited => MAX_LIMITED_WAIT_MS,
        };
        (left_ms > 0).then_some(left_ms.min(max_ms))
    }

    /// Adds a request that is due in `remaining_ms` milliseconds.
    pub fn join(
        &mut self,
        standing: Standing,
        priority: u8,
        remaining_ms: u64,
        waiter: T,
        now: Now,
    ) -> WaitKey {
        self.arrivals += 1;
        let due_mono_ms = now.mono_ms + remaining_ms;
        let key = (standing, priority, due_mono_ms, self.arrivals);
        self.waiting.insert(key, waiter);
        key
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, key: WaitKey) {
        self.waiting.remove(&key);
    }

    /// Removes and returns the request that gets a free slot. A node that has its part of
    /// the slots leaves the slot to other nodes, unless a request waits whose organisation
    /// is within its share.
    pub fn pop_first(&mut self, has_own_part: bool) -> Option<T> {
        let first = self.waiting.first_entry()?;
        let (standing, ..) = *first.key();
        (standing == Standing::WithinShare || !has_own_part).then(|| first.remove())
    }
}
