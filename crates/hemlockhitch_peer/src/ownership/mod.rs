//! Ownership of buckets: at most one node at a time may act for an endpoint or a
//! ledger shard.

mod bucket;
mod hand_over;
mod lease;
mod reconciler;

pub use bucket::{Bucket, BucketKind};
pub(crate) use hand_over::{IncomingHandOver, hand_over_all};
pub(crate) use lease::keep_lease_alive;
pub(crate) use reconciler::BucketReconciler;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_ledger::shard::{ShardDirectory, ShardId, ShardOwner};
use hemlockhitch_model::{EndpointName, NodeName, Now};
use hemlockhitch_ports::key_value::LeaseId;

use crate::member::{Member, MemberTable, NodeId};
use crate::wire;

/// How many digests gossip the owner of a bucket after a change.
const GOSSIP_REPEATS: u8 = 12;

/// Who owns a bucket, as far as this node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    Local {
        /// The version of the bucket's key in the key-value service.
        fencing_token: u64,
    },
    /// Another node.
    Remote {
        /// Node name of the owner.
        node: NodeName,
        /// Address on which the owner serves peers, `ip:port`.
        address: String,
    },
    /// No owner is known.
    Unknown,
}

/// This node's view of the owner of each bucket. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Ownership {
    own_id: NodeId,
    endpoint_buckets: u16,
    members: Arc<Mutex<MemberTable>>,
    state: Arc<Mutex<OwnershipState>>,
}

#[derive(Debug, Default)]
pub(crate) struct OwnershipState {
    /// The lease of this node, or `None` before the first grant and after expiry.
    pub(crate) lease: Option<HeldLease>,
    /// The buckets whose key this node wrote, also while it hands them over.
    pub(crate) held: HashMap<Bucket, HeldBucket>,
    known: HashMap<Bucket, KnownOwner>,
}

/// The lease that this node's buckets are attached to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    pub(crate) id: LeaseId,
    /// When the node stops relying on the lease, on the monotonic clock; earlier
    /// than its expiry in the store.
    pub(crate) valid_until_mono_ms: u64,
}

/// A bucket that this node holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldBucket {
    /// Version of the bucket's key, which is the fencing token.
    pub(crate) version: u64,
    /// Whether the node has stopped acting as the owner in order to hand the bucket
    /// over.
    pub(crate) handing_over: bool,
    /// Since when another node should own the bucket, on the monotonic clock.
    /// `None` while this node should own it.
    pub(crate) misplaced_since_mono_ms: Option<u64>,
}

/// The latest owner of a bucket that this node has heard of.
#[derive(Clone, Copy, Debug)]
struct KnownOwner {
    /// `None` if the bucket's key was deleted or the recorded owner denied owning
    /// the bucket.
    node: Option<NodeId>,
    /// Version of the bucket's key; a higher version replaces a lower one.
    version: u64,
    /// In how many more digests the owner is included.
    pending_sends: u8,
}

impl Ownership {
    pub(crate) fn new(
        own_id: NodeId,
        endpoint_buckets: u16,
        members: Arc<Mutex<MemberTable>>,
    ) -> Self {
        Self {
            own_id,
            endpoint_buckets,
            members,
            state: Arc::default(),
        }
    }

    /// Returns the bucket of an endpoint.
    #[must_use]
    pub fn endpoint_bucket(&self, endpoint: &EndpointName) -> Bucket {
        Bucket::of_endpoint(endpoint, self.endpoint_buckets)
    }

    /// Returns the fencing token with which this node may act for `bucket` at `now`,
    /// or `None` if it may not.
    ///
    /// The result is valid at `now` only, since the lease may expire: check again
    /// before every action.
    #[must_use]
    pub fn fencing_token(&self, bucket: Bucket, now: Now) -> Option<u64> {
        let state = self.lock();
        let lease = state.lease?;
        let held = state.held.get(&bucket)?;
        let valid = now.mono_ms < lease.valid_until_mono_ms && !held.handing_over;
        valid.then_some(held.version)
    }

    /// Returns the owner of `bucket`, as far as this node knows.
    #[must_use]
    pub fn owner(&self, bucket: Bucket, now: Now) -> Owner {
        if let Some(fencing_token) = self.fencing_token(bucket, now) {
            return Owner::Local { fencing_token };
        }
        let known = self.lock().known.get(&bucket).copied();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let is_other = |node: &NodeId| *node != self.own_id;
        let is_live = |node: &NodeId| members.get(*node).is_some_and(Member::is_live);
        // Gossip about a new owner may not have arrived yet. The node that should
        // own the bucket either owns it or knows the owner.
        let owner = known
            .and_then(|known| known.node)
            .filter(is_other)
            .filter(is_live)
            .or_else(|| members.desired_owner(bucket.hash()))
            .filter(is_other)
            .and_then(|node| members.get(node));
        match owner {
            Some(member) => Owner::Remote {
                node: member.identity.name.clone(),
                address: member.identity.address.clone(),
            },
            None => Owner::Unknown,
        }
    }

    /// Returns the owner of a ledger shard.
    #[must_use]
    pub fn shard_owner(&self, shard: ShardId, now: Now) -> ShardOwner {
        match self.owner(Bucket::of_shard(shard), now) {
            Owner::Local { .. } => ShardOwner::Local,
            Owner::Remote { node, address } => ShardOwner::Remote { node, address },
            Owner::Unknown => ShardOwner::Unknown,
        }
    }

    /// Returns the buckets that this node may act for at `now`, sorted.
    #[must_use]
    pub fn held(&self, now: Now) -> Vec<Bucket> {
        let buckets: Vec<Bucket> = self.lock().held.keys().copied().collect();
        let mut held: Vec<Bucket> = buckets
            .into_iter()
            .filter(|bucket| self.fencing_token(*bucket, now).is_some())
            .collect();
        held.sort_unstable();
        held
    }

    /// Records the owner of a bucket unless an equal or higher version is known.
    pub(crate) fn merge_owner(&self, bucket: Bucket, node: Option<NodeId>, version: u64) {
        let mut state = self.lock();
        let newer = state
            .known
            .get(&bucket)
            .is_none_or(|known| version > known.version);
        if newer {
            let known = KnownOwner {
                node,
                version,
                pending_sends: GOSSIP_REPEATS,
            };
            state.known.insert(bucket, known);
        }
    }

    /// Records the owner named in a peer's message; unknown buckets are ignored.
    pub(crate) fn merge_wire(&self, message: wire::Owner) {
        let node = (message.node_id != 0).then_some(NodeId(message.node_id));
        if let Some(bucket) = Bucket::from_wire_id(message.bucket) {
            self.merge_owner(bucket, node, message.version);
        }
    }

    /// Handles the reply of a node that was called as the owner of `bucket` but is
    /// not; `hint` is the owner that it knows of.
    ///
    /// If the hint is no newer than the recorded owner, that owner is cleared and the
    /// node that should own the bucket is called next. Owners are gossiped a limited
    /// number of times, so a node may have missed the change.
    pub(crate) fn handle_not_owner(&self, bucket: Bucket, hint: Option<wire::Owner>) {
        let hint_version = hint.map_or(0, |owner| owner.version);
        if let Some(known) = self.lock().known.get_mut(&bucket)
            && hint_version <= known.version
        {
            known.node = None;
            return;
        }
        if let Some(owner) = hint {
            self.merge_wire(owner);
        }
    }

    /// Returns up to `count` owners that still have to be gossiped and counts them
    /// as sent.
    pub(crate) fn sample(&self, count: usize) -> Vec<wire::Owner> {
        let mut state = self.lock();
        state
            .known
            .iter_mut()
            .filter(|(_, known)| known.pending_sends > 0)
            .take(count)
            .map(|(bucket, known)| {
                known.pending_sends -= 1;
                known.to_wire(*bucket)
            })
            .collect()
    }

    /// Returns all recorded owners.
    pub(crate) fn known_owners(&self) -> Vec<wire::Owner> {
        let state = self.lock();
        state
            .known
            .iter()
            .map(|(bucket, known)| known.to_wire(*bucket))
            .collect()
    }

    /// Returns the recorded owner of `bucket`.
    pub(crate) fn known_owner(&self, bucket: Bucket) -> Option<wire::Owner> {
        let state = self.lock();
        state.known.get(&bucket).map(|known| known.to_wire(bucket))
    }

    /// Returns whether the recorded owner of `bucket` is another node that is alive.
    pub(crate) fn is_owned_elsewhere(&self, bucket: Bucket) -> bool {
        let known = self.lock().known.get(&bucket).copied();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        known
            .and_then(|known| known.node)
            .filter(|node| *node != self.own_id)
            .and_then(|node| members.get(node))
            .is_some_and(Member::is_live)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, OwnershipState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ShardDirectory for Ownership {
    fn owner(&self, shard: ShardId, now: Now) -> ShardOwner {
        self.shard_owner(shard, now)
    }
}

impl KnownOwner {
    fn to_wire(self, bucket: Bucket) -> wire::Owner {
        wire::Owner {
            bucket: bucket.wire_id(),
            node_id: self.node.map_or(0, |node| node.0),
            version: self.version,
        }
    }
}
