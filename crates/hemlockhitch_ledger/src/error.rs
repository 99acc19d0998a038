//! Errors of the ledger.

use hemlockhitch_ports::key_value::{KeyValueError, KeyValueErrorKind};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The kinds of failure of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerErrorKind {
    /// The store does not answer; retry later.
    Unavailable,
    /// The buffer for a store outage is full; retry later.
    Full,
    /// A stored record cannot be read.
    Corrupt,
    /// The attempt does not hold the claim or is spent; claim with a new attempt.
    NotHolder,
    /// The record is larger than the store holds; shorten it.
    TooLarge,
    /// Another record has this id; draw a new one.
    Mismatch,
    /// The lease of the node has lapsed; grant a new one.
    LeaseLapsed,
    /// The record is known, but its details are no longer kept.
    Expired,
    /// The settings do not fit the stored ledger; set its shard count.
    Layout,
}

impl LedgerErrorKind {
    /// Returns whether the same call may succeed later without a change.
    #[must_use]
    pub fn is_transient(self) -> bool {
        matches!(self, Self::Unavailable | Self::Full)
    }
}

/// A failure of the ledger.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("ledger: {detail}")]
pub struct LedgerError {
    kind: LedgerErrorKind,
    detail: String,
}

impl LedgerError {
    /// Creates an error of `kind` whose message names the remedy.
    #[must_use]
    pub fn new(kind: LedgerErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns what failed and what to do.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the kind of the failure.
    #[must_use]
    pub fn kind(&self) -> LedgerErrorKind {
        self.kind
    }
}

impl From<KeyValueError> for LedgerError {
    fn from(error: KeyValueError) -> Self {
        let kind = match error.kind() {
            KeyValueErrorKind::LeaseLapsed => LedgerErrorKind::LeaseLapsed,
            KeyValueErrorKind::TooLarge => LedgerErrorKind::TooLarge,
            _ => LedgerErrorKind::Unavailable,
        };
        Self::new(kind, format!("{error}; retry later"))
    }
}
