//! Conversion of members to and from wire messages.

use super::{Health, Identity, MemberState, NodeId, Status};
use crate::error::{PeerError, PeerErrorKind};
use crate::wire;

/// Maximum length of a name or address in a message, in bytes.
const MAX_TEXT_BYTES: usize = 128;

impl Status {
    pub(crate) fn to_wire(self, id: NodeId) -> wire::MemberEntry {
        wire::MemberEntry {
            node_id: id.0,
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            state: wire::State::from(self.state).into(),
            health: wire::Health::from(self.health).into(),
            generation: self.generation,
        }
    }

    pub(crate) fn from_wire(entry: &wire::MemberEntry) -> Result<Self, PeerError> {
        Ok(Self {
            incarnation: entry.incarnation,
            heartbeat: entry.heartbeat,
            state: state_from_wire(entry.state())?,
            health: health_from_wire(entry.health())?,
            generation: entry.generation,
        })
    }
}

impl Identity {
    pub(crate) fn to_wire(&self, status: Option<Status>) -> wire::Member {
        let id = NodeId::of(&self.name);
        wire::Member {
            name: self.name.to_string(),
            address: self.address.clone(),
            data_centre: self.data_centre.to_string(),
            entry: status.map(|status| status.to_wire(id)),
        }
    }

    pub(crate) fn from_wire(member: &wire::Member) -> Result<Self, PeerError> {
        for text in [&member.name, &member.address, &member.data_centre] {
            if text.is_empty() || text.len() > MAX_TEXT_BYTES {
                return Err(bad_message(format!(
                    "name, address and data centre must have 1 to {MAX_TEXT_BYTES} bytes"
                )));
            }
        }
        Ok(Self {
            name: member.name.as_str().into(),
            address: member.address.clone(),
            data_centre: member.data_centre.as_str().into(),
        })
    }
}

impl From<MemberState> for wire::State {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Joining => Self::Joining,
            MemberState::Serving => Self::Serving,
            MemberState::Draining => Self::Draining,
            MemberState::Gone => Self::Gone,
        }
    }
}

impl From<Health> for wire::Health {
    fn from(health: Health) -> Self {
        match health {
            Health::Alive => Self::Alive,
            Health::Suspect => Self::Suspect,
            Health::Dead => Self::Dead,
        }
    }
}

fn state_from_wire(state: wire::State) -> Result<MemberState, PeerError> {
    match state {
        wire::State::Joining => Ok(MemberState::Joining),
        wire::State::Serving => Ok(MemberState::Serving),
        wire::State::Draining => Ok(MemberState::Draining),
        wire::State::Gone => Ok(MemberState::Gone),
        wire::State::Unspecified => Err(bad_message("member has no state")),
    }
}

fn health_from_wire(health: wire::Health) -> Result<Health, PeerError> {
    match health {
        wire::Health::Alive => Ok(Health::Alive),
        wire::Health::Suspect => Ok(Health::Suspect),
        wire::Health::Dead => Ok(Health::Dead),
        wire::Health::Unspecified => Err(bad_message("member has no health")),
    }
}

fn bad_message(detail: impl Into<String>) -> PeerError {
    PeerError::new(PeerErrorKind::BadMessage, detail)
}
