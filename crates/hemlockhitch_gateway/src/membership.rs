//! Tells the other nodes, through the store, that this one may be at work.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockhitch_model::{Clock, NodeName};
use hemlockhitch_ports::key_value::{Expected, KeyValue, KeyValueError, LeaseId, Swap};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::feed::store_backoff;
use crate::state::Shared;

/// Where nodes stand in the store.
pub(crate) const PREFIX: &str = "hemlockhitch/node/";

/// How long a node counts after it was last heard of, in milliseconds: long, since
/// common allowances must be divided over nodes that are cut off too.
const LEASE_MS: u64 = 600_000;

/// How often the lease is renewed: three times before it lapses.
const RENEW: Duration = Duration::from_millis(LEASE_MS / 4);

/// What a node tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct NodeRecord {
    /// Where it serves the feed, `ip:port`.
    pub(crate) address: String,
    /// The data centre that it stands in.
    pub(crate) data_centre: String,
    /// How much work for other nodes it bears, beside theirs.
    pub(crate) bearing: u32,
}

/// Keeps the node's key in the store for as long as the task runs.
pub async fn announce<D: Dialect, C: Clock>(
    shared: Shared<D, C>,
    store: impl KeyValue,
    feed: SocketAddr,
) {
    let node = shared.settings().node.clone();
    let record = NodeRecord {
        address: feed.to_string(),
        data_centre: shared.settings().data_centre.to_string(),
        bearing: shared.settings().bearing,
    };
    // A struct of strings and a number always has a JSON form.
    let record = serde_json::to_string(&record).unwrap_or_default();
    let mut backoff = store_backoff();
    loop {
        match enter(&store, &node, &record).await {
            Ok(lease) => {
                backoff.reset();
                tracing::info!(event = "HH1210", node = %node, "node entered the list of nodes");
                shared.state().lease = Some(lease);
                renew(&store, lease).await;
                shared.state().lease = None;
            }
            Err(error) => {
                tracing::debug!(event = "HH1211", %error, "node not entered in the list of nodes");
            }
        }
        sleep(backoff.next_pause()).await;
    }
}

async fn enter(
    store: &impl KeyValue,
    node: &NodeName,
    record: &str,
) -> Result<LeaseId, KeyValueError> {
    let lease = store.lease_grant(LEASE_MS).await?;
    let swap = Swap {
        key: format!("{PREFIX}{node}"),
        expected: Expected::Any,
        value: Some(record.to_owned()),
        lease: Some(lease),
    };
    store.swap(swap).await?;
    Ok(lease)
}

/// Renews the lease until the store no longer knows it.
async fn renew(store: &impl KeyValue, lease: LeaseId) {
    loop {
        sleep(RENEW).await;
        if let Err(error) = store.lease_renew(lease).await {
            tracing::warn!(event = "HH1212", %error, "place in the list of nodes not renewed");
            return;
        }
    }
}
