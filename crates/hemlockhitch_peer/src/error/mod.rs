//! Errors of the peer protocol.

mod kind;

pub use kind::PeerErrorKind;

use thiserror::Error;

/// An error of the peer protocol.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{kind}: {detail}")]
pub struct PeerError {
    kind: PeerErrorKind,
    detail: String,
}

impl PeerError {
    /// Creates an error of `kind`.
    #[must_use]
    pub fn new(kind: PeerErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// Returns the kind of the error.
    #[must_use]
    pub fn kind(&self) -> PeerErrorKind {
        self.kind
    }
}

impl From<tonic::Status> for PeerError {
    fn from(status: tonic::Status) -> Self {
        let kind = match status.code() {
            tonic::Code::InvalidArgument => PeerErrorKind::BadMessage,
            tonic::Code::OutOfRange | tonic::Code::ResourceExhausted => PeerErrorKind::TooLarge,
            _ => PeerErrorKind::Unreachable,
        };
        Self::new(kind, status.message())
    }
}

impl From<PeerError> for tonic::Status {
    fn from(error: PeerError) -> Self {
        let message = error.to_string();
        match error.kind {
            PeerErrorKind::BadMessage => Self::invalid_argument(message),
            PeerErrorKind::TooLarge => Self::out_of_range(message),
            PeerErrorKind::Settings => Self::failed_precondition(message),
            PeerErrorKind::Listen | PeerErrorKind::Unreachable | PeerErrorKind::Stopped => {
                Self::unavailable(message)
            }
        }
    }
}
