//! Exchange of bounded samples of what nodes know.

mod digest;
mod partners;

pub(crate) use digest::{Absorbed, absorb, check, compose};

use partners::Partners;

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::vm_list::VmList;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::error::PeerError;
use crate::feed::Spread;
use crate::member::{Identity, MemberState, NodeId, Status};
use crate::notice::Notice;
use crate::shared::Shared;
use crate::wire;

/// How often a starting node tries to load its configuration.
const JOIN_RETRY: Duration = Duration::from_millis(100);

/// Peers that a starting node asks for the configuration in one try.
const JOIN_FANOUT: usize = 3;

/// Peers that are told at once of a notice.
const NOTICE_FANOUT: usize = 3;

/// Exchanges with a few peers in every interval.
pub(crate) async fn run<C: Clock>(shared: Arc<Shared>, spread: Spread, clock: C) {
    let mut partners = Partners::default();
    loop {
        let now = clock.now();
        let targets = {
            let mut members = shared.members();
            members.tick(now);
            partners.choose(&members, shared.settings.exchange_fanout)
        };
        for (id, address) in targets {
            let calling = call(shared.clone(), spread.clone(), id, address, clock.clone());
            shared.spawn(calling);
        }
        sleep(jittered(shared.settings.exchange_interval_ms)).await;
    }
}

/// Spreads calls of different nodes over the interval.
fn jittered(interval_ms: u64) -> Duration {
    let spread_ms = interval_ms / 10;
    let shift_ms = fastrand::u64(0..=2 * spread_ms);
    Duration::from_millis(interval_ms - spread_ms + shift_ms)
}

async fn call<C: Clock>(
    shared: Arc<Shared>,
    spread: Spread,
    id: NodeId,
    address: String,
    clock: C,
) {
    let asked = clock.now();
    if let Err(error) = exchange_with(&shared, &spread, id, &address, &clock).await {
        let now = clock.now();
        let bound_ms = 2 * shared.settings.call_timeout_ms;
        // After a pause of this node the failure says nothing about the peer.
        if now.mono_ms.saturating_sub(asked.mono_ms) <= bound_ms {
            shared.members().suspect(id, now);
        }
        tracing::debug!(event = "HH0607", address, %error, "exchange failed");
    }
}

/// Exchanges once with a peer.
pub(crate) async fn exchange_with<C: Clock>(
    shared: &Arc<Shared>,
    spread: &Spread,
    id: NodeId,
    address: &str,
    clock: &C,
) -> Result<(), PeerError> {
    let asked = clock.now();
    let digest = compose(shared, id, asked);
    shared.traffic.digest(&digest);
    let reply = shared.clients.exchange(address, digest).await?;
    check(&reply)?;
    // The peer is heard as of the time when it was asked.
    shared.contact.heard_peer(asked);
    let absorbed = absorb(shared, reply, clock.now())?;
    follow_up(shared, spread, absorbed, clock.now()).await;
    Ok(())
}

/// Asks a peer for what its digest mentioned and this node lacks.
pub(crate) async fn follow_up(shared: &Arc<Shared>, spread: &Spread, absorbed: Absorbed, now: Now) {
    if absorbed.generation > shared.feed.generation() {
        spread.fetch_soon(absorbed.address.clone());
    }
    if !absorbed.unknown.is_empty() {
        describe(shared, &absorbed, now).await;
    }
}

async fn describe(shared: &Shared, absorbed: &Absorbed, now: Now) {
    let request = wire::DescribeRequest {
        node_ids: absorbed.unknown.iter().map(|id| id.0).collect(),
    };
    let Ok(reply) = shared.clients.describe(&absorbed.address, request).await else {
        return;
    };
    for member in reply.members {
        // A bad entry is left out; the others are good.
        let _ = take_member(shared, &member, now);
    }
}

/// Takes in a whole member's entry.
fn take_member(shared: &Shared, member: &wire::Member, now: Now) -> Result<(), PeerError> {
    let identity = Identity::from_wire(member)?;
    let status = member.entry.as_ref().map(Status::from_wire).transpose()?;
    shared.members().describe(identity, status, now);
    Ok(())
}

/// Reads the VM list at intervals.
pub(crate) async fn read_vm_list<V: VmList>(shared: Arc<Shared>, vm_list: V) {
    let bound = Duration::from_millis(shared.settings.store_timeout_ms);
    loop {
        if let Ok(Ok(vms)) = timeout(bound, vm_list.list()).await {
            shared.members().list_vms(&vms);
        }
        sleep(jittered(shared.settings.vm_list_interval_ms)).await;
    }
}

/// Loads the configuration and the owners, then declares the node serving.
pub(crate) async fn join(shared: Arc<Shared>, spread: Spread) {
    loop {
        let targets = shared.members().targets(JOIN_FANOUT);
        for (_, address) in targets {
            if !shared.is_loaded() {
                // Another peer or the store is tried next.
                let _ = spread.fetch(&address).await;
            }
            learn_owners(&shared, &address).await;
        }
        let newest = shared.members().newest_generation();
        if shared.is_loaded() && shared.feed.generation() >= newest {
            break;
        }
        sleep(JOIN_RETRY).await;
    }
    shared.members().set_own_state(MemberState::Serving);
    tracing::info!(event = "HH0608", "node serves");
}

async fn learn_owners(shared: &Shared, address: &str) {
    let Ok(reply) = shared.clients.owners(address, wire::OwnersRequest {}).await else {
        return;
    };
    for owner in reply.owners {
        shared.ownership.merge_wire(owner);
    }
}

/// Tells a few peers of each notice as it is learnt.
pub(crate) async fn spread_notices(
    shared: Arc<Shared>,
    mut outgoing: mpsc::UnboundedReceiver<Notice>,
) {
    while let Some(notice) = outgoing.recv().await {
        let request = wire::PostRequest {
            notices: vec![notice.to_wire()],
        };
        let targets = shared.members().targets(NOTICE_FANOUT);
        for (_, address) in targets {
            let request = request.clone();
            let sender = shared.clone();
            shared.spawn(async move {
                // A peer that missed it learns from an exchange.
                let _ = sender.clients.post(&address, request).await;
            });
        }
    }
}
