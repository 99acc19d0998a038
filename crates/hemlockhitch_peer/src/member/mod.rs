//! Members of the fleet and what this node knows of each.

mod codec;
mod in_force;
mod row;
mod selection;
mod table;

pub use in_force::InForce;
pub(crate) use table::MemberTable;

use hemlockhitch_model::{DataCentreName, NodeName};

use crate::hash::hash_text;

/// Identifies a node in messages: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub(crate) u64);

impl NodeId {
    /// Returns the identifier of the node with this name.
    #[must_use]
    pub fn of(name: &NodeName) -> Self {
        Self(hash_text(name.as_str()))
    }

    /// Returns the number that stands for the node in messages.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// How far a node is in its life; later states come later in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It loads its configuration.
    Joining,
    /// It serves.
    Serving,
    /// It finishes its work and hands over what it owns.
    Draining,
    /// It has stopped.
    Gone,
}

/// Whether a node answers its peers; worse states come later in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// It answers.
    Alive,
    /// A peer could not reach it.
    Suspect,
    /// Nobody refuted the suspicion in time.
    Dead,
}

/// What names and places a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its name.
    pub name: NodeName,
    /// The address that peers call, `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentreName,
}

/// The part of an entry that changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Grows when the node starts again or refutes a suspicion.
    pub incarnation: u64,
    /// Grows with each exchange interval of the node.
    pub heartbeat: u64,
    /// How far it is in its life.
    pub state: MemberState,
    /// Whether it answers its peers.
    pub health: Health,
    /// The generation of the configuration that it has in force.
    pub generation: u64,
}

/// What this node knows of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What names and places the node.
    pub identity: Identity,
    /// Its last known status, or `None` while only the VM list names it.
    pub status: Option<Status>,
    /// Whether the VM list names it.
    pub listed: bool,
    /// Whether the VM list says that its VM leaves.
    pub leaving: bool,
}

impl Member {
    /// Returns the identifier of the node in messages.
    #[must_use]
    pub fn id(&self) -> NodeId {
        NodeId::of(&self.identity.name)
    }

    /// Returns whether the node answers its peers and has not stopped.
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

    /// Returns whether no peer suspects the node.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.status
            .is_some_and(|status| status.health == Health::Alive)
    }
}
