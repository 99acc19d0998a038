//! Error kinds of the command line.

/// Classifies a [`CtlError`](super::CtlError); determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CtlErrorKind {
    /// The command line is invalid; see `--help`.
    Usage,
    /// An input file or a name is invalid, or the output cannot be written.
    BadInput,
    /// The node refused the request; nothing was changed.
    Refused,
    /// The same rows were changed concurrently; nothing was changed. Run the
    /// command again.
    Conflict,
    /// The node is unreachable; nothing was changed. Try another node.
    Unreachable,
    /// The change may have been written; check the history.
    OutcomeUnknown,
    /// The change is written, but not confirmed by every node.
    NotAccepted,
}
