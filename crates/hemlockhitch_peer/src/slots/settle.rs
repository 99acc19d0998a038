//! Gives slots back to owners, renews those in use and learns of those that a
//! former owner granted.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, EndpointName, Now};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::codec::release_to_wire;
use super::remote::EndedSlot;
use super::{Grant, codec};
use crate::error::PeerError;
use crate::member::NodeId;
use crate::ownership::{Bucket, Owner};
use crate::shared::Shared;
use crate::wire;

/// How soon nodes that did not list their slots are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// How many slots are given back in one message.
const MAX_RELEASES: usize = 64;

/// Gives back slots as they end.
pub(crate) async fn give_back<C: Clock>(
    shared: Arc<Shared>,
    mut ended: mpsc::UnboundedReceiver<EndedSlot>,
    clock: C,
) {
    let mut batch = Vec::new();
    while ended.recv_many(&mut batch, MAX_RELEASES).await > 0 {
        let now = clock.now();
        let mut remote: HashMap<String, Vec<wire::Release>> = HashMap::new();
        for slot in batch.drain(..) {
            match owner_of(&shared, &slot.endpoint, now) {
                Owner::Here { .. } => release_own(&shared, &slot),
                Owner::At { address, .. } => {
                    let release =
                        release_to_wire(slot.grant_id, slot.endpoint.as_str(), slot.report);
                    remote.entry(address).or_default().push(release);
                }
                // The grant ends by its time-out.
                Owner::Nobody => {}
            }
        }
        for (address, releases) in remote {
            let sending = settle(shared.clone(), address, releases, Vec::new());
            shared.spawn(sending);
        }
    }
}

fn release_own(shared: &Shared, slot: &EndedSlot) {
    let own_id = shared.own_id;
    shared
        .book()
        .release(own_id, slot.grant_id, &slot.endpoint, slot.report);
}

/// Renews the slots in use at intervals.
pub(crate) async fn renew<C: Clock>(shared: Arc<Shared>, clock: C) {
    loop {
        sleep(Duration::from_millis(shared.settings.grant_renew_ms)).await;
        let now = clock.now();
        let mut remote: HashMap<String, Vec<wire::Grant>> = HashMap::new();
        for grant in own_holdings(&shared, now, |_| true) {
            match owner_of(&shared, &grant.endpoint, now) {
                Owner::Here { .. } => shared.book().import([grant], now),
                Owner::At { address, .. } => {
                    remote.entry(address).or_default().push(grant.to_wire(now));
                }
                Owner::Nobody => {}
            }
        }
        for (address, live) in remote {
            shared.spawn(settle(shared.clone(), address, Vec::new(), live));
        }
    }
}

async fn settle(
    shared: Arc<Shared>,
    address: String,
    releases: Vec<wire::Release>,
    live: Vec<wire::Grant>,
) {
    let request = wire::SettleRequest {
        node_id: shared.own_id.0,
        releases,
        live,
    };
    // Grants that the owner did not hear of end by their time-out.
    let _ = shared.clients.settle(&address, request).await;
}

/// Asks every node for its slots in buckets that this node has just taken, and
/// opens the buckets once all have answered.
pub(crate) async fn learn_holdings<C: Clock>(shared: Arc<Shared>, buckets: Vec<Bucket>, clock: C) {
    let deadline_ms = clock.now().mono_ms + shared.settings.grant_ttl_ms;
    let mut heard: HashSet<NodeId> = HashSet::new();
    let codes: Vec<u32> = buckets.iter().map(|bucket| bucket.code()).collect();
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

/// Lists the slots that this node holds at the endpoints of some buckets.
pub(crate) fn holdings(shared: &Shared, buckets: &[Bucket], now: Now) -> Vec<Grant> {
    own_holdings(shared, now, |endpoint| {
        buckets.contains(&shared.ownership.endpoint_bucket(endpoint))
    })
}

fn own_holdings(shared: &Shared, now: Now, chosen: impl Fn(&EndpointName) -> bool) -> Vec<Grant> {
    let expires_mono_ms = now.mono_ms + shared.settings.grant_ttl_ms;
    shared.holder().live(shared.own_id, expires_mono_ms, chosen)
}

fn owner_of(shared: &Shared, endpoint: &EndpointName, now: Now) -> Owner {
    let bucket = shared.ownership.endpoint_bucket(endpoint);
    shared.ownership.owner(bucket, now)
}

/// Serves a peer's message that gives back and renews slots.
pub(crate) fn serve_settle(
    shared: &Shared,
    request: wire::SettleRequest,
    now: Now,
) -> wire::SettleReply {
    let node = NodeId(request.node_id);
    let mut not_owned = Vec::new();
    for release in request.releases {
        let report = codec::report_from_wire(&release);
        let endpoint = EndpointName::from(release.endpoint);
        let released = shared.as_owner(&endpoint, now, |book| {
            book.release(node, release.grant_id, &endpoint, report);
        });
        if released.is_none() {
            not_owned.push(endpoint.to_string());
        }
    }
    for live in request.live {
        let grant = Grant::from_wire(live, now);
        let endpoint = grant.endpoint.clone();
        let renewed = shared.as_owner(&endpoint, now, |book| book.import([grant], now));
        if renewed.is_none() {
            not_owned.push(endpoint.to_string());
        }
    }
    wire::SettleReply { not_owned }
}
