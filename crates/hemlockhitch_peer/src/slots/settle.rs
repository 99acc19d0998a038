//! Returns released slots to their owners and renews grants.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, EndpointName, Now};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::codec::{release_to_wire, report_from_wire};
use super::cold::announce_cold;
use super::remote::ReleasedSlot;
use super::{Grant, Renewal, SlotReport};
use crate::member::NodeId;
use crate::ownership::Owner;
use crate::shared::Shared;
use crate::wire;

/// Maximum number of released slots that are taken from the queue at once.
const RELEASE_BATCH_SIZE: usize = 64;

/// The request to each owner, by the owner's address.
type RequestsByAddress = HashMap<String, wire::SettleRequest>;

/// Sends released slots to their owners as they are queued.
pub(crate) async fn send_releases<C: Clock>(
    shared: Arc<Shared>,
    mut released: mpsc::UnboundedReceiver<ReleasedSlot>,
    clock: C,
) {
    let mut batch = Vec::new();
    while released.recv_many(&mut batch, RELEASE_BATCH_SIZE).await > 0 {
        let now = clock.now();
        let mut requests = RequestsByAddress::new();
        for slot in batch.drain(..) {
            let release = release_to_wire(slot.grant_id, &slot.endpoint, slot.slots, slot.report);
            route_release(&shared, &slot.endpoint, release, &mut requests, now);
        }
        send_requests(&shared, requests, &clock);
    }
}

/// Renews grants every `grant_renew_ms`.
pub(crate) async fn renew_grants<C: Clock>(shared: Arc<Shared>, clock: C) {
    loop {
        sleep(Duration::from_millis(shared.settings.grant_renew_ms)).await;
        let now = clock.now();
        let expires_mono_ms = now.mono_ms + shared.settings.grant_ttl_ms;
        let renewal = shared
            .held_slots()
            .prepare_renewal(shared.own_id, expires_mono_ms);
        send_requests(&shared, route_renewal(&shared, renewal, now), &clock);
    }
}

/// Groups a renewal by owner and applies directly what concerns endpoints of this
/// node.
fn route_renewal(shared: &Arc<Shared>, renewal: Renewal, now: Now) -> RequestsByAddress {
    let mut requests = RequestsByAddress::new();
    for grant in renewal.idle {
        let release = release_to_wire(grant.grant_id, &grant.endpoint, grant.slots, None);
        route_release(shared, &grant.endpoint, release, &mut requests, now);
    }
    for (endpoint, report) in renewal.reports {
        let release = release_to_wire(0, &endpoint, 0, Some(report));
        route_release(shared, &endpoint, release, &mut requests, now);
    }
    for grant in renewal.live {
        match owner_of(shared, &grant.endpoint, now) {
            Owner::Local { .. } => renew_local(shared, grant, now),
            Owner::Remote { address, .. } => {
                let request = request_for(shared, &mut requests, address);
                request.live.push(grant.to_wire(now));
            }
            Owner::Unknown => {}
        }
    }
    requests
}

fn renew_local(shared: &Shared, grant: Grant, now: Now) {
    shared.held_slots().extend(&grant, grant.expires_mono_ms);
    shared.grant_table().import([grant], now);
}

/// Applies a release directly if this node owns the endpoint, else adds it to the
/// request to the owner.
fn route_release(
    shared: &Arc<Shared>,
    endpoint: &EndpointName,
    release: wire::Release,
    requests: &mut RequestsByAddress,
    now: Now,
) {
    match owner_of(shared, endpoint, now) {
        Owner::Local { .. } => {
            apply_release(shared, shared.own_id, &release, now);
        }
        Owner::Remote { address, .. } => request_for(shared, requests, address)
            .releases
            .push(release),
        // The grant expires at the owner.
        Owner::Unknown => {}
    }
}

fn request_for<'a>(
    shared: &Shared,
    requests: &'a mut RequestsByAddress,
    address: String,
) -> &'a mut wire::SettleRequest {
    let request = requests.entry(address).or_default();
    request.node_id = shared.own_id.0;
    request
}

fn send_requests<C: Clock>(shared: &Arc<Shared>, requests: RequestsByAddress, clock: &C) {
    for (address, request) in requests {
        shared.spawn(send_settle(shared.clone(), address, request, clock.clone()));
    }
}

async fn send_settle<C: Clock>(
    shared: Arc<Shared>,
    address: String,
    request: wire::SettleRequest,
    clock: C,
) {
    let sent_at = clock.now();
    let live = request.live.clone();
    // Grants that were not renewed expire.
    let Ok(reply) = shared.clients.settle(&address, request).await else {
        return;
    };
    let expires_mono_ms = sent_at.mono_ms + shared.settings.grant_ttl_ms;
    let mut held_slots = shared.held_slots();
    for grant in live {
        if !reply.not_owned.contains(&grant.endpoint) {
            held_slots.extend(&Grant::from_wire(grant, sent_at), expires_mono_ms);
        }
    }
    for endpoint in reply.cold {
        held_slots.mark_cold(&endpoint.into());
    }
}

fn owner_of(shared: &Shared, endpoint: &EndpointName, now: Now) -> Owner {
    let bucket = shared.ownership.endpoint_bucket(endpoint);
    shared.ownership.owner(bucket, now)
}

/// Handles a peer's request to release slots and renew grants.
pub(crate) fn handle_settle(
    shared: &Arc<Shared>,
    request: wire::SettleRequest,
    now: Now,
) -> wire::SettleReply {
    let node = NodeId(request.node_id);
    let mut reply = wire::SettleReply::default();
    for release in request.releases {
        if !apply_release(shared, node, &release, now) {
            reply.not_owned.push(release.endpoint);
        }
    }
    for live in request.live {
        let grant = Grant::from_wire(live, now);
        let endpoint = grant.endpoint.clone();
        let cold = shared.run_if_owner(&endpoint, now, |grant_table| {
            grant_table.import([grant], now);
            grant_table.is_cold(&endpoint, now)
        });
        match cold {
            None => reply.not_owned.push(endpoint.to_string()),
            Some(true) => reply.cold.push(endpoint.to_string()),
            Some(false) => {}
        }
    }
    reply
}

/// Applies a release as the owner of the endpoint; returns whether this node is the
/// owner.
fn apply_release(shared: &Arc<Shared>, node: NodeId, release: &wire::Release, now: Now) -> bool {
    let endpoint = EndpointName::from(release.endpoint.as_str());
    let became_cold = shared.run_if_owner(&endpoint, now, |grant_table| {
        grant_table.release(node, release.grant_id, &endpoint, release.slots);
        let report = report_from_wire(release);
        report.is_some_and(|report: SlotReport| grant_table.observe(&endpoint, report.into(), now))
    });
    if became_cold == Some(true) {
        announce_cold(shared, &endpoint, now);
    }
    became_cold.is_some()
}
