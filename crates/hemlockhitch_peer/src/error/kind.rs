//! Kinds of peer errors.

use std::fmt;

/// The kind of a [`PeerError`](super::PeerError).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerErrorKind {
    /// The settings are inconsistent.
    Settings,
    /// The node cannot listen on its address.
    Listen,
    /// The peer did not answer; the call may have taken effect.
    Unreachable,
    /// A message violates the protocol.
    BadMessage,
    /// A message is larger than the protocol allows.
    TooLarge,
    /// This node has stopped.
    Stopped,
}

impl fmt::Display for PeerErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "settings do not fit together; correct them and start again",
            Self::Listen => "cannot listen; choose an address of this VM that is free",
            Self::Unreachable => "peer does not answer; try another peer",
            Self::BadMessage => "message breaks the protocol; run one release on all nodes",
            Self::TooLarge => "message is too large; send less at once",
            Self::Stopped => "node has stopped; call another node",
        })
    }
}
