//! Counters of dropped chunks.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of chunks that a client has dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedChunks {
    /// Chunks with the ID of another request.
    pub mismatched: u64,
    /// Chunks that start before the next expected token.
    pub duplicate: u64,
}

/// Counters shared by the clones of a client.
#[derive(Debug, Default)]
pub(super) struct DroppedChunkCounters {
    mismatched: AtomicU64,
    duplicate: AtomicU64,
}

impl DroppedChunkCounters {
    pub(super) fn count_mismatched(&self) {
        self.mismatched.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_duplicate(&self) {
        self.duplicate.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn snapshot(&self) -> DroppedChunks {
        DroppedChunks {
            mismatched: self.mismatched.load(Ordering::Relaxed),
            duplicate: self.duplicate.load(Ordering::Relaxed),
        }
    }
}
