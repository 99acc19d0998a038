//! The rule by which a peer counts as stalled.
//!
//! Made for peers that send or read a byte now and then, so that no idle timeout ends them,
//! and hold memory and slots meanwhile.

use hemlockhitch_model::Now;

/// Bytes that a peer must send or read in [`STALL_WAIT_MS`] of waiting for it. A slow
/// mobile link carries more in four seconds. A caller's system on the same machine states
/// what was read in steps of 64 KB, so callers there must read 2.2 KB a second.
pub const MIN_PROGRESS_BYTES: u64 = 16 * 1_024;

/// Wait for a peer, in milliseconds, within which it must make progress.
pub const STALL_WAIT_MS: u64 = 30_000;

/// How much a peer did while it was waited for. Only time in which the node has something
/// to write to the peer, or waits for something from it, counts.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    max_wait_ms: u64,
    waited_ms: u64,
    bytes: u64,
    waiting_since_mono_ms: Option<u64>,
}

impl Default for Progress {
    fn default() -> Self {
        Self::new(STALL_WAIT_MS)
    }
}

impl Progress {
    /// Creates the record of a peer that must make progress within `max_wait_ms`.
    #[must_use]
    pub fn new(max_wait_ms: u64) -> Self {
        Self {
            max_wait_ms,
            waited_ms: 0,
            bytes: 0,
            waiting_since_mono_ms: None,
        }
    }

    /// Returns whether the node waits for the peer, or has waited since its last progress.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.waited_ms > 0 || self.waiting_since_mono_ms.is_some()
    }

    /// Records that the node waits for the peer.
    pub fn wait(&mut self, now: Now) {
        self.waiting_since_mono_ms.get_or_insert(now.mono_ms);
    }

    /// Records that the peer sent or read bytes, so that the node waits no longer.
    pub fn advance(&mut self, bytes: u64, now: Now) {
        self.waited_ms = self.waited(now);
        self.waiting_since_mono_ms = None;
        self.bytes += bytes;
        if self.bytes >= MIN_PROGRESS_BYTES {
            self.complete();
        }
    }

    /// Records that the peer completed something that counts as progress whatever its size,
    /// such as an event.
    pub fn complete(&mut self) {
        *self = Self::new(self.max_wait_ms);
    }

    /// Returns how much longer the node waits for the peer, in milliseconds; 0 if the peer
    /// is stalled.
    #[must_use]
    pub fn remaining_ms(&self, now: Now) -> u64 {
        self.max_wait_ms.saturating_sub(self.waited(now))
    }

    fn waited(&self, now: Now) -> u64 {
        let since = self.waiting_since_mono_ms.unwrap_or(now.mono_ms);
        self.waited_ms + now.mono_ms.saturating_sub(since)
    }
}
