//! Errors of the command line.

mod kind;

pub use kind::CtlErrorKind;

use std::io;

use thiserror::Error;

use crate::exit::Exit;

/// Failure of a command. The message says what to do about it.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{message}")]
pub struct CtlError {
    kind: CtlErrorKind,
    message: String,
}

impl CtlError {
    /// Creates an error; `message` should say what to do about it.
    #[must_use]
    pub fn new(kind: CtlErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// Returns the kind of the error.
    #[must_use]
    pub fn kind(&self) -> CtlErrorKind {
        self.kind
    }

    /// Returns the exit code for this kind of error.
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
        let message =
            format!("cannot write the output: {error}; check the destination of standard output");
        Self::new(CtlErrorKind::BadInput, message)
    }
}
