//! Registers this node in the store, for the other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockhitch_model::{Clock, NodeName};
use hemlockhitch_ports::key_value::{Expected, KeyValue, KeyValueError, LeaseId, Swap};
use hemlockhitch_routing::source::FollowableNode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::feed::store_backoff;
use crate::state::NodeContext;

/// Key prefix of registered nodes; the node's name follows.
pub(crate) const NODE_PREFIX: &str = "hemlockhitch/node/";

/// Lease of a registration, in milliseconds: long, because nodes that are cut off from
/// the store must still be counted when shared limits are divided.
const LEASE_MS: u64 = 600_000;

/// Renewal interval of the lease: three renewals before it expires.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(LEASE_MS / 4);

/// Range over which nodes register again after the store returned from a copy, in
/// milliseconds for each node: two hundred writes per second.
const REGISTRATION_SPREAD_MS: u64 = 10;

/// What a node publishes about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct NodeRecord {
    /// Address at which the node serves the feed, `ip:port`.
    pub(crate) address: String,
    /// The data centre of the node.
    pub(crate) data_centre: String,
    /// Capacity for work on behalf of other nodes, compared with theirs.
    pub(crate) bearing: u32,
}

impl NodeRecord {
    /// Returns the node as a source of the feed; `None` if its record states no address.
    pub(crate) fn followable<'a>(&'a self, name: &'a str) -> Option<FollowableNode<'a>> {
        if self.address.is_empty() {
            return None;
        }
        Some(FollowableNode {
            name,
            address: &self.address,
            data_centre: &self.data_centre,
            capacity: self.bearing,
        })
    }
}

/// Keeps the node registered in the store until the task is cancelled.
pub async fn register_node<D: Dialect, C: Clock>(
    node_context: NodeContext<D, C>,
    store: impl KeyValue,
    feed: SocketAddr,
) {
    let node = node_context.settings().node.clone();
    let record = NodeRecord {
        address: feed.to_string(),
        data_centre: node_context.settings().data_centre.to_string(),
        bearing: node_context.settings().peer_capacity,
    };
    // Serialising strings and a number cannot fail.
    let record = serde_json::to_string(&record).unwrap_or_default();
    let mut backoff = store_backoff();
    let mut positions = node_context.positions();
    loop {
        match register(&store, &node, &record).await {
            Ok(lease) => {
                backoff.reset();
                let epoch = store.epoch();
                tracing::info!(event = "HH1210", node = %node, epoch, "node registered");
                {
                    let mut state = node_context.state();
                    state.lease = Some(lease);
                    state.lease_is_void = false;
                }
                // A lease of an earlier epoch may be another node's now.
                tokio::select! {
                    () = keep_lease_alive(&node_context, &store, lease, epoch) => {}
                    _ = positions.wait_for(|position| position.epoch > epoch) => {}
                }
                node_context.state().lease = None;
                if store.epoch() > epoch || positions.borrow().epoch > epoch {
                    spread_registrations(&node_context).await;
                }
            }
            Err(error) => {
                tracing::debug!(event = "HH1211", %error, "failed to register the node");
            }
        }
        sleep(backoff.next_pause()).await;
    }
}

async fn register(
    store: &impl KeyValue,
    node: &NodeName,
    record: &str,
) -> Result<LeaseId, KeyValueError> {
    let lease = store.lease_grant(LEASE_MS).await?;
    let swap = Swap {
        key: format!("{NODE_PREFIX}{node}"),
        expected: Expected::Any,
        value: Some(record.to_owned()),
        lease: Some(lease),
    };
    store.swap(swap).await?;
    Ok(lease)
}

/// Renews the lease until a renewal fails or the store has left the epoch in which the
/// lease was granted.
async fn keep_lease_alive<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
    lease: LeaseId,
    epoch: u64,
) {
    loop {
        sleep(RENEWAL_INTERVAL).await;
        let sent = node_context.now();
        if let Err(error) = store.lease_renew(lease).await {
            tracing::warn!(event = "HH1212", %error, "failed to renew the node's registration");
            return;
        }
        let took_ms = node_context.now().mono_ms.saturating_sub(sent.mono_ms);
        node_context.state().store_call_ms = took_ms;
        if store.epoch() > epoch {
            return;
        }
    }
}

/// Waits for a random time, because all nodes register again after the store returned
/// from a copy.
async fn spread_registrations<D: Dialect, C: Clock>(node_context: &NodeContext<D, C>) {
    let nodes = u64::from(node_context.state().node_count());
    let spread_ms = fastrand::u64(0..=nodes * REGISTRATION_SPREAD_MS);
    sleep(Duration::from_millis(spread_ms)).await;
}
