//! The kinds of failure of the command line.

/// The kinds of failure of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CtlErrorKind {
    /// The command line is wrong; see `--help`.
    Usage,
    /// A file or name is wrong; correct it.
    BadInput,
    /// The node refused; nothing was changed.
    Refused,
    /// Others changed the same rows first; nothing was changed. Run the command
    /// again.
    Conflict,
    /// The node cannot be reached; nothing was changed. Try another node.
    Unreachable,
    /// The change may have been written; look it up in the history.
    OutcomeUnknown,
    /// The change is written, but some nodes have not confirmed it.
    NotAccepted,
}
