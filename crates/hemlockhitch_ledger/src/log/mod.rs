//! The log of one shard in the key-value service.
//!
//! Every write expects the state of the log that the writer has read, so of two
//! nodes that both believe to own a shard only one can write.

use std::time::Duration;

use hemlockhitch_platform::key_value::{
    Entry, KeyValue, KeyValueError, KeyValueErrorKind, Swap, SwapOutcome,
};
use tokio::time::sleep;

use crate::record::Batch;
use crate::shard::ShardId;
use crate::state::ShardState;
use crate::{LedgerError, LedgerErrorKind};

/// Batches that one call reads while a log is replayed.
const REPLAY_PAGE_ENTRIES: usize = 32;

/// The first pause before a write is tried again.
const FIRST_RETRY: Duration = Duration::from_millis(5);

/// The longest pause before a write is tried again.
const MAX_RETRY: Duration = Duration::from_millis(500);

/// Why the log of a shard cannot be used.
#[derive(Clone, Debug)]
pub enum LogError {
    /// Another node has written; the state is out of date and is dropped.
    Fenced,
    /// The store does not answer, or a batch cannot be coded.
    Failed(LedgerError),
}

/// The end of a shard's log, as far as this node has read it.
#[derive(Debug)]
pub struct ShardLog<K> {
    kv: K,
    shard: ShardId,
    next_seq: u64,
}

impl<K: KeyValue> ShardLog<K> {
    /// Reads a shard's log and returns its end and the state it adds up to.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or a batch cannot be read.
    pub async fn open(kv: K, shard: ShardId) -> Result<(Self, ShardState), LedgerError> {
        let mut state = ShardState::default();
        let mut log = Self {
            kv,
            shard,
            next_seq: 1,
        };
        let prefix = log.prefix();
        let mut after: Option<String> = None;
        loop {
            let listing = log
                .kv
                .list(&prefix, after.as_deref(), REPLAY_PAGE_ENTRIES)
                .await
                .map_err(|error| unavailable(&error))?;
            for entry in &listing.entries {
                let batch = decode(entry)?;
                state.apply(&batch);
                log.next_seq = batch.seq + 1;
            }
            if !listing.more {
                return Ok((log, state));
            }
            after = listing.entries.last().map(|entry| entry.key.clone());
        }
    }

    /// Returns the position that the next batch takes.
    #[must_use]
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Writes `batch` as the next one, however long that takes.
    ///
    /// A lost answer is resolved by reading back before the write is tried
    /// again, always with the same batch at the same position.
    ///
    /// # Errors
    ///
    /// Fails when another node has written; the batch is then not in the log.
    pub async fn append(&mut self, batch: &Batch) -> Result<(), LogError> {
        let key = self.key(batch.seq);
        let value = encode(batch).map_err(LogError::Failed)?;
        let mut pause = FIRST_RETRY;
        loop {
            let swap = Swap::create(key.as_str(), value.as_str());
            let found = match self.kv.swap(swap).await {
                Ok(SwapOutcome::Written(_)) => Found::Ours,
                Ok(SwapOutcome::Conflict(entry)) => find(batch, entry.as_ref(), Found::Other),
                Err(error) if error.kind() == KeyValueErrorKind::Unavailable => Found::Absent,
                Err(_) => self.read_back(batch, &key).await,
            };
            match found {
                Found::Ours => {
                    self.next_seq = batch.seq + 1;
                    return Ok(());
                }
                Found::Other => return Err(LogError::Fenced),
                Found::Absent => {}
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY);
        }
    }

    /// Confirms that no other node has written since the log was read.
    ///
    /// # Errors
    ///
    /// Fails when another node has written or the store does not answer.
    pub async fn confirm(&self) -> Result<(), LogError> {
        let read = self.kv.get(&self.key(self.next_seq)).await;
        match read.map_err(|error| LogError::Failed(unavailable(&error)))? {
            None => Ok(()),
            Some(_) => Err(LogError::Fenced),
        }
    }

    /// Reads the batch at `seq` again.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or the batch cannot be read.
    pub async fn read(&self, seq: u64) -> Result<Option<Batch>, LedgerError> {
        let entry = self
            .kv
            .get(&self.key(seq))
            .await
            .map_err(|error| unavailable(&error))?;
        entry.as_ref().map(decode).transpose()
    }

    async fn read_back(&self, batch: &Batch, key: &str) -> Found {
        match self.kv.get(key).await {
            Ok(entry) => find(batch, entry.as_ref(), Found::Absent),
            Err(_) => Found::Absent,
        }
    }

    fn prefix(&self) -> String {
        format!("ledger/{}/log/", self.shard)
    }

    fn key(&self, seq: u64) -> String {
        format!("ledger/{}/log/{seq:020}", self.shard)
    }
}

/// What lies at the position of a batch.
enum Found {
    Ours,
    Other,
    Absent,
}

fn find(batch: &Batch, entry: Option<&Entry>, when_absent: Found) -> Found {
    match entry.map(decode) {
        None => when_absent,
        Some(Ok(present)) if present.id == batch.id => Found::Ours,
        Some(_) => Found::Other,
    }
}

fn encode(batch: &Batch) -> Result<String, LedgerError> {
    serde_json::to_string(batch).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("batch {}: {error}; report this as a fault", batch.seq),
        )
    })
}

fn decode(entry: &Entry) -> Result<Batch, LedgerError> {
    serde_json::from_str(&entry.value).map_err(|error| {
        LedgerError::new(
            LedgerErrorKind::Corrupt,
            format!("{}: {error}; restore the key from a copy", entry.key),
        )
    })
}

fn unavailable(error: &KeyValueError) -> LedgerError {
    LedgerError::new(
        LedgerErrorKind::Unavailable,
        format!("{error}; retry later"),
    )
}
