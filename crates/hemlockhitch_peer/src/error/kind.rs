//! Kinds of failure between peers.

use std::fmt;

/// What kind of failure it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerErrorKind {
    /// The settings contradict each other.
    Settings,
    /// The address to listen on cannot be had.
    Listen,
    /// The peer did not answer; the call may have taken effect.
    Unreachable,
    /// A message breaks the protocol.
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
