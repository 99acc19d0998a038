//! Grants of slots.

use hemlockhitch_model::EndpointName;

use crate::member::NodeId;

/// Slots of one endpoint that are granted to a node under one id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The node that holds the slots.
    pub node: NodeId,
    /// Random id chosen by the requesting node, which makes a retried request
    /// idempotent.
    pub grant_id: u64,
    /// The endpoint that the slots belong to.
    pub endpoint: EndpointName,
    /// Number of slots.
    pub slots: u32,
    /// When the grant expires unless renewed, on the monotonic clock of the node
    /// that stores this value.
    pub expires_mono_ms: u64,
    /// Whether the node took the slots from its fixed share, without the owner.
    pub share: bool,
}

/// The owner's answer to a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantAnswer {
    /// The slots are granted.
    Granted {
        /// Number of slots granted.
        slots: u32,
        /// Whether the owner considers the endpoint warm.
        warm: bool,
    },
    /// The endpoint is at its concurrency limit.
    Full,
    /// The owner does not yet know all grants of the former owner.
    Closed,
}
