//! Write-ahead log of one shard in the key-value service.
//!
//! The log is a ring buffer of keys that are never deleted: the batch at
//! position `seq` is stored under slot `seq % LOG_SLOTS`. Every write is
//! conditional on the version that the writer last read from that key. If two
//! nodes believe they own the shard, only one can write, however long the other
//! was paused. If old keys were deleted instead, a paused writer could create
//! one of them again.

mod batches;
mod layout;

use std::time::Duration;

use hemlockhitch_ports::key_value::{
    Entry, Expected, KeyValue, KeyValueErrorKind, Swap, SwapOutcome,
};
use tokio::time::sleep;

use crate::record::Batch;
use crate::shard::ShardId;
use crate::snapshot::{self, StoredHead};
use crate::state::ShardState;
use crate::{LedgerError, LedgerErrorKind};

/// Number of slots in a log; part of the stored format.
pub const LOG_SLOTS: u64 = 512;

/// Maximum number of attempts to read a log that changes while it is read.
const MAX_OPEN_ATTEMPTS: u32 = 5;

/// Delay before the first retry of a write.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);

/// Maximum delay between retries of a write.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Error of an operation on a shard's log.
#[derive(Clone, Debug)]
pub enum LogError {
    /// Another node has written to the log; the local state is stale and must be
    /// discarded.
    Fenced,
    /// The store is unavailable, or a batch cannot be encoded.
    Failed(LedgerError),
}

/// Tail of a shard's log as last read or written by this node.
#[derive(Debug)]
pub struct ShardLog<K> {
    kv: K,
    shard: ShardId,
    next_seq: u64,
    /// The version of each slot's key, or `None` if the key does not exist.
    versions: Vec<Option<u64>>,
    head: Option<StoredHead>,
}

/// A log and the state replayed from it.
#[derive(Debug)]
pub struct OpenedLog<K> {
    /// The tail of the log.
    pub log: ShardLog<K>,
    /// The state after its last batch.
    pub state: ShardState,
}

impl<K: KeyValue> ShardLog<K> {
    /// Opens a shard's log: loads the snapshot and replays the batches after it.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, a record cannot be decoded, or the
    /// ledger was created with a different shard count.
    pub async fn open(
        kv: K,
        shard: ShardId,
        shard_count: u16,
    ) -> Result<OpenedLog<K>, LedgerError> {
        layout::verify(&kv, shard_count).await?;
        for _ in 0..MAX_OPEN_ATTEMPTS {
            if let Some(opened) = Self::try_open(&kv, shard).await? {
                return Ok(opened);
            }
        }
        Err(LedgerError::new(
            LedgerErrorKind::Unavailable,
            format!("the log of shard {shard} changes while it is read; retry later"),
        ))
    }

    /// Makes one attempt to open the log; returns `None` if the log changed while
    /// it was read or has a gap.
    async fn try_open(kv: &K, shard: ShardId) -> Result<Option<OpenedLog<K>>, LedgerError> {
        let Some(restored) = snapshot::read(kv, shard).await? else {
            return Ok(None);
        };
        let mut state = restored.state;
        let mut next_seq = restored.head.as_ref().map_or(0, |stored| stored.head.seq) + 1;
        let contents = batches::read_all(kv, shard).await?;
        for batch in contents.batches {
            if batch.seq < next_seq {
                continue;
            }
            if batch.seq > next_seq {
                return Ok(None);
            }
            state.apply(&batch);
            next_seq += 1;
        }
        let log = Self {
            kv: kv.clone(),
            shard,
            next_seq,
            versions: contents.versions,
            head: restored.head,
        };
        Ok(Some(OpenedLog { log, state }))
    }

    /// Returns the position of the next batch.
    #[must_use]
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Sets the head of the latest stored snapshot.
    pub fn set_snapshot_head(&mut self, head: StoredHead) {
        self.head = Some(head);
    }

    /// Returns the number of batches after the latest snapshot.
    #[must_use]
    pub fn tail_batches(&self) -> u64 {
        let covered_seq = self.head.as_ref().map_or(0, |stored| stored.head.seq);
        (self.next_seq - 1).saturating_sub(covered_seq)
    }

    /// Returns whether the next batch would overwrite a batch that is not covered
    /// by a snapshot.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.tail_batches() >= LOG_SLOTS
    }

    /// Appends `batch` to the log, retrying until the outcome is known.
    ///
    /// If a response is lost, the key is read back before the write is retried.
    /// Every retry writes the same batch at the same position.
    ///
    /// # Errors
    ///
    /// Fails if another node has written to the log or the batch cannot be
    /// encoded; the batch is then not in the log.
    pub async fn append(&mut self, batch: &Batch) -> Result<(), LogError> {
        let key = batches::key(self.shard, batch.seq);
        let value = batches::encode(batch).map_err(LogError::Failed)?;
        let expected = self.next_version();
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let swap = Swap {
                key: key.clone(),
                expected: expected.map_or(Expected::Absent, Expected::Version),
                value: Some(value.clone()),
                lease: None,
            };
            let status = match self.kv.swap(swap).await {
                Ok(SwapOutcome::Written(version)) => AppendStatus::Written(version),
                Ok(SwapOutcome::Conflict(entry)) => status_after_conflict(batch, entry.as_ref()),
                Err(error) if error.kind() == KeyValueErrorKind::Unavailable => {
                    AppendStatus::NotWritten
                }
                Err(_) => self.check_written(batch, &key).await,
            };
            match status {
                AppendStatus::Written(version) => {
                    self.record_append(version);
                    return Ok(());
                }
                AppendStatus::Superseded => return Err(LogError::Fenced),
                AppendStatus::NotWritten => {}
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Verifies that no other node has written to the log since it was read.
    ///
    /// # Errors
    ///
    /// Fails if another node has written to the log or the store is unavailable.
    pub async fn verify_current(&self) -> Result<(), LogError> {
        let key = batches::key(self.shard, self.next_seq);
        let result = self.kv.get(&key).await;
        let entry = result.map_err(|error| LogError::Failed(LedgerError::from(error)))?;
        if entry.map(|entry| entry.version) == self.next_version() {
            return Ok(());
        }
        Err(LogError::Fenced)
    }

    /// Reads the batch at `seq`; returns `None` if it was overwritten.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or the batch cannot be decoded.
    pub async fn read_batch(&self, seq: u64) -> Result<Option<Batch>, LedgerError> {
        let entry = self.kv.get(&batches::key(self.shard, seq)).await?;
        let batch = entry.as_ref().map(batches::decode).transpose()?;
        Ok(batch.filter(|batch| batch.seq == seq))
    }

    async fn check_written(&self, batch: &Batch, key: &str) -> AppendStatus {
        match self.kv.get(key).await {
            Ok(entry) => status_after_lost_response(batch, entry.as_ref(), self.next_version()),
            Err(_) => AppendStatus::NotWritten,
        }
    }

    /// Returns the version of the next batch's key, or `None` if the key does not
    /// exist.
    fn next_version(&self) -> Option<u64> {
        self.versions[batches::slot(self.next_seq)]
    }

    fn record_append(&mut self, version: u64) {
        self.versions[batches::slot(self.next_seq)] = Some(version);
        self.next_seq += 1;
    }
}

/// Result of a write, as determined from the key of its batch.
enum AppendStatus {
    /// The batch was written at this version.
    Written(u64),
    /// Another node has written to the key.
    Superseded,
    /// The key is unchanged; the write may be retried.
    NotWritten,
}

/// Classifies the entry found by a conflicting write of `batch`. An earlier
/// attempt may have written the batch.
fn status_after_conflict(batch: &Batch, entry: Option<&Entry>) -> AppendStatus {
    let Some(entry) = entry else {
        return AppendStatus::Superseded;
    };
    match batches::decode(entry) {
        Ok(stored_batch) if stored_batch.id == batch.id => AppendStatus::Written(entry.version),
        _ => AppendStatus::Superseded,
    }
}

/// Classifies the entry read back after the response to a write of `batch` was
/// lost. `previous_version` is the version of the key before the write.
fn status_after_lost_response(
    batch: &Batch,
    entry: Option<&Entry>,
    previous_version: Option<u64>,
) -> AppendStatus {
    if entry.map(|entry| entry.version) == previous_version {
        return AppendStatus::NotWritten;
    }
    status_after_conflict(batch, entry)
}
