//! Explicit hand-over of buckets.

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

/// A bucket that a peer hands over to this node.
pub(crate) struct Take {
    pub(crate) bucket: Bucket,
    /// The version of the key under the former owner.
    pub(crate) version: u64,
    /// The slots that the former owner has granted.
    pub(crate) grants: Vec<Grant>,
    /// For how long slots may be in use that are not among them.
    pub(crate) closed_for_ms: u64,
    /// Told the version under this node, or `None` when it did not take over.
    pub(crate) answer: oneshot::Sender<Option<u64>>,
}

/// Hands every bucket over.
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

/// Stops acting for a bucket, then gives it to the node that should own it, or
/// frees it when that node does not take it.
pub(crate) async fn hand_over<K: KeyValue, C: Clock>(
    shared: &Arc<Shared>,
    store: &K,
    bucket: Bucket,
    clock: &C,
) {
    let Some(version) = stop_acting(shared, bucket) else {
        return;
    };
    let handed = offer(shared, bucket, version, clock).await;
    if !handed && !free(shared, store, bucket, version).await {
        return;
    }
    shared.ownership.lock().held.remove(&bucket);
    shared.book().forget(bucket);
}

fn stop_acting(shared: &Shared, bucket: Bucket) -> Option<u64> {
    let mut state = shared.ownership.lock();
    let held = state.held.get_mut(&bucket)?;
    held.leaving = true;
    Some(held.version)
}

async fn offer<C: Clock>(shared: &Shared, bucket: Bucket, version: u64, clock: &C) -> bool {
    let Some((id, address)) = heir(shared, bucket) else {
        return false;
    };
    let request = hand_over_request(shared, bucket, version, clock.now());
    match shared.clients.hand_over(&address, request).await {
        Ok(reply) if reply.taken => {
            shared.ownership.learn(bucket, Some(id), reply.version);
            true
        }
        Ok(_) | Err(_) => false,
    }
}

fn heir(shared: &Shared, bucket: Bucket) -> Option<(crate::member::NodeId, String)> {
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
    let book = shared.book();
    let grants = book.export(bucket, now);
    wire::HandOverRequest {
        bucket: bucket.code(),
        version,
        grants: grants.iter().map(|grant| grant.to_wire(now)).collect(),
        closed_for_ms: book.closed_for_ms(bucket, now),
    }
}

/// Deletes the key unless another node has it already; returns whether it is
/// certain that this node's version is gone.
async fn free<K: KeyValue>(shared: &Shared, store: &K, bucket: Bucket, version: u64) -> bool {
    let bound = Duration::from_millis(shared.settings.store_timeout_ms);
    let swap = Swap::delete(bucket.key(), version);
    match timeout(bound, store.swap(swap)).await {
        Ok(Ok(SwapOutcome::Written(revision))) => {
            shared.ownership.learn(bucket, None, revision);
            true
        }
        Ok(Ok(SwapOutcome::Conflict(_))) => true,
        Ok(Err(_)) | Err(_) => false,
    }
}
