//! Counts of calls to a platform service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Counters of the calls to one service; clones share the counters.
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

/// What a call does, as far as the service's rate limits are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The call changes nothing.
    Read,
    /// The call may change something.
    Write,
    /// The call waits for a change; it counts once however long it waits.
    Watch,
}

impl CallKind {
    /// Returns the name of the kind in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

/// The number of calls of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StoreCallCounts {
    /// Calls that change nothing.
    pub reads: u64,
    /// Calls that may change something.
    pub writes: u64,
    /// Calls that wait for a change.
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

    /// Reads the counters.
    #[must_use]
    pub fn counts(&self) -> StoreCallCounts {
        StoreCallCounts {
            reads: self.counters.reads.load(Ordering::Relaxed),
            writes: self.counters.writes.load(Ordering::Relaxed),
            watches: self.counters.watches.load(Ordering::Relaxed),
        }
    }
}
