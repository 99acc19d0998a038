//! Exit codes of the process.

use std::process::ExitCode;

/// Result of the process, returned as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// 0: the command succeeded, or there was nothing to change.
    Success,
    /// 1: the node refused the request, or the same rows were changed concurrently.
    Refused,
    /// 2: the command line, the sheet or another input file is invalid.
    Usage,
    /// 3: the node is unreachable, or its response was lost.
    Unreachable,
    /// 4: the change is written, but not in force on every node yet.
    NotAccepted,
}

impl Exit {
    /// Returns the numeric exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::NotAccepted => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
