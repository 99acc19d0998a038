//! Composition and absorption of digests.

use hemlockhitch_model::Now;
use prost::Message;

use crate::error::{PeerError, PeerErrorKind};
use crate::member::{Identity, NodeId, Status};
use crate::notice::Notice;
use crate::shared::Shared;
use crate::wire;

/// The largest digest that a node sends, in bytes.
const MAX_DIGEST_BYTES: usize = 600;

/// The most bytes that one member's entry takes in a digest.
const ENTRY_BYTES: usize = 40;

/// Owners in one digest.
const OWNERS_PER_DIGEST: usize = 4;

/// Notices in one digest.
const NOTICES_PER_DIGEST: usize = 1;

/// The most entries of each kind that a node takes in one digest.
const MAX_ENTRIES: usize = 64;

/// What a digest asks this node to do.
#[derive(Debug)]
pub(crate) struct Absorbed {
    /// The sender.
    pub(crate) sender: NodeId,
    /// The address of the sender.
    pub(crate) address: String,
    /// The generation that the sender has in force.
    pub(crate) generation: u64,
    /// Members whose address is not known.
    pub(crate) unknown: Vec<NodeId>,
}

/// Composes the digest for one peer.
pub(crate) fn compose(shared: &Shared, peer: NodeId, now: Now) -> wire::Digest {
    let mut digest = wire::Digest {
        sender: Some(shared.own_wire()),
        entries: Vec::new(),
        owners: shared.ownership.sample(OWNERS_PER_DIGEST),
        notices: shared.notices.sample(NOTICES_PER_DIGEST, now),
    };
    let left = MAX_DIGEST_BYTES.saturating_sub(digest.encoded_len());
    let entries = shared.members().sample(peer, left / ENTRY_BYTES);
    digest.entries = entries
        .into_iter()
        .map(|(id, status)| status.to_wire(id))
        .collect();
    digest
}

/// Checks the bounds of a digest.
pub(crate) fn check(digest: &wire::Digest) -> Result<(), PeerError> {
    let counts = [
        digest.entries.len(),
        digest.owners.len(),
        digest.notices.len(),
    ];
    if counts.iter().any(|count| *count > MAX_ENTRIES) {
        return Err(PeerError::new(
            PeerErrorKind::TooLarge,
            format!("a digest holds up to {MAX_ENTRIES} entries of a kind"),
        ));
    }
    Ok(())
}

/// Takes in a digest; a digest that breaks the protocol changes nothing.
pub(crate) fn absorb(
    shared: &Shared,
    digest: wire::Digest,
    now: Now,
) -> Result<Absorbed, PeerError> {
    let sender = digest
        .sender
        .ok_or_else(|| bad_message("digest names no sender"))?;
    let identity = Identity::from_wire(&sender)?;
    let entry = sender
        .entry
        .ok_or_else(|| bad_message("sender gives no status"))?;
    let status = Status::from_wire(&entry)?;
    let news = digest
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
    let absorbed = Absorbed {
        sender: NodeId::of(&identity.name),
        address: identity.address.clone(),
        generation: status.generation,
        unknown: merge(shared, identity, status, news, now),
    };
    Ok(absorbed)
}

/// Takes in members; returns those that are not known by name.
fn merge(
    shared: &Shared,
    sender: Identity,
    status: Status,
    news: Vec<(NodeId, Status)>,
    now: Now,
) -> Vec<NodeId> {
    let mut members = shared.members();
    members.describe(sender, Some(status), now);
    news.into_iter()
        .filter(|(id, status)| !members.merge(*id, *status, now))
        .map(|(id, _)| id)
        .collect()
}

fn bad_message(detail: &str) -> PeerError {
    PeerError::new(PeerErrorKind::BadMessage, detail)
}
