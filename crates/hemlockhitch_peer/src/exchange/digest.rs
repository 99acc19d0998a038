//! Builds and applies digests.

use hemlockhitch_model::Now;
use prost::Message;

use crate::error::{PeerError, PeerErrorKind};
use crate::member::{Identity, NodeId, Status};
use crate::notice::Notice;
use crate::shared::Shared;
use crate::wire;

/// Maximum size of a digest that a node sends, in bytes.
const MAX_DIGEST_BYTES: usize = 600;

/// Maximum encoded size of a member's entry in a digest, in bytes.
const MAX_ENTRY_BYTES: usize = 40;

/// Maximum number of owners in a digest that a node sends.
const MAX_OWNERS_PER_DIGEST: usize = 4;

/// Maximum number of notices in a digest that a node sends.
const MAX_NOTICES_PER_DIGEST: usize = 1;

/// Maximum number of entries of each kind in a received digest.
const MAX_ENTRIES: usize = 64;

/// Data that this node has to fetch after a digest.
#[derive(Debug)]
pub(crate) struct FollowUp {
    /// Sender of the digest.
    pub(crate) sender: NodeId,
    /// Address of the sender.
    pub(crate) address: String,
    /// Configuration generation that the sender has in force.
    pub(crate) generation: u64,
    /// Members whose identity is unknown to this node.
    pub(crate) unknown: Vec<NodeId>,
}

/// Builds a digest for a peer.
pub(crate) fn compose(shared: &Shared, peer: NodeId, now: Now) -> wire::Digest {
    let mut digest = wire::Digest {
        sender: Some(shared.own_wire()),
        entries: Vec::new(),
        owners: shared.ownership.sample(MAX_OWNERS_PER_DIGEST),
        notices: shared.notices.sample(MAX_NOTICES_PER_DIGEST, now),
    };
    let remaining_bytes = MAX_DIGEST_BYTES.saturating_sub(digest.encoded_len());
    let entries = shared
        .members()
        .sample(peer, remaining_bytes / MAX_ENTRY_BYTES);
    digest.entries = entries
        .into_iter()
        .map(|(id, status)| status.to_wire(id))
        .collect();
    digest
}

/// Checks that a received digest does not have too many entries.
pub(crate) fn check(digest: &wire::Digest) -> Result<(), PeerError> {
    let counts = [
        digest.entries.len(),
        digest.owners.len(),
        digest.notices.len(),
    ];
    if counts.iter().any(|count| *count > MAX_ENTRIES) {
        return Err(PeerError::new(
            PeerErrorKind::TooLarge,
            format!("a digest may have at most {MAX_ENTRIES} entries of each kind"),
        ));
    }
    Ok(())
}

/// Applies a digest. A digest that violates the protocol changes nothing.
pub(crate) fn apply(
    shared: &Shared,
    digest: wire::Digest,
    now: Now,
) -> Result<FollowUp, PeerError> {
    let sender = digest
        .sender
        .ok_or_else(|| bad_message("digest has no sender"))?;
    let identity = Identity::from_wire(&sender)?;
    let entry = sender
        .entry
        .ok_or_else(|| bad_message("sender has no status"))?;
    let status = Status::from_wire(&entry)?;
    let updates = digest
        .entries
        .iter()
        .map(|entry| Ok((NodeId(entry.node_id), Status::from_wire(entry)?)))
        .collect::<Result<Vec<_>, PeerError>>()?;
    let notices = digest
        .notices
        .into_iter()
        .map(Notice::from_wire)
        .collect::<Result<Vec<_>, PeerError>>()?;
    for owner in digest.owners {
        shared.ownership.merge_wire(owner);
    }
    for notice in notices {
        shared.notices.merge(notice, now);
    }
    let follow_up = FollowUp {
        sender: NodeId::of(&identity.name),
        address: identity.address.clone(),
        generation: status.generation,
        unknown: merge(shared, identity, status, updates, now),
    };
    Ok(follow_up)
}

/// Merges the sender and the updates; returns the members whose identity is unknown.
fn merge(
    shared: &Shared,
    sender: Identity,
    status: Status,
    updates: Vec<(NodeId, Status)>,
    now: Now,
) -> Vec<NodeId> {
    let mut members = shared.members();
    members.merge_member(sender, Some(status), now);
    updates
        .into_iter()
        .filter(|(id, status)| !members.merge(*id, *status, now))
        .map(|(id, _)| id)
        .collect()
}

fn bad_message(detail: &str) -> PeerError {
    PeerError::new(PeerErrorKind::BadMessage, detail)
}
