//! Whether a node may take new work.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hemlockhitch_model::Now;

/// Whether a node may take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fitness {
    /// It may.
    Serving,
    /// It may not, until it hears from others again.
    SelfStopped {
        /// Why it may not.
        reason: StopReason,
    },
}

/// Why a node takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It has no configuration yet.
    NoConfiguration,
    /// It heard neither the store nor a peer for longer than the bound.
    CutOff,
    /// It is draining.
    Draining,
}

/// When a node last heard from others; clones share the times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contact {
    times: Arc<Times>,
}

#[derive(Debug, Default)]
struct Times {
    peer_ms: AtomicU64,
    configuration_store_ms: AtomicU64,
}

impl Contact {
    /// Records that a peer answered or called.
    pub(crate) fn heard_peer(&self, now: Now) {
        self.times.peer_ms.fetch_max(now.mono_ms, Ordering::SeqCst);
    }

    /// Records that the store told the present configuration, as it was at `now`.
    pub(crate) fn heard_store(&self, now: Now) {
        self.times
            .configuration_store_ms
            .fetch_max(now.mono_ms, Ordering::SeqCst);
    }

    /// Returns for how long no peer was heard, in milliseconds.
    pub(crate) fn peer_silence_ms(&self, now: Now) -> u64 {
        let heard_ms = self.times.peer_ms.load(Ordering::SeqCst);
        now.mono_ms.saturating_sub(heard_ms)
    }

    /// Returns for how long neither a peer nor the store was heard, in
    /// milliseconds.
    pub(crate) fn silence_ms(&self, now: Now) -> u64 {
        let store_ms = self.times.configuration_store_ms.load(Ordering::SeqCst);
        let store_silence_ms = now.mono_ms.saturating_sub(store_ms);
        store_silence_ms.min(self.peer_silence_ms(now))
    }
}
