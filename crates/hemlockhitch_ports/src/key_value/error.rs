//! Errors of the key-value service.

use thiserror::Error;

/// The kinds of failure of the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyValueErrorKind {
    /// The request certainly had no effect.
    Unavailable,
    /// A write may have taken effect; read back before another try.
    Unknown,
    /// The lease has lapsed; grant a new one.
    LeaseLapsed,
    /// The value is larger than the service holds; split it.
    TooLarge,
    /// The service answered something that the client does not understand.
    Protocol,
}

/// A failure of the key-value service.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("key-value service: {detail}")]
pub struct KeyValueError {
    kind: KeyValueErrorKind,
    detail: String,
}

impl KeyValueError {
    /// Creates an error of `kind` whose message names the remedy.
    #[must_use]
    pub fn new(kind: KeyValueErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns what went wrong and the remedy.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the kind of the failure.
    #[must_use]
    pub fn kind(&self) -> KeyValueErrorKind {
        self.kind
    }
}
