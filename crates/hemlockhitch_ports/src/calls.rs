//! Counters of the calls to a platform service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Counters of the calls to one service, by kind; shared by the clones.
#[derive(Clone, Debug, Default)]
pub struct StoreCalls {
    counters: Arc<Counters>,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// Kind of a call, as distinguished by the rate limits of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The call does not modify data.
    Read,
    /// The call may modify data.
    Write,
    /// The call waits for a change; it counts once, however long it waits.
    Watch,
}

impl CallKind {
    /// Returns the name of the kind, as used in metric labels.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

/// Snapshot of the counters of a [`StoreCalls`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StoreCallCounts {
    /// Number of calls that do not modify data.
    pub reads: u64,
    /// Number of calls that may modify data.
    pub writes: u64,
    /// Number of calls that wait for a change.
    pub watches: u64,
}

impl StoreCalls {
    /// Counts one call.
    pub fn count(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.counters.reads,
            CallKind::Write => &self.counters.writes,
            CallKind::Watch => &self.counters.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current values of the counters.
    #[must_use]
    pub fn counts(&self) -> StoreCallCounts {
        StoreCallCounts {
            reads: self.counters.reads.load(Ordering::Relaxed),
            writes: self.counters.writes.load(Ordering::Relaxed),
            watches: self.counters.watches.load(Ordering::Relaxed),
        }
    }
}
