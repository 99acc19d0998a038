//! Ownership of buckets: who alone may act for an endpoint or a ledger shard.

mod bucket;
mod hand_over;
mod keeper;
mod lease;

pub use bucket::{Bucket, Space};
pub(crate) use hand_over::{Take, hand_over_all};
pub(crate) use keeper::Keeper;
pub(crate) use lease::keep_lease;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_ledger::shard::{ShardId, ShardOwner, ShardOwners};
use hemlockhitch_model::{EndpointName, NodeName, Now};
use hemlockhitch_ports::key_value::LeaseId;

use crate::member::{Member, MemberTable, NodeId};
use crate::wire;

/// How many messages repeat the owner of a bucket after a change.
const NEWS_REPEATS: u8 = 12;

/// Who owns a bucket, as far as this node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This node, with its fencing number.
    Here {
        /// The version of the bucket's key.
        fencing: u64,
    },
    /// Another node.
    At {
        /// The name of the owner.
        node: NodeName,
        /// The address that peers call, `ip:port`.
        address: String,
    },
    /// Nobody is known to own it.
    Nobody,
}

/// Tells who owns each bucket; clones share what is known.
#[derive(Clone, Debug)]
pub struct Ownership {
    own_id: NodeId,
    endpoint_buckets: u16,
    members: Arc<Mutex<MemberTable>>,
    state: Arc<Mutex<OwnershipState>>,
}

#[derive(Debug, Default)]
pub(crate) struct OwnershipState {
    /// The lease of this node and when it counts as lapsed, on the monotonic
    /// clock.
    pub(crate) lease: Option<HeldLease>,
    /// The buckets of this node.
    pub(crate) held: HashMap<Bucket, Held>,
    known: HashMap<Bucket, Known>,
}

/// The lease that this node's buckets are attached to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldLease {
    pub(crate) id: LeaseId,
    pub(crate) valid_until_ms: u64,
}

/// A bucket that this node holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) version: u64,
    /// Whether the node has stopped acting as owner to hand the bucket over.
    pub(crate) leaving: bool,
    /// Since when another node should own the bucket, on the monotonic clock.
    pub(crate) unwanted_since_ms: Option<u64>,
}

/// What is known of a bucket's owner.
#[derive(Clone, Copy, Debug)]
struct Known {
    node: Option<NodeId>,
    version: u64,
    news: u8,
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

    /// Returns the fencing number under which this node may act for `bucket` at
    /// `now`, or `None` when it may not.
    ///
    /// The answer holds for `now` only: ask again before each act.
    #[must_use]
    pub fn fencing(&self, bucket: Bucket, now: Now) -> Option<u64> {
        let state = self.lock();
        let lease = state.lease?;
        let held = state.held.get(&bucket)?;
        let valid = now.mono_ms < lease.valid_until_ms && !held.leaving;
        valid.then_some(held.version)
    }

    /// Returns the owner of `bucket`.
    #[must_use]
    pub fn owner(&self, bucket: Bucket, now: Now) -> Owner {
        if let Some(fencing) = self.fencing(bucket, now) {
            return Owner::Here { fencing };
        }
        let known = self.lock().known.get(&bucket).copied();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let is_other = |node: &NodeId| *node != self.own_id;
        let is_live = |node: &NodeId| members.get(*node).is_some_and(Member::is_live);
        // News of a new owner may be late: the node that should own the bucket
        // either does or knows who does.
        let owner = known
            .and_then(|known| known.node)
            .filter(is_other)
            .filter(is_live)
            .or_else(|| members.desired_owner(bucket.hash()))
            .filter(is_other)
            .and_then(|node| members.get(node));
        match owner {
            Some(member) => Owner::At {
                node: member.identity.name.clone(),
                address: member.identity.address.clone(),
            },
            None => Owner::Nobody,
        }
    }

    /// Returns the owner of a ledger shard.
    #[must_use]
    pub fn shard_owner(&self, shard: ShardId, now: Now) -> ShardOwner {
        match self.owner(Bucket::of_shard(shard), now) {
            Owner::Here { .. } => ShardOwner::Here,
            Owner::At { node, address } => ShardOwner::At { node, address },
            Owner::Nobody => ShardOwner::Nobody,
        }
    }

    /// Returns the buckets that this node may act for at `now`.
    #[must_use]
    pub fn held(&self, now: Now) -> Vec<Bucket> {
        let buckets: Vec<Bucket> = self.lock().held.keys().copied().collect();
        let mut held: Vec<Bucket> = buckets
            .into_iter()
            .filter(|bucket| self.fencing(*bucket, now).is_some())
            .collect();
        held.sort_unstable();
        held
    }

    /// Takes in who owns a bucket; a higher version replaces a lower one.
    pub(crate) fn learn(&self, bucket: Bucket, node: Option<NodeId>, version: u64) {
        let mut state = self.lock();
        let newer = state
            .known
            .get(&bucket)
            .is_none_or(|known| version > known.version);
        if newer {
            let known = Known {
                node,
                version,
                news: NEWS_REPEATS,
            };
            state.known.insert(bucket, known);
        }
    }

    /// Takes in a peer's message about an owner.
    pub(crate) fn learn_wire(&self, message: wire::Owner) {
        let node = (message.node_id != 0).then_some(NodeId(message.node_id));
        if let Some(bucket) = Bucket::from_code(message.bucket) {
            self.learn(bucket, node, message.version);
        }
    }

    /// Takes in that the node which was taken for the owner is not, and whom it
    /// names. Without newer news the node that should own the bucket is asked next:
    /// news of owners is told a few times only, and a node may have missed it.
    pub(crate) fn disowned(&self, bucket: Bucket, told: Option<wire::Owner>) {
        let told_version = told.map_or(0, |owner| owner.version);
        if let Some(known) = self.lock().known.get_mut(&bucket)
            && told_version <= known.version
        {
            known.node = None;
            return;
        }
        if let Some(owner) = told {
            self.learn_wire(owner);
        }
    }

    /// Chooses up to `count` owners that are still news.
    pub(crate) fn sample(&self, count: usize) -> Vec<wire::Owner> {
        let mut state = self.lock();
        state
            .known
            .iter_mut()
            .filter(|(_, known)| known.news > 0)
            .take(count)
            .map(|(bucket, known)| {
                known.news -= 1;
                known.to_wire(*bucket)
            })
            .collect()
    }

    /// Returns every owner that is known.
    pub(crate) fn known(&self) -> Vec<wire::Owner> {
        let state = self.lock();
        state
            .known
            .iter()
            .map(|(bucket, known)| known.to_wire(*bucket))
            .collect()
    }

    /// Returns what is known of the owner of one bucket.
    pub(crate) fn known_of(&self, bucket: Bucket) -> Option<wire::Owner> {
        let state = self.lock();
        state.known.get(&bucket).map(|known| known.to_wire(bucket))
    }

    /// Returns whether a live node other than this one is known to own `bucket`.
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

impl ShardOwners for Ownership {
    fn owner(&self, shard: ShardId, now: Now) -> ShardOwner {
        self.shard_owner(shard, now)
    }
}

impl Known {
    fn to_wire(self, bucket: Bucket) -> wire::Owner {
        wire::Owner {
            bucket: bucket.code(),
            node_id: self.node.map_or(0, |node| node.0),
            version: self.version,
        }
    }
}
