//! Stores snapshots of a shard in the background while it serves calls.

use std::time::Duration;

use hemlockhitch_ports::key_value::KeyValue;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::LedgerError;
use crate::log::{LOG_SLOTS, ShardLog};
use crate::shard::ShardId;
use crate::snapshot::{self, StoredHead};
use crate::state::ShardState;

/// Upper bound of the snapshot interval, so that a snapshot is stored before the
/// log wraps around.
const MAX_TAIL_BATCHES: u64 = LOG_SLOTS / 2;

/// Delay before a failed snapshot of a full log is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Starts the snapshots of one shard and tracks the one in progress.
#[derive(Debug)]
pub(super) struct Snapshotter {
    shard: ShardId,
    interval_batches: u64,
    running: Option<JoinHandle<Result<StoredHead, LedgerError>>>,
}

impl Snapshotter {
    /// Creates a snapshotter that is due every `interval_batches` batches.
    pub(super) fn new(shard: ShardId, interval_batches: u64) -> Self {
        Self {
            shard,
            interval_batches: interval_batches.clamp(1, MAX_TAIL_BATCHES),
            running: None,
        }
    }

    /// Returns whether a snapshot should be started.
    pub(super) fn is_due<K: KeyValue>(&self, log: &ShardLog<K>) -> bool {
        self.running.is_none() && log.tail_batches() >= self.interval_batches
    }

    /// Starts storing `state`, which must cover every batch of `log`.
    pub(super) fn start<K: KeyValue>(&mut self, kv: &K, log: &ShardLog<K>, state: &ShardState) {
        let (kv, shard) = (kv.clone(), self.shard);
        let content = state.to_snapshot();
        let seq = log.next_seq() - 1;
        self.running = Some(tokio::spawn(async move {
            snapshot::write(&kv, shard, &content, seq).await
        }));
    }

    /// Collects the result of a finished snapshot; if the log is full, waits for
    /// the snapshot to finish.
    pub(super) async fn collect_finished<K: KeyValue>(&mut self, log: &mut ShardLog<K>) {
        let is_done = self.running.as_ref().is_some_and(JoinHandle::is_finished);
        if is_done || log.is_full() {
            self.wait_running(log).await;
        }
    }

    /// Waits for the snapshot in progress. Delays after a failure if the log is
    /// full.
    pub(super) async fn wait_running<K: KeyValue>(&mut self, log: &mut ShardLog<K>) {
        let Some(running) = self.running.take() else {
            return;
        };
        match running.await {
            Ok(Ok(head)) => return log.set_snapshot_head(head),
            Ok(Err(error)) => {
                tracing::warn!(event = "HH0507", shard = %self.shard, %error, "failed to store snapshot");
            }
            Err(error) => {
                tracing::error!(event = "HH0508", shard = %self.shard, %error, "snapshot task failed");
            }
        }
        if log.is_full() {
            sleep(RETRY_DELAY).await;
        }
    }
}

impl Drop for Snapshotter {
    fn drop(&mut self) {
        if let Some(running) = &self.running {
            running.abort();
        }
    }
}
