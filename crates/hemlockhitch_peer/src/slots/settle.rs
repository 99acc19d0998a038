//! Gives slots back to owners and renews those in use.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, EndpointName, Now};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::codec::{release_to_wire, report_from_wire};
use super::cold::announce_cold;
use super::remote::EndedSlot;
use super::{Grant, Renewal, SlotReport};
use crate::member::NodeId;
use crate::ownership::Owner;
use crate::shared::Shared;
use crate::wire;

/// How many slots are given back in one message.
const MAX_RELEASES: usize = 64;

/// What one owner is told, by the address of the owner.
type ByOwner = HashMap<String, wire::SettleRequest>;

/// Gives back slots as they end.
pub(crate) async fn give_back<C: Clock>(
    shared: Arc<Shared>,
    mut ended: mpsc::UnboundedReceiver<EndedSlot>,
    clock: C,
) {
    let mut batch = Vec::new();
    while ended.recv_many(&mut batch, MAX_RELEASES).await > 0 {
        let now = clock.now();
        let mut requests = ByOwner::new();
        for slot in batch.drain(..) {
            let release = release_to_wire(slot.grant_id, &slot.endpoint, slot.slots, slot.report);
            address(&shared, &slot.endpoint, release, &mut requests, now);
        }
        send(&shared, requests, &clock);
    }
}

/// Renews the slots in use at intervals.
pub(crate) async fn renew<C: Clock>(shared: Arc<Shared>, clock: C) {
    loop {
        sleep(Duration::from_millis(shared.settings.grant_renew_ms)).await;
        let now = clock.now();
        let expires_mono_ms = now.mono_ms + shared.settings.grant_ttl_ms;
        let renewal = shared.holder().renewal(shared.own_id, expires_mono_ms);
        send(&shared, address_renewal(&shared, renewal, now), &clock);
    }
}

/// Sorts a renewal by owner; what this node owns is settled at once.
fn address_renewal(shared: &Arc<Shared>, renewal: Renewal, now: Now) -> ByOwner {
    let mut requests = ByOwner::new();
    for grant in renewal.unused {
        let release = release_to_wire(grant.grant_id, &grant.endpoint, grant.slots, None);
        address(shared, &grant.endpoint, release, &mut requests, now);
    }
    for (endpoint, report) in renewal.reports {
        let release = release_to_wire(0, &endpoint, 0, Some(report));
        address(shared, &endpoint, release, &mut requests, now);
    }
    for grant in renewal.live {
        match owner_of(shared, &grant.endpoint, now) {
            Owner::Here { .. } => renew_own(shared, grant, now),
            Owner::At { address, .. } => {
                let request = request_to(shared, &mut requests, address);
                request.live.push(grant.to_wire(now));
            }
            Owner::Nobody => {}
        }
    }
    requests
}

fn renew_own(shared: &Shared, grant: Grant, now: Now) {
    shared.holder().renewed(&grant, grant.expires_mono_ms);
    shared.book().import([grant], now);
}

fn address(
    shared: &Arc<Shared>,
    endpoint: &EndpointName,
    release: wire::Release,
    requests: &mut ByOwner,
    now: Now,
) {
    match owner_of(shared, endpoint, now) {
        Owner::Here { .. } => {
            release_at_owner(shared, shared.own_id, &release, now);
        }
        Owner::At { address, .. } => request_to(shared, requests, address).releases.push(release),
        // The grant ends by its time-out.
        Owner::Nobody => {}
    }
}

fn request_to<'a>(
    shared: &Shared,
    requests: &'a mut ByOwner,
    address: String,
) -> &'a mut wire::SettleRequest {
    let request = requests.entry(address).or_default();
    request.node_id = shared.own_id.0;
    request
}

fn send<C: Clock>(shared: &Arc<Shared>, requests: ByOwner, clock: &C) {
    for (address, request) in requests {
        shared.spawn(settle(shared.clone(), address, request, clock.clone()));
    }
}

async fn settle<C: Clock>(
    shared: Arc<Shared>,
    address: String,
    request: wire::SettleRequest,
    clock: C,
) {
    let asked = clock.now();
    let live = request.live.clone();
    // Grants that the owner did not hear of end by their time-out.
    let Ok(reply) = shared.clients.settle(&address, request).await else {
        return;
    };
    let expires_ms = asked.mono_ms + shared.settings.grant_ttl_ms;
    let mut holder = shared.holder();
    for grant in live {
        if !reply.not_owned.contains(&grant.endpoint) {
            holder.renewed(&Grant::from_wire(grant, asked), expires_ms);
        }
    }
    for endpoint in reply.cold {
        holder.turn_cold(&endpoint.into());
    }
}

fn owner_of(shared: &Shared, endpoint: &EndpointName, now: Now) -> Owner {
    let bucket = shared.ownership.endpoint_bucket(endpoint);
    shared.ownership.owner(bucket, now)
}

/// Serves a peer's message that gives back and renews slots.
pub(crate) fn serve_settle(
    shared: &Arc<Shared>,
    request: wire::SettleRequest,
    now: Now,
) -> wire::SettleReply {
    let node = NodeId(request.node_id);
    let mut reply = wire::SettleReply::default();
    for release in request.releases {
        if !release_at_owner(shared, node, &release, now) {
            reply.not_owned.push(release.endpoint);
        }
    }
    for live in request.live {
        let grant = Grant::from_wire(live, now);
        let endpoint = grant.endpoint.clone();
        let cold = shared.as_owner(&endpoint, now, |book| {
            book.import([grant], now);
            book.is_cold(&endpoint, now)
        });
        match cold {
            None => reply.not_owned.push(endpoint.to_string()),
            Some(true) => reply.cold.push(endpoint.to_string()),
            Some(false) => {}
        }
    }
    reply
}

/// Takes a release in as the owner; returns whether this node is the owner.
fn release_at_owner(shared: &Arc<Shared>, node: NodeId, release: &wire::Release, now: Now) -> bool {
    let endpoint = EndpointName::from(release.endpoint.as_str());
    let released = shared.as_owner(&endpoint, now, |book| {
        book.release(node, release.grant_id, &endpoint, release.slots);
        let report = report_from_wire(release);
        report.is_some_and(|report: SlotReport| book.observe(&endpoint, report.into(), now))
    });
    if released == Some(true) {
        announce_cold(shared, &endpoint, now);
    }
    released.is_some()
}
