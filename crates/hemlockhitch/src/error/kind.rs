//! Kinds of failure of a node.

/// Why a node could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeErrorKind {
    /// An address cannot be listened on.
    Listen,
    /// The protocol between nodes could not start.
    Peers,
}
