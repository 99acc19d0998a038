//! Messages of the key-value service.

use serde::{Deserialize, Serialize};

/// One stored entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, as text; at most one megabyte.
    pub value: String,
    /// The revision of the service at which the entry was last written. It
    /// grows over all keys and so serves as a fencing number.
    pub version: u64,
}

/// Some entries under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// The entries in order of key.
    pub entries: Vec<Entry>,
    /// The revision at which the listing was read.
    pub revision: u64,
    /// Whether more entries follow the last one.
    pub more: bool,
}

/// What a compare-and-swap expects of a key before it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key was last written at this version.
    Version(u64),
    /// Any state.
    Any,
}

/// Identifies a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// One compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Swap {
    /// The key to write.
    pub key: String,
    /// What must hold before the write.
    pub expected: Expected,
    /// The new value, or `None` to delete the key.
    pub value: Option<String>,
    /// The lease that the key is attached to; the key goes when it lapses.
    pub lease: Option<LeaseId>,
}

impl Swap {
    /// Writes a key that must not exist yet.
    #[must_use]
    pub fn create(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            expected: Expected::Absent,
            value: Some(value.into()),
            lease: None,
        }
    }

    /// Replaces a key that was last written at `version`.
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

/// The answer to a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapOutcome {
    /// The write took effect at this version.
    Written(u64),
    /// The expectation did not hold; the present entry is given, if any.
    Conflict(Option<Entry>),
}

/// The changes that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WatchBatch {
    /// Entries written, latest state of each, in order of version.
    pub written: Vec<Entry>,
    /// Keys deleted or lapsed.
    pub deleted: Vec<String>,
    /// Whether `written` holds every entry under the prefix, because the
    /// service no longer knows each change; any other key under it is gone.
    pub complete: bool,
    /// The revision to watch from next.
    pub revision: u64,
}
