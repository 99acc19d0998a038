//! Counts of dropped chunks.

use std::sync::atomic::{AtomicU64, Ordering};

/// How many chunks a client dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedChunks {
    /// Chunks that carried another request's id.
    pub foreign: u64,
    /// Chunks that repeated what had been delivered.
    pub late: u64,
}

/// The counts, shared by the clones of a client.
#[derive(Debug, Default)]
pub(super) struct Counters {
    foreign: AtomicU64,
    late: AtomicU64,
}

impl Counters {
    pub(super) fn count_foreign(&self) {
        self.foreign.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_late(&self) {
        self.late.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn read(&self) -> DroppedChunks {
        DroppedChunks {
            foreign: self.foreign.load(Ordering::Relaxed),
            late: self.late.load(Ordering::Relaxed),
        }
    }
}
