//! Snapshots of one shard, stored while the shard goes on.

use std::time::Duration;

use hemlockhitch_ports::key_value::KeyValue;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::LedgerError;
use crate::log::{LOG_SLOTS, ShardLog};
use crate::shard::ShardId;
use crate::snapshot::{self, HeadAt};
use crate::state::ShardState;

/// Most batches after which a snapshot is started, so that it is stored before
/// the log has gone round.
const MAX_TAIL_BATCHES: u64 = LOG_SLOTS / 2;

/// How long a full log waits before its snapshot is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The snapshot of one shard that is being stored, if any.
#[derive(Debug)]
pub(super) struct Snapshots {
    shard: ShardId,
    due_batches: u64,
    running: Option<JoinHandle<Result<HeadAt, LedgerError>>>,
}

impl Snapshots {
    /// Creates the keeper of a shard's snapshots, one every `due_batches`.
    pub(super) fn new(shard: ShardId, due_batches: u64) -> Self {
        Self {
            shard,
            due_batches: due_batches.clamp(1, MAX_TAIL_BATCHES),
            running: None,
        }
    }

    /// Whether a snapshot should be started.
    pub(super) fn is_due<K: KeyValue>(&self, log: &ShardLog<K>) -> bool {
        self.running.is_none() && log.tail_batches() >= self.due_batches
    }

    /// Starts to store `state`, which adds up every batch of `log`.
    pub(super) fn start<K: KeyValue>(&mut self, kv: &K, log: &ShardLog<K>, state: &ShardState) {
        let (kv, shard) = (kv.clone(), self.shard);
        let content = state.content();
        let seq = log.next_seq() - 1;
        self.running = Some(tokio::spawn(async move {
            snapshot::write(&kv, shard, &content, seq).await
        }));
    }

    /// Notes a snapshot that has been stored meanwhile; waits for it if the log
    /// is full.
    pub(super) async fn collect<K: KeyValue>(&mut self, log: &mut ShardLog<K>) {
        let is_done = self.running.as_ref().is_some_and(JoinHandle::is_finished);
        if is_done || log.is_full() {
            self.wait(log).await;
        }
    }

    /// Waits for the snapshot that is being stored; pauses after a failure.
    pub(super) async fn wait<K: KeyValue>(&mut self, log: &mut ShardLog<K>) {
        let Some(running) = self.running.take() else {
            return;
        };
        match running.await {
            Ok(Ok(head)) => return log.set_head(head),
            Ok(Err(error)) => {
                tracing::warn!(event = "HH0507", shard = %self.shard, %error, "snapshot not stored");
            }
            Err(error) => {
                tracing::error!(event = "HH0508", shard = %self.shard, %error, "snapshot failed");
            }
        }
        if log.is_full() {
            sleep(RETRY_PAUSE).await;
        }
    }
}

impl Drop for Snapshots {
    fn drop(&mut self) {
        if let Some(running) = &self.running {
            running.abort();
        }
    }
}
