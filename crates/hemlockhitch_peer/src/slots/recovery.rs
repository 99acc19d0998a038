//! Recovery of the grants that a former owner has issued.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Grant;
use crate::error::PeerError;
use crate::member::NodeId;
use crate::ownership::Bucket;
use crate::shared::Shared;
use crate::wire;

/// Delay before nodes that did not report their slots are asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Asks every node for its slots in buckets that this node has just acquired, and
/// allows grants in the buckets once all nodes have answered.
///
/// Stops after the TTL of grants: the former owner's grants have expired by then.
pub(crate) async fn recover_grants<C: Clock>(shared: Arc<Shared>, buckets: Vec<Bucket>, clock: C) {
    let deadline_mono_ms = clock.now().mono_ms + shared.settings.grant_ttl_ms;
    let mut answered: HashSet<NodeId> = HashSet::new();
    let bucket_ids: Vec<u32> = buckets.iter().map(|bucket| bucket.wire_id()).collect();
    import_local(&shared, &buckets, clock.now());
    while clock.now().mono_ms < deadline_mono_ms {
        let pending = unanswered(&shared, &answered);
        if pending.is_empty() {
            open_buckets(&shared, &buckets);
            return;
        }
        let mut replies = request_holdings(&shared, &bucket_ids, pending);
        while let Some(result) = replies.join_next().await {
            if let Ok((id, Ok(reply))) = result {
                import_reply(&shared, reply.grants, clock.now());
                answered.insert(id);
            }
        }
        if !unanswered(&shared, &answered).is_empty() {
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Requests the holdings of several nodes concurrently.
fn request_holdings(
    shared: &Arc<Shared>,
    buckets: &[u32],
    nodes: Vec<(NodeId, String)>,
) -> JoinSet<(NodeId, Result<wire::HoldingsReply, PeerError>)> {
    let mut replies = JoinSet::new();
    for (id, address) in nodes {
        let shared = shared.clone();
        let request = wire::HoldingsRequest {
            buckets: buckets.to_vec(),
        };
        replies.spawn(async move { (id, shared.clients.holdings(&address, request).await) });
    }
    replies
}

/// Returns the other nodes that are on the VM list or alive and have not answered
/// yet.
fn unanswered(shared: &Shared, answered: &HashSet<NodeId>) -> Vec<(NodeId, String)> {
    let members = shared.members();
    members
        .iter()
        .filter(|member| member.id() != shared.own_id && !answered.contains(&member.id()))
        .filter(|member| member.listed || member.is_live())
        .map(|member| (member.id(), member.identity.address.clone()))
        .collect()
}

fn import_local(shared: &Shared, buckets: &[Bucket], now: Now) {
    let own = list_holdings(shared, buckets, now);
    shared.grant_table().import(own, now);
}

fn import_reply(shared: &Shared, grants: Vec<wire::Grant>, now: Now) {
    let grants = grants.into_iter().map(|grant| Grant::from_wire(grant, now));
    shared.grant_table().import(grants, now);
}

fn open_buckets(shared: &Shared, buckets: &[Bucket]) {
    let mut grant_table = shared.grant_table();
    for bucket in buckets {
        grant_table.open(*bucket);
    }
}

/// Returns the slots that this node uses at the endpoints of `buckets`, and drops
/// its free slots there.
pub(crate) fn list_holdings(shared: &Shared, buckets: &[Bucket], now: Now) -> Vec<Grant> {
    let expires_mono_ms = now.mono_ms + shared.settings.grant_ttl_ms;
    let mut held_slots = shared.held_slots();
    held_slots.drop_free_and_list(shared.own_id, expires_mono_ms, |endpoint| {
        buckets.contains(&shared.ownership.endpoint_bucket(endpoint))
    })
}
