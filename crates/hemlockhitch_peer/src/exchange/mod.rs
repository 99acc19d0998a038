//! Gossip: nodes exchange digests, which are bounded samples of their state.

mod digest;
mod partners;

pub(crate) use digest::{FollowUp, apply, check, compose};

use partners::Partners;

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::vm_list::VmList;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::error::PeerError;
use crate::feed::ConfigurationSync;
use crate::member::{Identity, MemberState, NodeId, Status};
use crate::notice::Notice;
use crate::shared::Shared;
use crate::wire;

/// Interval at which a starting node tries to load its configuration.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of peers that a starting node calls in one attempt to load its configuration.
const JOIN_FANOUT: usize = 3;

/// Number of peers to which a new notice is sent at once.
const NOTICE_FANOUT: usize = 3;

/// Exchanges digests with a few peers in every interval.
pub(crate) async fn run<C: Clock>(shared: Arc<Shared>, sync: ConfigurationSync, clock: C) {
    let mut partners = Partners::default();
    loop {
        let now = clock.now();
        let targets = {
            let mut members = shared.members();
            members.tick(now);
            partners.choose(&members, shared.settings.exchange_fanout)
        };
        for (id, address) in targets {
            let calling = call(shared.clone(), sync.clone(), id, address, clock.clone());
            shared.spawn(calling);
        }
        sleep(jittered(shared.settings.exchange_interval_ms)).await;
    }
}

/// Returns the interval with a random jitter of 10 %, so that the calls of different
/// nodes do not coincide.
fn jittered(interval_ms: u64) -> Duration {
    let jitter_ms = interval_ms / 10;
    let offset_ms = fastrand::u64(0..=2 * jitter_ms);
    Duration::from_millis(interval_ms - jitter_ms + offset_ms)
}

async fn call<C: Clock>(
    shared: Arc<Shared>,
    sync: ConfigurationSync,
    id: NodeId,
    address: String,
    clock: C,
) {
    let started = clock.now();
    if let Err(error) = exchange_with(&shared, &sync, id, &address, &clock).await {
        let now = clock.now();
        let max_call_ms = 2 * shared.settings.call_timeout_ms;
        // A failure after a pause of this process does not indicate that the peer failed.
        if now.mono_ms.saturating_sub(started.mono_ms) <= max_call_ms {
            shared.members().suspect(id, now);
        }
        tracing::debug!(event = "HH0607", address, %error, "exchange failed");
    }
}

/// Exchanges digests once with a peer.
pub(crate) async fn exchange_with<C: Clock>(
    shared: &Arc<Shared>,
    sync: &ConfigurationSync,
    id: NodeId,
    address: &str,
    clock: &C,
) -> Result<(), PeerError> {
    let started = clock.now();
    let digest = compose(shared, id, started);
    shared.traffic.record_digest(&digest);
    let reply = shared.clients.exchange(address, digest).await?;
    check(&reply)?;
    // The reply shows only that the peer was reachable after the call was sent.
    shared.last_contact.record_peer_contact(started);
    let follow_up = apply(shared, reply, clock.now())?;
    run_follow_up(shared, sync, follow_up, clock.now()).await;
    Ok(())
}

/// Fetches from a peer the configuration and the members that its digest mentioned and
/// this node lacks.
pub(crate) async fn run_follow_up(
    shared: &Arc<Shared>,
    sync: &ConfigurationSync,
    follow_up: FollowUp,
    now: Now,
) {
    if follow_up.generation > shared.feed.generation() {
        sync.fetch_soon(follow_up.address.clone());
    }
    if !follow_up.unknown.is_empty() {
        describe(shared, &follow_up, now).await;
    }
}

async fn describe(shared: &Shared, follow_up: &FollowUp, now: Now) {
    let request = wire::DescribeRequest {
        node_ids: follow_up.unknown.iter().map(|id| id.0).collect(),
    };
    let Ok(reply) = shared.clients.describe(&follow_up.address, request).await else {
        return;
    };
    for member in reply.members {
        // An invalid member is skipped; the others are merged.
        let _ = merge_member(shared, &member, now);
    }
}

/// Merges a member with its identity.
fn merge_member(shared: &Shared, member: &wire::Member, now: Now) -> Result<(), PeerError> {
    let identity = Identity::from_wire(member)?;
    let status = member.entry.as_ref().map(Status::from_wire).transpose()?;
    shared.members().merge_member(identity, status, now);
    Ok(())
}

/// Reads the VM list periodically.
pub(crate) async fn read_vm_list<V: VmList>(shared: Arc<Shared>, vm_list: V) {
    let store_timeout = Duration::from_millis(shared.settings.store_timeout_ms);
    loop {
        if let Ok(Ok(vms)) = timeout(store_timeout, vm_list.list()).await {
            shared.members().apply_vm_list(&vms);
        }
        sleep(jittered(shared.settings.vm_list_interval_ms)).await;
    }
}

/// Loads the configuration and the owners, then sets the state of the node to serving.
pub(crate) async fn join(shared: Arc<Shared>, sync: ConfigurationSync) {
    loop {
        let targets = shared.members().random_targets(JOIN_FANOUT);
        for (_, address) in targets {
            if !shared.is_loaded() {
                // After a failure, the next peer or the store is tried.
                let _ = sync.fetch(&address).await;
            }
            fetch_owners(&shared, &address).await;
        }
        let newest = shared.members().newest_generation();
        if shared.is_loaded() && shared.feed.generation() >= newest {
            break;
        }
        sleep(JOIN_RETRY_INTERVAL).await;
    }
    shared.members().set_own_state(MemberState::Serving);
    tracing::info!(event = "HH0608", "node is serving");
}

async fn fetch_owners(shared: &Shared, address: &str) {
    let Ok(reply) = shared.clients.owners(address, wire::OwnersRequest {}).await else {
        return;
    };
    for owner in reply.owners {
        shared.ownership.merge_wire(owner);
    }
}

/// Sends each new notice to a few peers.
pub(crate) async fn send_notices(
    shared: Arc<Shared>,
    mut outgoing: mpsc::UnboundedReceiver<Notice>,
) {
    while let Some(notice) = outgoing.recv().await {
        let request = wire::PostRequest {
            notices: vec![notice.to_wire()],
        };
        let targets = shared.members().random_targets(NOTICE_FANOUT);
        for (_, address) in targets {
            let request = request.clone();
            let sender = shared.clone();
            shared.spawn(async move {
                // A peer that misses the notice receives it by gossip.
                let _ = sender.clients.post(&address, request).await;
            });
        }
    }
}
