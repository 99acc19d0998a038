//! Requests and results of the key-value service.

use hemlockhitch_model::StorePosition;
use serde::{Deserialize, Serialize};

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, as text of at most 1 MiB.
    pub value: String,
    /// Revision of the store at which the entry was last written. Revisions increase
    /// over all keys, so a version can serve as a fencing token.
    pub version: u64,
}

/// One page of the entries under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// The entries, in key order.
    pub entries: Vec<Entry>,
    /// Revision of the store when the listing was read.
    pub revision: u64,
    /// Whether further entries follow the last one.
    pub more: bool,
}

/// The current state of a key that a compare-and-swap requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key was last written at this version.
    Version(u64),
    /// Any state; the write is unconditional.
    Any,
}

/// ID of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A compare-and-swap of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Swap {
    /// The key to write.
    pub key: String,
    /// The state that the key must be in for the write to take effect.
    pub expected: Expected,
    /// The new value, or `None` to delete the key.
    pub value: Option<String>,
    /// The lease to attach the key to; the key is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

impl Swap {
    /// Creates a key that must not exist yet.
    #[must_use]
    pub fn create(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            expected: Expected::Absent,
            value: Some(value.into()),
            lease: None,
        }
    }

    /// Replaces the value of a key that was last written at `version`.
    #[must_use]
    pub fn replace(key: impl Into<String>, version: u64, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            expected: Expected::Version(version),
            value: Some(value.into()),
            lease: None,
        }
    }

    /// Deletes a key that was last written at `version`.
    #[must_use]
    pub fn delete(key: impl Into<String>, version: u64) -> Self {
        Self {
            key: key.into(),
            expected: Expected::Version(version),
            value: None,
            lease: None,
        }
    }

    /// Attaches the key to a lease.
    #[must_use]
    pub fn lease(mut self, lease: LeaseId) -> Self {
        self.lease = Some(lease);
        self
    }
}

/// The outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapOutcome {
    /// The write or deletion took effect; holds the revision of the store after it.
    Written(u64),
    /// The key is not in the expected state; holds its current entry, if it exists.
    Conflict(Option<Entry>),
}

/// The changes that a watch returns.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WatchBatch {
    /// Entries that were written, in their latest state, in order of version.
    pub written: Vec<Entry>,
    /// Keys that were deleted, also by the end of a lease.
    pub deleted: Vec<String>,
    /// Whether `written` holds every entry under the prefix, because the service no
    /// longer retains every change; all other keys under the prefix do not exist.
    pub complete: bool,
    /// The revision to continue the watch from.
    pub revision: u64,
    /// Epoch of the service in which it answered; 0 for a service without epochs.
    #[serde(default)]
    pub epoch: u64,
}

impl WatchBatch {
    /// Returns the position in the service's history to continue the watch from.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        StorePosition {
            epoch: self.epoch,
            revision: self.revision,
        }
    }
}

/// Ties a write to an epoch of the service.
///
/// A marker key names the epoch. A write that the service carries out late, after it
/// has returned from a copy, finds the marker removed and has no effect, even where its
/// expected version was given out again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EpochFence {
    /// Key of the epoch's marker.
    pub marker: String,
    /// Version of the marker; `None` if it does not exist yet and the write creates it.
    pub version: Option<u64>,
    /// Markers of earlier epochs, which the write removes.
    pub outdated_markers: Vec<String>,
}
