//! Hand-over of buckets to the node that should own them.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::key_value::{KeyValue, Swap, SwapOutcome};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::Bucket;
use crate::shared::Shared;
use crate::slots::Grant;
use crate::wire;

/// A hand-over that a peer offers to this node.
pub(crate) struct IncomingHandOver {
    pub(crate) bucket: Bucket,
    /// Version of the bucket's key under the former owner.
    pub(crate) version: u64,
    /// Grants that the former owner has issued and that have not expired.
    pub(crate) grants: Vec<Grant>,
    /// How long slots that `grants` does not list may still be in use, in
    /// milliseconds.
    pub(crate) closed_for_ms: u64,
    /// Receives the key's version under this node, or `None` if it did not take
    /// over.
    pub(crate) reply: oneshot::Sender<Option<u64>>,
}

/// Hands over every bucket of this node, one after the other.
pub(crate) async fn hand_over_all<K: KeyValue, C: Clock>(
    shared: &Arc<Shared>,
    store: &K,
    clock: &C,
) {
    let buckets: Vec<Bucket> = shared.ownership.lock().held.keys().copied().collect();
    for bucket in buckets {
        hand_over(shared, store, bucket, clock).await;
    }
}

/// Stops acting as the owner of a bucket, then offers it to the node that should
/// own it. If that node does not accept, deletes the bucket's key.
///
/// The bucket stays in the held set, marked as being handed over, until it is
/// certain that this node's key is gone; the next pass tries again.
pub(crate) async fn hand_over<K: KeyValue, C: Clock>(
    shared: &Arc<Shared>,
    store: &K,
    bucket: Bucket,
    clock: &C,
) {
    let Some(version) = begin_hand_over(shared, bucket) else {
        return;
    };
    let accepted = offer_to_successor(shared, bucket, version, clock).await;
    if !accepted && !delete_key(shared, store, bucket, version).await {
        return;
    }
    shared.ownership.lock().held.remove(&bucket);
    shared.grant_table().remove_bucket(bucket);
}

/// Marks a bucket as being handed over, which revokes this node's right to act
/// for it; returns the version of its key.
fn begin_hand_over(shared: &Shared, bucket: Bucket) -> Option<u64> {
    let mut state = shared.ownership.lock();
    let held = state.held.get_mut(&bucket)?;
    held.handing_over = true;
    Some(held.version)
}

/// Returns whether the node that should own the bucket took it over.
async fn offer_to_successor<C: Clock>(
    shared: &Shared,
    bucket: Bucket,
    version: u64,
    clock: &C,
) -> bool {
    let Some((id, address)) = successor(shared, bucket) else {
        return false;
    };
    let request = hand_over_request(shared, bucket, version, clock.now());
    match shared.clients.hand_over(&address, request).await {
        Ok(reply) if reply.taken => {
            shared
                .ownership
                .merge_owner(bucket, Some(id), reply.version);
            true
        }
        Ok(_) | Err(_) => false,
    }
}

/// Returns the id and address of the node that should own the bucket, if that is
/// another node.
fn successor(shared: &Shared, bucket: Bucket) -> Option<(crate::member::NodeId, String)> {
    let members = shared.members();
    let id = members.desired_owner(bucket.hash())?;
    let member = members.get(id).filter(|_| id != shared.own_id)?;
    Some((id, member.identity.address.clone()))
}

fn hand_over_request(
    shared: &Shared,
    bucket: Bucket,
    version: u64,
    now: Now,
) -> wire::HandOverRequest {
    let grant_table = shared.grant_table();
    let grants = grant_table.export(bucket, now);
    wire::HandOverRequest {
        bucket: bucket.wire_id(),
        version,
        grants: grants.iter().map(|grant| grant.to_wire(now)).collect(),
        closed_for_ms: grant_table.closed_for_ms(bucket, now),
    }
}

/// Deletes the bucket's key unless another node has replaced it; returns whether
/// this node's version is certainly gone.
async fn delete_key<K: KeyValue>(shared: &Shared, store: &K, bucket: Bucket, version: u64) -> bool {
    let store_timeout = Duration::from_millis(shared.settings.store_timeout_ms);
    let swap = Swap::delete(bucket.key(), version);
    match timeout(store_timeout, store.swap(swap)).await {
        Ok(Ok(SwapOutcome::Written(revision))) => {
            shared.ownership.merge_owner(bucket, None, revision);
            true
        }
        Ok(Ok(SwapOutcome::Conflict(_))) => true,
        Ok(Err(_)) | Err(_) => false,
    }
}
