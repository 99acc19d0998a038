//! Chunks of a snapshot.

use hemlockhitch_ports::key_value::{Expected, KeyValue, KeyValueError, KeyValueErrorKind, Swap};

use super::Head;
use crate::LedgerError;
use crate::shard::ShardId;

/// Maximum size of a chunk; leaves room for its encoding in the store's
/// protocol.
const MAX_CHUNK_BYTES: usize = 512 * 1024;

/// Maximum number of attempts to write a chunk when responses are lost.
const MAX_CHUNK_ATTEMPTS: u32 = 10;

/// Number of entries that one list call of the cleanup reads.
const CLEANUP_PAGE_ENTRIES: usize = 2;

/// Splits `text` into chunks at character boundaries.
pub(super) fn split(text: &str) -> Vec<&str> {
    let mut chunks = Vec::new();
    let mut remaining = text;
    while !remaining.is_empty() {
        let (chunk, tail) = remaining.split_at(remaining.floor_char_boundary(MAX_CHUNK_BYTES));
        chunks.push(chunk);
        remaining = tail;
    }
    chunks
}

/// Writes the chunks of `head`.
pub(super) async fn write<K: KeyValue>(
    kv: &K,
    shard: ShardId,
    head: &Head,
    chunks: &[&str],
) -> Result<(), LedgerError> {
    for (index, chunk) in chunks.iter().enumerate() {
        create_with_retry(kv, &key(shard, head, index), chunk).await?;
    }
    Ok(())
}

/// Reads and joins the chunks of `head`; returns `None` if one is missing.
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

/// Deletes the chunks made obsolete by `head`, which must be the stored head:
/// those of other snapshots that are based on the same head as this one or on an
/// earlier head.
///
/// Errors are ignored; the next cleanup deletes the remaining chunks.
pub(super) async fn delete_obsolete<K: KeyValue>(kv: &K, shard: ShardId, head: &Head) {
    let prefix = prefix(shard);
    let own_prefix = format!("{prefix}{}", snapshot_path(head));
    let end_key = format!("{prefix}{:020}", head.base + 1);
    let last_own_key = key(shard, head, head.chunk_count.saturating_sub(1));
    let mut cursor: Option<String> = None;
    loop {
        let result = kv
            .list(&prefix, cursor.as_deref(), CLEANUP_PAGE_ENTRIES)
            .await;
        let Ok(listing) = result else {
            return;
        };
        for entry in &listing.entries {
            if entry.key >= end_key {
                return;
            }
            if entry.key.starts_with(&own_prefix) {
                cursor = Some(last_own_key.clone());
                break;
            }
            let _ = kv.swap(unconditional_delete(&entry.key)).await;
            cursor = Some(entry.key.clone());
        }
        if !listing.more {
            return;
        }
    }
}

/// Creates a key, retrying if the response is lost. The key is unique to this
/// snapshot, so a conflict means that an earlier attempt created it.
async fn create_with_retry<K: KeyValue>(
    kv: &K,
    key: &str,
    value: &str,
) -> Result<(), KeyValueError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match kv.swap(Swap::create(key, value)).await {
            Ok(_) => return Ok(()),
            Err(error) if error.kind() != KeyValueErrorKind::Unknown => return Err(error),
            Err(error) if attempts == MAX_CHUNK_ATTEMPTS => return Err(error),
            Err(_) => {}
        }
    }
}

fn unconditional_delete(key: &str) -> Swap {
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

fn snapshot_path(head: &Head) -> String {
    format!("{:020}/{}/", head.base, head.id)
}

fn key(shard: ShardId, head: &Head, index: usize) -> String {
    format!("{}{}{index:04}", prefix(shard), snapshot_path(head))
}
