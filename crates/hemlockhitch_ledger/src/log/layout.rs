//! The shard count that the ledger was created with.
//!
//! A node with a different shard count would map keys to the wrong shards and
//! miss existing claims, so it must not open any shard.

use hemlockhitch_ports::key_value::{Entry, KeyValue, Swap, SwapOutcome};
use serde::{Deserialize, Serialize};

use crate::{LedgerError, LedgerErrorKind};

const LAYOUT_KEY: &str = "ledger/layout";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Layout {
    shard_count: u16,
}

/// Verifies that `shard_count` matches the stored layout. The first node creates
/// the layout.
pub(super) async fn verify<K: KeyValue>(kv: &K, shard_count: u16) -> Result<(), LedgerError> {
    let entry = match kv.get(LAYOUT_KEY).await? {
        Some(entry) => entry,
        None => match create_or_get(kv, Layout { shard_count }).await? {
            Some(entry) => entry,
            None => return Ok(()),
        },
    };
    match serde_json::from_str::<Layout>(&entry.value) {
        Ok(layout) if layout.shard_count == shard_count => Ok(()),
        _ => Err(LedgerError::new(
            LedgerErrorKind::Layout,
            format!(
                "the ledger was created as {}; set the same shard count, not {shard_count}",
                entry.value
            ),
        )),
    }
}

/// Creates the layout; returns the existing entry if there is one.
async fn create_or_get<K: KeyValue>(kv: &K, layout: Layout) -> Result<Option<Entry>, LedgerError> {
    let value = serde_json::to_string(&layout).unwrap_or_default();
    match kv.swap(Swap::create(LAYOUT_KEY, value)).await? {
        SwapOutcome::Written(_) => Ok(None),
        SwapOutcome::Conflict(entry) => Ok(entry),
    }
}
