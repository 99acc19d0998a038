//! Errors of model engines.

use thiserror::Error;

/// The kinds of failure of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineErrorKind {
    /// No connection was made: the request certainly did not run.
    Unreachable,
    /// The engine refused the request before it ran: full or cold.
    Refused,
    /// The engine says that the request itself is at fault.
    BadRequest,
    /// The engine answered that it failed: the request may have run.
    Failed,
    /// The connection broke after the request was sent: it may have run.
    Broken,
    /// The answer ended before its last chunk.
    Truncated,
    /// No chunk came within the time allowed.
    TimedOut,
    /// The engine answered something that the client does not understand.
    Protocol,
}

/// A failure of an engine.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("engine {address}: {detail}")]
pub struct EngineError {
    kind: EngineErrorKind,
    address: String,
    detail: String,
}

impl EngineError {
    /// Creates an error of `kind` whose message names the remedy.
    #[must_use]
    pub fn new(
        kind: EngineErrorKind,
        address: impl Into<String>,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            address: address.into(),
            detail: detail.into(),
        }
    }

    /// Returns the kind of the failure.
    #[must_use]
    pub fn kind(&self) -> EngineErrorKind {
        self.kind
    }

    /// Returns whether the request certainly did not run.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(
            self.kind,
            EngineErrorKind::Unreachable | EngineErrorKind::Refused | EngineErrorKind::BadRequest
        )
    }
}
