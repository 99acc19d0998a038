//! Error types of the ledger.

use hemlockhitch_ports::key_value::{KeyValueError, KeyValueErrorKind};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Classifies a [`LedgerError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerErrorKind {
    /// The store or the shard's owner is unreachable or did not respond in time;
    /// retry later.
    Unavailable,
    /// A queue or buffer is full, or the shard is at its claim limit; retry
    /// later.
    Full,
    /// A record or message cannot be encoded or decoded.
    Corrupt,
    /// The attempt does not hold the claim, or was released; claim with a new
    /// attempt.
    NotHolder,
    /// The record exceeds the size limit of a stored value; shorten it.
    TooLarge,
    /// A different record has this id, or the given job state is not final.
    Mismatch,
    /// The node's lease has expired; request a new one.
    LeaseLapsed,
    /// The record is known, but its details are past their retention.
    Expired,
    /// The configured shard count differs from that of the stored ledger.
    Layout,
}

impl LedgerErrorKind {
    /// Returns whether retrying the same call may succeed.
    #[must_use]
    pub fn is_transient(self) -> bool {
        matches!(self, Self::Unavailable | Self::Full)
    }
}

/// An error of the ledger, with a kind and a message.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("ledger: {detail}")]
pub struct LedgerError {
    kind: LedgerErrorKind,
    detail: String,
}

impl LedgerError {
    /// Creates an error of `kind`; `detail` says what failed and what to do.
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

    /// Returns the kind of the error.
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
