//! Errors of the ledger.

use thiserror::Error;

/// The kinds of failure of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerErrorKind {
    /// The store does not answer; retry later.
    Unavailable,
    /// The buffer for a store outage is full; retry later.
    Full,
    /// A stored record cannot be read.
    Corrupt,
}

/// A failure of the ledger.
#[derive(Clone, Debug, Error)]
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

    /// Returns the kind of the failure.
    #[must_use]
    pub fn kind(&self) -> LedgerErrorKind {
        self.kind
    }
}
