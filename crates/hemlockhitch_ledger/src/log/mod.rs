//! The log of one shard in the key-value service.
//!
//! The log is a ring of keys that are never deleted: the batch at position
//! `seq` takes the key `seq % LOG_SLOTS`. Every write expects the version that
//! its writer has read from that key, so of two nodes that both believe to own
//! a shard only one can write, however long the other was paused. Deleting old
//! keys instead would let a paused writer create one of them again.

mod batches;
mod layout;

use std::time::Duration;

use hemlockhitch_ports::key_value::{
    Entry, Expected, KeyValue, KeyValueErrorKind, Swap, SwapOutcome,
};
use tokio::time::sleep;

use crate::record::Batch;
use crate::shard::ShardId;
use crate::snapshot::{self, HeadAt};
use crate::state::ShardState;
use crate::{LedgerError, LedgerErrorKind};

/// Number of keys of one log; part of the stored format.
pub const LOG_SLOTS: u64 = 512;

/// How often a log that is being written is read again from its start.
const MAX_READS: u32 = 5;

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
    /// The version of each key, if it exists.
    versions: Vec<Option<u64>>,
    head: Option<HeadAt>,
}

/// A log and the state that it adds up to.
#[derive(Debug)]
pub struct OpenedLog<K> {
    /// The end of the log.
    pub log: ShardLog<K>,
    /// What its records add up to.
    pub state: ShardState,
}

impl<K: KeyValue> ShardLog<K> {
    /// Reads a shard's snapshot and the batches after it.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer, when a record cannot be read, or
    /// when the ledger was created with another number of shards.
    pub async fn open(
        kv: K,
        shard: ShardId,
        shard_count: u16,
    ) -> Result<OpenedLog<K>, LedgerError> {
        layout::check(&kv, shard_count).await?;
        for _ in 0..MAX_READS {
            if let Some(opened) = Self::read_all(&kv, shard).await? {
                return Ok(opened);
            }
        }
        Err(LedgerError::new(
            LedgerErrorKind::Unavailable,
            format!("the log of shard {shard} changes while it is read; retry later"),
        ))
    }

    /// Reads the log once; returns `None` if it changed meanwhile.
    async fn read_all(kv: &K, shard: ShardId) -> Result<Option<OpenedLog<K>>, LedgerError> {
        let Some(restored) = snapshot::read(kv, shard).await? else {
            return Ok(None);
        };
        let mut state = restored.state;
        let mut next_seq = restored.head.as_ref().map_or(0, |at| at.head.seq) + 1;
        let read = batches::read(kv, shard).await?;
        for batch in read.batches {
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
            versions: read.versions,
            head: restored.head,
        };
        Ok(Some(OpenedLog { log, state }))
    }

    /// Returns the position that the next batch takes.
    #[must_use]
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Notes that a snapshot was stored.
    pub fn set_head(&mut self, head: HeadAt) {
        self.head = Some(head);
    }

    /// Returns how many batches lie after the snapshot.
    #[must_use]
    pub fn tail_batches(&self) -> u64 {
        let covered = self.head.as_ref().map_or(0, |at| at.head.seq);
        (self.next_seq - 1).saturating_sub(covered)
    }

    /// Returns whether the next batch would overwrite one that no snapshot
    /// covers.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.tail_batches() >= LOG_SLOTS
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
        let key = batches::key(self.shard, batch.seq);
        let value = batches::encode(batch).map_err(LogError::Failed)?;
        let expected = self.next_version();
        let mut pause = FIRST_RETRY;
        loop {
            let swap = Swap {
                key: key.clone(),
                expected: expected.map_or(Expected::Absent, Expected::Version),
                value: Some(value.clone()),
                lease: None,
            };
            let found = match self.kv.swap(swap).await {
                Ok(SwapOutcome::Written(version)) => Found::Ours(version),
                Ok(SwapOutcome::Conflict(entry)) => after_conflict(batch, entry.as_ref()),
                Err(error) if error.kind() == KeyValueErrorKind::Unavailable => Found::Unwritten,
                Err(_) => self.read_back(batch, &key).await,
            };
            match found {
                Found::Ours(version) => {
                    self.advance(version);
                    return Ok(());
                }
                Found::Other => return Err(LogError::Fenced),
                Found::Unwritten => {}
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
        let key = batches::key(self.shard, self.next_seq);
        let read = self.kv.get(&key).await;
        let entry = read.map_err(|error| LogError::Failed(LedgerError::from(error)))?;
        if entry.map(|entry| entry.version) == self.next_version() {
            return Ok(());
        }
        Err(LogError::Fenced)
    }

    /// Reads the batch at `seq` again, unless it was overwritten.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or the batch cannot be read.
    pub async fn read(&self, seq: u64) -> Result<Option<Batch>, LedgerError> {
        let entry = self.kv.get(&batches::key(self.shard, seq)).await?;
        let batch = entry.as_ref().map(batches::decode).transpose()?;
        Ok(batch.filter(|batch| batch.seq == seq))
    }

    async fn read_back(&self, batch: &Batch, key: &str) -> Found {
        match self.kv.get(key).await {
            Ok(entry) => after_lost_answer(batch, entry.as_ref(), self.next_version()),
            Err(_) => Found::Unwritten,
        }
    }

    /// The version of the key that the next batch takes, if the key exists.
    fn next_version(&self) -> Option<u64> {
        self.versions[batches::slot(self.next_seq)]
    }

    fn advance(&mut self, version: u64) {
        self.versions[batches::slot(self.next_seq)] = Some(version);
        self.next_seq += 1;
    }
}

/// What lies at the key of a batch.
enum Found {
    /// The batch, at this version.
    Ours(u64),
    /// What another node has written.
    Other,
    /// What was there before.
    Unwritten,
}

/// Tells what the entry that a write conflicted with means for `batch`.
fn after_conflict(batch: &Batch, entry: Option<&Entry>) -> Found {
    let Some(entry) = entry else {
        return Found::Other;
    };
    match batches::decode(entry) {
        Ok(present) if present.id == batch.id => Found::Ours(entry.version),
        _ => Found::Other,
    }
}

/// Tells what the entry that is read after a lost answer means for `batch`;
/// `former` is the version of the key before the write.
fn after_lost_answer(batch: &Batch, entry: Option<&Entry>, former: Option<u64>) -> Found {
    if entry.map(|entry| entry.version) == former {
        return Found::Unwritten;
    }
    after_conflict(batch, entry)
}
