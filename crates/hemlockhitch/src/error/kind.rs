//! Kinds of node errors.

/// Reason why a node or gateway failed to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeErrorKind {
    /// A listener could not be bound.
    Listen,
    /// The peer protocol could not be started.
    Peers,
}
