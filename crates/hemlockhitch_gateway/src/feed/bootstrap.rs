//! Finds the other nodes when a node starts, so that it can load the store's content
//! from one of them.

use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_ports::key_value::{Entry, KeyValue, KeyValueError, WatchBatch};
use tokio::time::sleep;

use super::apply::{self, Written};
use crate::dialect::Dialect;
use crate::feed::store_backoff;
use crate::membership::NODE_PREFIX;
use crate::state::NodeContext;

/// Failed attempts to list the nodes after which the node starts without the list.
const MAX_FAILURES: u32 = 2;

/// Lists the registered nodes. At the first start of a fleet, waits until nodes have
/// registered.
pub(super) async fn load_nodes<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    store: &impl KeyValue,
) {
    sleep(Duration::from_millis(
        node_context.settings().registration_wait_ms,
    ))
    .await;
    let mut backoff = store_backoff();
    for _ in 0..MAX_FAILURES {
        match list_nodes(store).await {
            Ok(entries) => {
                tracing::info!(event = "HH1214", nodes = entries.len(), "nodes listed");
                add_nodes(node_context, entries);
                return;
            }
            Err(error) => {
                tracing::warn!(event = "HH1215", %error, "failed to list the nodes");
                sleep(backoff.next_pause()).await;
            }
        }
    }
}

/// Reads the nodes' records, which may be a few seconds old.
async fn list_nodes(store: &impl KeyValue) -> Result<Vec<Entry>, KeyValueError> {
    let mut entries: Vec<Entry> = Vec::new();
    loop {
        let after = entries.last().map(|entry| entry.key.clone());
        let page = store
            .list_stale(NODE_PREFIX, after.as_deref(), usize::MAX)
            .await?;
        let is_last = !page.more || page.entries.is_empty();
        entries.extend(page.entries);
        if is_last {
            return Ok(entries);
        }
    }
}

/// Adds records of nodes. They stay part of the node's copy of the store, so that the
/// first complete batch removes the outdated ones.
fn add_nodes<D: Dialect, C: Clock>(node_context: &NodeContext<D, C>, entries: Vec<Entry>) {
    let now = node_context.now();
    for entry in &entries {
        apply::write(node_context, entry, Written::BEFORE_START, now);
    }
    let batch = WatchBatch {
        written: entries,
        deleted: Vec::new(),
        complete: false,
        revision: 0,
        epoch: 0,
    };
    node_context.mirror().apply(&batch, None);
}
