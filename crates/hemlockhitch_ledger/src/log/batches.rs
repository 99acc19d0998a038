//! Keys and values of a shard's log.

use hemlockhitch_ports::key_value::{Entry, KeyValue};

use super::LOG_SLOTS;
use crate::record::Batch;
use crate::shard::ShardId;
use crate::{LedgerError, LedgerErrorKind};

/// Number of batches that one list call reads.
const PAGE_ENTRIES: usize = 32;

/// All batches of a log and the versions of its keys.
#[derive(Debug)]
pub(super) struct LogContents {
    /// The batches in order of position.
    pub(super) batches: Vec<Batch>,
    /// The version of each slot's key, or `None` if the key does not exist.
    pub(super) versions: Vec<Option<u64>>,
}

/// Returns the slot of the batch at `seq` in the ring of keys.
pub(super) fn slot(seq: u64) -> usize {
    usize::try_from(seq % LOG_SLOTS).unwrap_or_default()
}

/// Returns the key of the batch at `seq`.
pub(super) fn key(shard: ShardId, seq: u64) -> String {
    format!("{}{:04}", prefix(shard), slot(seq))
}

/// Reads every key of a log.
pub(super) async fn read_all<K: KeyValue>(
    kv: &K,
    shard: ShardId,
) -> Result<LogContents, LedgerError> {
    let prefix = prefix(shard);
    let mut contents = LogContents {
        batches: Vec::new(),
        versions: vec![None; slot(LOG_SLOTS - 1) + 1],
    };
    let mut after: Option<String> = None;
    loop {
        let listing = kv.list(&prefix, after.as_deref(), PAGE_ENTRIES).await?;
        for entry in &listing.entries {
            let batch = decode(entry)?;
            contents.versions[slot(batch.seq)] = Some(entry.version);
            contents.batches.push(batch);
        }
        if !listing.more {
            break;
        }
        after = listing.entries.last().map(|entry| entry.key.clone());
    }
    contents.batches.sort_by_key(|batch| batch.seq);
    Ok(contents)
}

/// Encodes a batch as JSON.
pub(super) fn encode(batch: &Batch) -> Result<String, LedgerError> {
    serde_json::to_string(batch).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("batch {}: {error}; report this as a fault", batch.seq),
        )
    })
}

/// Decodes a batch from its entry.
pub(super) fn decode(entry: &Entry) -> Result<Batch, LedgerError> {
    serde_json::from_str(&entry.value).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("{}: {error}; restore the key from a copy", entry.key),
        )
    })
}

fn prefix(shard: ShardId) -> String {
    format!("ledger/{shard}/log/")
}
