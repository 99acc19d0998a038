//! A limit on the bytes that a node sends for one purpose.

use hemlockhitch_model::Now;

/// Length of the window in which bytes are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Bytes sent in the current window. It is made for a fleet that restarts: many nodes
/// ask one for the whole content of the store, and none would get it in time.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    bytes_per_s: u64,
    window_start_mono_ms: u64,
    sent_bytes: u64,
}

impl ByteBudget {
    /// Creates a budget.
    #[must_use]
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s,
            window_start_mono_ms: 0,
            sent_bytes: 0,
        }
    }

    /// Takes bytes from the budget; returns whether they fit. A single message larger
    /// than the budget fits into an unused window.
    pub fn take(&mut self, bytes: u64, now: Now) -> bool {
        if now.mono_ms >= self.window_start_mono_ms + WINDOW_MS {
            self.window_start_mono_ms = now.mono_ms;
            self.sent_bytes = 0;
        }
        let fits = self.sent_bytes == 0 || self.sent_bytes + bytes <= self.bytes_per_s;
        if fits {
            self.sent_bytes += bytes;
        }
        fits
    }
}
