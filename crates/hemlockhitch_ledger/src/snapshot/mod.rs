//! Snapshots of a shard's state, which allow its log to overwrite old batches.
//!
//! A snapshot consists of immutable chunk keys and a head key that refers to
//! them. The head is replaced by compare-and-swap on its version. A chunk's key
//! contains the version of the head that its snapshot replaces, which tells
//! obsolete chunks from those that are or may still come into use.

mod chunks;
mod content;

use hemlockhitch_ports::key_value::{
    Entry, Expected, KeyValue, KeyValueErrorKind, Swap, SwapOutcome,
};
use serde::{Deserialize, Serialize};

use crate::record::BatchId;
use crate::shard::ShardId;
use crate::state::ShardState;
use crate::{LedgerError, LedgerErrorKind};

pub use content::{ClaimEntry, RecordedBill, SnapshotContent};

/// Maximum number of attempts to write a head when responses are lost.
const MAX_HEAD_ATTEMPTS: u32 = 10;

/// Identifies a snapshot and its chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Head {
    /// Unique id of the snapshot.
    pub id: BatchId,
    /// The store version of the head that it replaced, or 0 for the first one.
    pub base: u64,
    /// The position of the last batch covered by the snapshot.
    pub seq: u64,
    /// Number of chunks.
    pub chunk_count: usize,
}

/// A head and the version of its key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// The head.
    pub head: Head,
    /// The version of its key.
    pub version: u64,
}

/// State loaded from a snapshot.
#[derive(Debug)]
pub struct RestoredSnapshot {
    /// The state, or an empty one if there is no snapshot.
    pub state: ShardState,
    /// The head of the snapshot, if there is one.
    pub head: Option<StoredHead>,
}

/// Loads a shard's snapshot; returns `None` if it was replaced while it was read.
///
/// # Errors
///
/// Fails if the store is unavailable or the snapshot cannot be decoded.
pub async fn read<K: KeyValue>(
    kv: &K,
    shard: ShardId,
) -> Result<Option<RestoredSnapshot>, LedgerError> {
    let Some(stored) = read_head(kv, shard).await? else {
        return Ok(Some(RestoredSnapshot {
            state: ShardState::default(),
            head: None,
        }));
    };
    let Some(text) = chunks::read(kv, shard, &stored.head).await? else {
        return resolve_missing_chunk(kv, shard, &stored).await;
    };
    let content: SnapshotContent = serde_json::from_str(&text).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("snapshot of shard {shard}: {error}; restore its keys from a copy"),
        )
    })?;
    Ok(Some(RestoredSnapshot {
        state: ShardState::from(content),
        head: Some(stored),
    }))
}

/// Stores `content`, which covers the batches up to `seq`.
///
/// Returns the current head: the new one, or an existing one that already covers
/// `seq`.
///
/// # Errors
///
/// Fails if the store is unavailable or another node stores a snapshot
/// concurrently; the log is not affected.
pub async fn write<K: KeyValue>(
    kv: &K,
    shard: ShardId,
    content: &SnapshotContent,
    seq: u64,
) -> Result<StoredHead, LedgerError> {
    let previous = read_head(kv, shard).await?;
    if let Some(previous) = previous
        .as_ref()
        .filter(|previous| previous.head.seq >= seq)
    {
        return Ok(previous.clone());
    }
    let text = serde_json::to_string(content).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("cannot encode the snapshot of shard {shard}: {error}; report this as a bug"),
        )
    })?;
    let chunk_texts = chunks::split(&text);
    let head = Head {
        id: BatchId::random(),
        base: previous.map_or(0, |previous| previous.version),
        seq,
        chunk_count: chunk_texts.len(),
    };
    chunks::write(kv, shard, &head, &chunk_texts).await?;
    let version = replace_head(kv, shard, &head).await?;
    chunks::delete_obsolete(kv, shard, &head).await;
    Ok(StoredHead { head, version })
}

/// Returns `None` if a chunk is missing because the snapshot was replaced, and
/// otherwise an error.
async fn resolve_missing_chunk<K: KeyValue>(
    kv: &K,
    shard: ShardId,
    stored: &StoredHead,
) -> Result<Option<RestoredSnapshot>, LedgerError> {
    if read_head(kv, shard).await?.as_ref() != Some(stored) {
        return Ok(None);
    }
    Err(LedgerError::new(
        LedgerErrorKind::Corrupt,
        format!("the snapshot of shard {shard} lacks a chunk; restore its keys from a copy"),
    ))
}

/// Reads the head of a shard's snapshot.
async fn read_head<K: KeyValue>(kv: &K, shard: ShardId) -> Result<Option<StoredHead>, LedgerError> {
    let entry = kv.get(&head_key(shard)).await?;
    entry.as_ref().map(decode_head).transpose()
}

/// Replaces the base of `head` by `head`, retrying if the response is lost.
/// Returns the version of the key.
async fn replace_head<K: KeyValue>(
    kv: &K,
    shard: ShardId,
    head: &Head,
) -> Result<u64, LedgerError> {
    let key = head_key(shard);
    let value = serde_json::to_string(head).unwrap_or_default();
    for _ in 0..MAX_HEAD_ATTEMPTS {
        let expected = match head.base {
            0 => Expected::Absent,
            version => Expected::Version(version),
        };
        let swap = Swap {
            key: key.clone(),
            expected,
            value: Some(value.clone()),
            lease: None,
        };
        match kv.swap(swap).await {
            Ok(SwapOutcome::Written(version)) => return Ok(version),
            Ok(SwapOutcome::Conflict(entry)) => {
                return resolve_conflict(shard, head, entry.as_ref());
            }
            Err(error) if error.kind() == KeyValueErrorKind::Unknown => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(LedgerError::new(
        LedgerErrorKind::Unavailable,
        format!(
            "the write of the snapshot head of shard {shard} was not confirmed; it will be retried"
        ),
    ))
}

/// Returns the version of `head` if an earlier attempt, whose response was lost,
/// wrote it.
fn resolve_conflict(
    shard: ShardId,
    head: &Head,
    entry: Option<&Entry>,
) -> Result<u64, LedgerError> {
    let current = entry.map(decode_head).transpose()?;
    match current {
        Some(stored) if stored.head == *head => Ok(stored.version),
        _ => Err(LedgerError::new(
            LedgerErrorKind::Unavailable,
            format!("another node has stored a snapshot of shard {shard}; read that one first"),
        )),
    }
}

fn decode_head(entry: &Entry) -> Result<StoredHead, LedgerError> {
    let head = serde_json::from_str(&entry.value).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("{}: {error}; restore the key from a copy", entry.key),
        )
    })?;
    Ok(StoredHead {
        head,
        version: entry.version,
    })
}

fn head_key(shard: ShardId) -> String {
    format!("ledger/{shard}/snapshot/head")
}
