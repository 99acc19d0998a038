//! Snapshots of a shard's state, which let its log overwrite old batches.
//!
//! A snapshot is a text, split over chunk keys that are written once, and a
//! head key that names the chunks. The head is replaced only at the version
//! that its writer knows, and a chunk's key names the head that it is meant to
//! replace, so chunks that can no longer be used are told from those in use.

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

/// How often a head whose answer was lost is written again.
const MAX_HEAD_TRIES: u32 = 10;

/// Names a snapshot and its chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Head {
    /// Identifies the snapshot.
    pub id: BatchId,
    /// The version of the head that it replaced, or 0.
    pub base: u64,
    /// The position of the last batch that it covers.
    pub seq: u64,
    /// Number of its chunks.
    pub chunk_count: usize,
}

/// A head and its version in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadAt {
    /// The head.
    pub head: Head,
    /// The version of its key.
    pub version: u64,
}

/// A state that was read from a snapshot.
#[derive(Debug)]
pub struct Restored {
    /// The state; it is empty if there is no snapshot.
    pub state: ShardState,
    /// The snapshot.
    pub head: Option<HeadAt>,
}

/// Reads a shard's snapshot; returns `None` if it was replaced meanwhile.
///
/// # Errors
///
/// Fails when the store does not answer or the snapshot cannot be read.
pub async fn read<K: KeyValue>(kv: &K, shard: ShardId) -> Result<Option<Restored>, LedgerError> {
    let Some(at) = read_head(kv, shard).await? else {
        return Ok(Some(Restored {
            state: ShardState::default(),
            head: None,
        }));
    };
    let Some(text) = chunks::read(kv, shard, &at.head).await? else {
        return missing(kv, shard, &at).await;
    };
    let content: SnapshotContent = serde_json::from_str(&text).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("snapshot of shard {shard}: {error}; restore its keys from a copy"),
        )
    })?;
    Ok(Some(Restored {
        state: ShardState::from(content),
        head: Some(at),
    }))
}

/// Stores `content`, which covers the batches up to `seq`, and returns the head
/// that is in place: the new one, or a former one that covers as much.
///
/// # Errors
///
/// Fails when the store does not answer or another node stores a snapshot at
/// the same time; the log then stays as it is.
pub async fn write<K: KeyValue>(
    kv: &K,
    shard: ShardId,
    content: &SnapshotContent,
    seq: u64,
) -> Result<HeadAt, LedgerError> {
    let former = read_head(kv, shard).await?;
    if let Some(former) = former.as_ref().filter(|former| former.head.seq >= seq) {
        return Ok(former.clone());
    }
    let text = serde_json::to_string(content).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("snapshot of shard {shard}: {error}; report this as a fault"),
        )
    })?;
    let parts = chunks::split(&text);
    let head = Head {
        id: BatchId::random(),
        base: former.map_or(0, |former| former.version),
        seq,
        chunk_count: parts.len(),
    };
    chunks::write(kv, shard, &head, &parts).await?;
    let version = replace_head(kv, shard, &head).await?;
    chunks::sweep(kv, shard, &head).await;
    Ok(HeadAt { head, version })
}

/// Tells whether chunks are missing because the snapshot was replaced.
async fn missing<K: KeyValue>(
    kv: &K,
    shard: ShardId,
    at: &HeadAt,
) -> Result<Option<Restored>, LedgerError> {
    if read_head(kv, shard).await?.as_ref() != Some(at) {
        return Ok(None);
    }
    Err(LedgerError::new(
        LedgerErrorKind::Corrupt,
        format!("the snapshot of shard {shard} lacks a chunk; restore its keys from a copy"),
    ))
}

/// Reads the head of a shard's snapshot.
async fn read_head<K: KeyValue>(kv: &K, shard: ShardId) -> Result<Option<HeadAt>, LedgerError> {
    let entry = kv.get(&head_key(shard)).await?;
    entry.as_ref().map(decode_head).transpose()
}

/// Writes the head in place of its base, and resolves lost answers.
async fn replace_head<K: KeyValue>(
    kv: &K,
    shard: ShardId,
    head: &Head,
) -> Result<u64, LedgerError> {
    let key = head_key(shard);
    let value = serde_json::to_string(head).unwrap_or_default();
    for _ in 0..MAX_HEAD_TRIES {
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
            Ok(SwapOutcome::Conflict(entry)) => return conflict(shard, head, entry.as_ref()),
            Err(error) if error.kind() == KeyValueErrorKind::Unknown => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(LedgerError::new(
        LedgerErrorKind::Unavailable,
        format!("the snapshot of shard {shard} was not confirmed; it is tried again"),
    ))
}

/// The head is in place if an earlier try, whose answer was lost, wrote it.
fn conflict(shard: ShardId, head: &Head, entry: Option<&Entry>) -> Result<u64, LedgerError> {
    let present = entry.map(decode_head).transpose()?;
    match present {
        Some(at) if at.head == *head => Ok(at.version),
        _ => Err(LedgerError::new(
            LedgerErrorKind::Unavailable,
            format!("another node has stored a snapshot of shard {shard}; read it first"),
        )),
    }
}

fn decode_head(entry: &Entry) -> Result<HeadAt, LedgerError> {
    let head = serde_json::from_str(&entry.value).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("{}: {error}; restore the key from a copy", entry.key),
        )
    })?;
    Ok(HeadAt {
        head,
        version: entry.version,
    })
}

fn head_key(shard: ShardId) -> String {
    format!("ledger/{shard}/snapshot/head")
}
