//! The exit codes of the process.

use std::process::ExitCode;

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// 0: done, or nothing to do.
    Success,
    /// 1: refused by the node, or others changed the same rows first.
    Refused,
    /// 2: the command line, the sheet or another file is wrong.
    Usage,
    /// 3: the node cannot be reached, or its answer was lost.
    Unreachable,
    /// 4: the change is written, but not yet in force everywhere.
    NotAccepted,
}

impl Exit {
    /// Returns the number of the code.
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
