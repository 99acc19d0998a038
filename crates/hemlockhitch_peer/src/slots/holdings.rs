//! Learns of the slots that a former owner granted.

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

/// How soon nodes that did not list their slots are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Asks every node for its slots in buckets that this node has just taken, and
/// opens the buckets once all have answered.
pub(crate) async fn learn_holdings<C: Clock>(shared: Arc<Shared>, buckets: Vec<Bucket>, clock: C) {
    let deadline_ms = clock.now().mono_ms + shared.settings.grant_ttl_ms;
    let mut heard: HashSet<NodeId> = HashSet::new();
    let codes: Vec<u32> = buckets.iter().map(|bucket| bucket.wire_id()).collect();
    import_own(&shared, &buckets, clock.now());
    while clock.now().mono_ms < deadline_ms {
        let missing = unheard(&shared, &heard);
        if missing.is_empty() {
            open(&shared, &buckets);
            return;
        }
        let mut answers = ask_all(&shared, &codes, missing);
        while let Some(answer) = answers.join_next().await {
            if let Ok((id, Ok(reply))) = answer {
                import(&shared, reply.grants, clock.now());
                heard.insert(id);
            }
        }
        if !unheard(&shared, &heard).is_empty() {
            sleep(ASK_AGAIN).await;
        }
    }
}

/// Asks some nodes for their slots, all at once.
fn ask_all(
    shared: &Arc<Shared>,
    buckets: &[u32],
    nodes: Vec<(NodeId, String)>,
) -> JoinSet<(NodeId, Result<wire::HoldingsReply, PeerError>)> {
    let mut answers = JoinSet::new();
    for (id, address) in nodes {
        let shared = shared.clone();
        let request = wire::HoldingsRequest {
            buckets: buckets.to_vec(),
        };
        answers.spawn(async move { (id, shared.clients.holdings(&address, request).await) });
    }
    answers
}

fn unheard(shared: &Shared, heard: &HashSet<NodeId>) -> Vec<(NodeId, String)> {
    let members = shared.members();
    members
        .iter()
        .filter(|member| member.id() != shared.own_id && !heard.contains(&member.id()))
        .filter(|member| member.listed || member.is_live())
        .map(|member| (member.id(), member.identity.address.clone()))
        .collect()
}

fn import_own(shared: &Shared, buckets: &[Bucket], now: Now) {
    let own = holdings(shared, buckets, now);
    shared.book().import(own, now);
}

fn import(shared: &Shared, grants: Vec<wire::Grant>, now: Now) {
    let grants = grants.into_iter().map(|grant| Grant::from_wire(grant, now));
    shared.book().import(grants, now);
}

fn open(shared: &Shared, buckets: &[Bucket]) {
    let mut book = shared.book();
    for bucket in buckets {
        book.open(*bucket);
    }
}

/// Lists the slots that this node uses at the endpoints of some buckets, and
/// gives up those that it does not use.
pub(crate) fn holdings(shared: &Shared, buckets: &[Bucket], now: Now) -> Vec<Grant> {
    let expires_mono_ms = now.mono_ms + shared.settings.grant_ttl_ms;
    let mut holder = shared.holder();
    holder.surrender(shared.own_id, expires_mono_ms, |endpoint| {
        buckets.contains(&shared.ownership.endpoint_bucket(endpoint))
    })
}
