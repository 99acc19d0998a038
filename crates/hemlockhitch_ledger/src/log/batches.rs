//! The keys and values of a log.

use hemlockhitch_ports::key_value::{Entry, KeyValue};

use super::LOG_SLOTS;
use crate::record::Batch;
use crate::shard::ShardId;
use crate::{LedgerError, LedgerErrorKind};

/// Batches that one call reads.
const PAGE_ENTRIES: usize = 32;

/// All batches of a log.
#[derive(Debug)]
pub(super) struct ReadBatches {
    /// The batches in order.
    pub(super) batches: Vec<Batch>,
    /// The version of each key, if it exists.
    pub(super) versions: Vec<Option<u64>>,
}

/// Returns the index of the key that the batch at `seq` takes.
pub(super) fn slot(seq: u64) -> usize {
    usize::try_from(seq % LOG_SLOTS).unwrap_or_default()
}

/// Returns the key of the batch at `seq`.
pub(super) fn key(shard: ShardId, seq: u64) -> String {
    format!("{}{:04}", prefix(shard), slot(seq))
}

/// Reads every key of a log.
pub(super) async fn read<K: KeyValue>(kv: &K, shard: ShardId) -> Result<ReadBatches, LedgerError> {
    let prefix = prefix(shard);
    let mut read = ReadBatches {
        batches: Vec::new(),
        versions: vec![None; slot(LOG_SLOTS - 1) + 1],
    };
    let mut after: Option<String> = None;
    loop {
        let listing = kv.list(&prefix, after.as_deref(), PAGE_ENTRIES).await?;
        for entry in &listing.entries {
            let batch = decode(entry)?;
            read.versions[slot(batch.seq)] = Some(entry.version);
            read.batches.push(batch);
        }
        if !listing.more {
            break;
        }
        after = listing.entries.last().map(|entry| entry.key.clone());
    }
    read.batches.sort_by_key(|batch| batch.seq);
    Ok(read)
}

/// Codes a batch as the text of its value.
pub(super) fn encode(batch: &Batch) -> Result<String, LedgerError> {
    serde_json::to_string(batch).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("batch {}: {error}; report this as a fault", batch.seq),
        )
    })
}

/// Reads a batch from its entry.
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
