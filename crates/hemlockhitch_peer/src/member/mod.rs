//! Membership: the nodes of the fleet and their last known status.

mod codec;
mod in_force;
mod row;
mod selection;
mod table;

pub use in_force::InForce;
pub(crate) use table::MemberTable;

use hemlockhitch_model::{DataCentreName, NodeName};

use crate::hash::hash_text;

/// Identifies a node in messages by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub(crate) u64);

impl NodeId {
    /// Returns the identifier of the node with this name.
    #[must_use]
    pub fn of(name: &NodeName) -> Self {
        Self(hash_text(name.as_str()))
    }

    /// Returns the identifier as it is sent in messages.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Lifecycle state of a node. Later states are greater in the order; a merge keeps
/// the greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The node is starting and loads its configuration.
    Joining,
    /// The node is serving.
    Serving,
    /// The node finishes its requests and hands over its buckets.
    Draining,
    /// The node has left.
    Gone,
}

/// Reachability of a node. Worse states are greater in the order; a merge keeps the
/// greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// The node answers its peers.
    Alive,
    /// A peer could not reach the node.
    Suspect,
    /// The suspicion was not refuted in time.
    Dead,
}

/// Name, address and location of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Node name.
    pub name: NodeName,
    /// Address on which the node serves peers, `ip:port`.
    pub address: String,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
}

/// The part of a member that changes and is gossiped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Increases when the node restarts or refutes a suspicion.
    pub incarnation: u64,
    /// Increases in each exchange interval of the node.
    pub heartbeat: u64,
    /// Lifecycle state.
    pub state: MemberState,
    /// Reachability.
    pub health: Health,
    /// Configuration generation that the node has in force.
    pub generation: u64,
}

/// A member as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, address and location of the node.
    pub identity: Identity,
    /// Last known status, or `None` while the node is known only from the VM list.
    pub status: Option<Status>,
    /// Whether the node is in the VM list.
    pub listed: bool,
    /// Whether the VM list marks the VM as leaving.
    pub leaving: bool,
}

impl Member {
    /// Returns the identifier of the node in messages.
    #[must_use]
    pub fn id(&self) -> NodeId {
        NodeId::of(&self.identity.name)
    }

    /// Returns whether the node is neither dead nor gone.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.status.is_some_and(|status| {
            status.health != Health::Dead && status.state != MemberState::Gone
        })
    }

    /// Returns whether the node may own buckets.
    #[must_use]
    pub fn may_own(&self) -> bool {
        let serves = self
            .status
            .is_some_and(|status| status.state == MemberState::Serving);
        serves && self.is_live() && !self.leaving
    }

    /// Returns whether the node is neither suspected nor dead.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.status
            .is_some_and(|status| status.health == Health::Alive)
    }
}
