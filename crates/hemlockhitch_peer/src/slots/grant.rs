//! Grants of slots.

use hemlockhitch_model::EndpointName;

use crate::member::NodeId;

/// Slots that a node holds at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The node that holds them.
    pub node: NodeId,
    /// Drawn by the node, so that a repeated request counts once.
    pub grant_id: u64,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// How many.
    pub slots: u32,
    /// When the grant ends by itself, on the monotonic clock of whoever keeps it.
    pub expires_mono_ms: u64,
    /// Whether the node took them from its fixed share, without an owner.
    pub share: bool,
}

/// The owner's answer to a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantAnswer {
    /// The slots are granted.
    Granted {
        /// How many.
        slots: u32,
        /// Whether the owner takes the endpoint for warm.
        warm: bool,
    },
    /// The endpoint bears no more.
    Full,
    /// The owner does not know yet what the former owner granted.
    Closed,
}
