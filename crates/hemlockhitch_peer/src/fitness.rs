//! Decides whether a node may accept new requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hemlockhitch_model::Now;

/// Whether a node may accept new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fitness {
    /// The node accepts new requests.
    Serving,
    /// The node refuses new requests for as long as `reason` applies.
    SelfStopped {
        /// Why the node refuses them.
        reason: StopReason,
    },
}

/// Why a node accepts no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// No configuration has been loaded yet.
    NoConfiguration,
    /// The node has had no contact with the store or a peer for longer than
    /// `self_stop_ms`.
    Isolated,
    /// The node is draining.
    Draining,
}

/// Times of the last contact with a peer and with the store; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastContact {
    times: Arc<ContactTimes>,
}

#[derive(Debug, Default)]
struct ContactTimes {
    peer_mono_ms: AtomicU64,
    configuration_store_mono_ms: AtomicU64,
}

impl LastContact {
    /// Records that a peer answered a call that was sent at `now`.
    pub(crate) fn record_peer_contact(&self, now: Now) {
        self.times
            .peer_mono_ms
            .fetch_max(now.mono_ms, Ordering::SeqCst);
    }

    /// Records that the store returned the configuration as of `now`.
    pub(crate) fn record_store_contact(&self, now: Now) {
        self.times
            .configuration_store_mono_ms
            .fetch_max(now.mono_ms, Ordering::SeqCst);
    }

    /// Returns the time since the last contact with a peer, in milliseconds.
    pub(crate) fn peer_silence_ms(&self, now: Now) -> u64 {
        let contact_mono_ms = self.times.peer_mono_ms.load(Ordering::SeqCst);
        now.mono_ms.saturating_sub(contact_mono_ms)
    }

    /// Returns the time since the last contact with a peer or the store, in
    /// milliseconds.
    pub(crate) fn silence_ms(&self, now: Now) -> u64 {
        let contact_mono_ms = self
            .times
            .configuration_store_mono_ms
            .load(Ordering::SeqCst);
        let store_silence_ms = now.mono_ms.saturating_sub(contact_mono_ms);
        store_silence_ms.min(self.peer_silence_ms(now))
    }
}
