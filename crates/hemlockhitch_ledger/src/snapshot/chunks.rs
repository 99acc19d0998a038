//! The chunks of a snapshot's text.

use hemlockhitch_ports::key_value::{Expected, KeyValue, KeyValueError, KeyValueErrorKind, Swap};

use super::Head;
use crate::LedgerError;
use crate::shard::ShardId;

/// The longest chunk, which leaves room for its coding on the way to the store.
const MAX_CHUNK_BYTES: usize = 512 * 1024;

/// How often a chunk whose answer was lost is written again.
const MAX_CHUNK_TRIES: u32 = 10;

/// Entries that one call of a sweep reads.
const SWEEP_PAGE_ENTRIES: usize = 2;

/// Splits a text into chunks.
pub(super) fn split(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (part, after) = rest.split_at(rest.floor_char_boundary(MAX_CHUNK_BYTES));
        parts.push(part);
        rest = after;
    }
    parts
}

/// Writes the chunks of `head`.
pub(super) async fn write<K: KeyValue>(
    kv: &K,
    shard: ShardId,
    head: &Head,
    parts: &[&str],
) -> Result<(), LedgerError> {
    for (index, part) in parts.iter().enumerate() {
        create(kv, &key(shard, head, index), part).await?;
    }
    Ok(())
}

/// Reads the chunks of `head` as one text; returns `None` if one is missing.
pub(super) async fn read<K: KeyValue>(
    kv: &K,
    shard: ShardId,
    head: &Head,
) -> Result<Option<String>, LedgerError> {
    let mut text = String::new();
    for index in 0..head.chunk_count {
        match kv.get(&key(shard, head, index)).await? {
            Some(entry) => text.push_str(&entry.value),
            None => return Ok(None),
        }
    }
    Ok(Some(text))
}

/// Deletes the chunks that `head`, which is in place, has made useless: those
/// that were meant to replace the same head as it, or an earlier one.
///
/// What is left after a fault is deleted by the next sweep.
pub(super) async fn sweep<K: KeyValue>(kv: &K, shard: ShardId, head: &Head) {
    let prefix = prefix(shard);
    let own = format!("{prefix}{}", name(head));
    let end = format!("{prefix}{:020}", head.base + 1);
    let last_own = key(shard, head, head.chunk_count.saturating_sub(1));
    let mut after: Option<String> = None;
    loop {
        let listed = kv.list(&prefix, after.as_deref(), SWEEP_PAGE_ENTRIES).await;
        let Ok(listing) = listed else {
            return;
        };
        for entry in &listing.entries {
            if entry.key >= end {
                return;
            }
            if entry.key.starts_with(&own) {
                after = Some(last_own.clone());
                break;
            }
            let _ = kv.swap(delete(&entry.key)).await;
            after = Some(entry.key.clone());
        }
        if !listing.more {
            return;
        }
    }
}

/// Creates a key whose name is used by nobody else, so that it exists already
/// only if a former try created it.
async fn create<K: KeyValue>(kv: &K, key: &str, value: &str) -> Result<(), KeyValueError> {
    let mut tries = 0;
    loop {
        tries += 1;
        match kv.swap(Swap::create(key, value)).await {
            Ok(_) => return Ok(()),
            Err(error) if error.kind() != KeyValueErrorKind::Unknown => return Err(error),
            Err(error) if tries == MAX_CHUNK_TRIES => return Err(error),
            Err(_) => {}
        }
    }
}

fn delete(key: &str) -> Swap {
    Swap {
        key: key.to_owned(),
        expected: Expected::Any,
        value: None,
        lease: None,
    }
}

fn prefix(shard: ShardId) -> String {
    format!("ledger/{shard}/snapshot/chunk/")
}

fn name(head: &Head) -> String {
    format!("{:020}/{}/", head.base, head.id)
}

fn key(shard: ShardId, head: &Head, index: usize) -> String {
    format!("{}{}{index:04}", prefix(shard), name(head))
}
