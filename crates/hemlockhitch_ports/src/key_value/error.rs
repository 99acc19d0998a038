//! Errors of the key-value service client.

use thiserror::Error;

/// Why a key-value request failed, and whether a write may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyValueErrorKind {
    /// The service is unavailable; the request had no effect.
    Unavailable,
    /// A write may have taken effect; read the key before retrying.
    Unknown,
    /// The lease has expired; grant a new one.
    LeaseLapsed,
    /// The value exceeds the maximum size; split it.
    TooLarge,
    /// The response does not follow the protocol, or the service did not understand
    /// the request.
    Protocol,
}

/// Error returned when a key-value request fails.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("key-value service: {detail}")]
pub struct KeyValueError {
    kind: KeyValueErrorKind,
    detail: String,
}

impl KeyValueError {
    /// Creates an error; `detail` states the cause and the remedy.
    #[must_use]
    pub fn new(kind: KeyValueErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns the cause of the failure and the remedy.
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
