//! Errors of the command line.

mod kind;

pub use kind::CtlErrorKind;

use std::io;

use thiserror::Error;

use crate::exit::Exit;

/// A failure of a command; its message names the remedy.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{message}")]
pub struct CtlError {
    kind: CtlErrorKind,
    message: String,
}

impl CtlError {
    /// Creates an error of `kind` whose message names the remedy.
    #[must_use]
    pub fn new(kind: CtlErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// Returns the kind of the failure.
    #[must_use]
    pub fn kind(&self) -> CtlErrorKind {
        self.kind
    }

    /// Returns the exit code that fits the failure.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self.kind {
            CtlErrorKind::Usage | CtlErrorKind::BadInput => Exit::Usage,
            CtlErrorKind::Refused | CtlErrorKind::Conflict => Exit::Refused,
            CtlErrorKind::Unreachable | CtlErrorKind::OutcomeUnknown => Exit::Unreachable,
            CtlErrorKind::NotAccepted => Exit::NotAccepted,
        }
    }

    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::new(CtlErrorKind::Usage, message)
    }

    pub(crate) fn bad_input(message: impl Into<String>) -> Self {
        Self::new(CtlErrorKind::BadInput, message)
    }

    pub(crate) fn refused(message: impl Into<String>) -> Self {
        Self::new(CtlErrorKind::Refused, message)
    }
}

impl From<io::Error> for CtlError {
    fn from(error: io::Error) -> Self {
        let message = format!("output cannot be written: {error}; check where it goes");
        Self::new(CtlErrorKind::BadInput, message)
    }
}
