//! Task of one shard: queues calls, writes them in batches and sends the replies.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_ports::key_value::KeyValue;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use super::queue::{CallQueue, PendingCall};
use super::rate_limit::RateLimiter;
use super::reply::{self, PendingReply, ReplyContent};
use super::snapshotter::Snapshotter;
use crate::LedgerError;
use crate::call::LedgerReply;
use crate::log::{LogError, ShardLog};
use crate::record::{Batch, BatchId, Record};
use crate::settings::LedgerSettings;
use crate::shard::{ShardDirectory, ShardId, ShardOwner};
use crate::state::{Decision, ShardState};

/// Interval at which an idle shard checks that this node still owns it.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Rate limit of the reads with which one shard verifies that its state is
/// current.
const MAX_VERIFY_READS_PER_S: u32 = 50;

/// How long a shard declines calls after an error before it is opened again.
const FAILED_BACKOFF: Duration = Duration::from_millis(250);

/// How long a fenced shard declines calls. Without the pause, two nodes that both
/// believe they own the shard would fence each other on every call.
const FENCED_BACKOFF: Duration = Duration::from_millis(50);

/// Minimum interval between two scans of a full shard for expired claims, in
/// milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// Dependencies of a shard's task.
#[derive(Debug)]
pub(super) struct ShardTask<K, C, O> {
    kv: K,
    clock: C,
    directory: O,
    settings: Arc<LedgerSettings>,
    shard: ShardId,
}

/// A shard whose log has been replayed.
#[derive(Debug)]
struct LoadedShard<K> {
    log: ShardLog<K>,
    state: ShardState,
    snapshotter: Snapshotter,
    /// Whether this owner has written its `Opened` record since it replayed the
    /// log.
    has_opened_record: bool,
    /// Earliest time of the next scan for expired claims while the shard is full.
    next_prune_mono_ms: u64,
}

impl<K: KeyValue, C: Clock, O: ShardDirectory> ShardTask<K, C, O> {
    pub(super) fn new(
        kv: K,
        clock: C,
        directory: O,
        settings: Arc<LedgerSettings>,
        shard: ShardId,
    ) -> Self {
        Self {
            kv,
            clock,
            directory,
            settings,
            shard,
        }
    }

    /// Serves calls until the channel closes, another node writes to the log, or
    /// the shard is idle and this node no longer owns it.
    ///
    /// A caller whose reply channel is dropped is told that this node is not the
    /// owner.
    pub(super) async fn run(self, mut calls: mpsc::Receiver<PendingCall>) {
        let shard_count = self.settings.shard_count;
        let opened = match ShardLog::open(self.kv.clone(), self.shard, shard_count).await {
            Ok(opened) => opened,
            Err(error) => return self.decline_with_error(&mut calls, &error).await,
        };
        let mut loaded = LoadedShard {
            log: opened.log,
            state: opened.state,
            snapshotter: Snapshotter::new(self.shard, self.settings.snapshot_interval_batches),
            has_opened_record: false,
            next_prune_mono_ms: 0,
        };
        match self.serve(&mut loaded, &mut calls).await {
            Ok(()) => {}
            Err(LogError::Fenced) => {
                tracing::info!(event = "HH0501", shard = %self.shard, "shard fenced: another node wrote to its log");
                decline_calls(&mut calls, &LedgerReply::NotOwner, FENCED_BACKOFF).await;
            }
            Err(LogError::Failed(error)) => self.decline_with_error(&mut calls, &error).await,
        }
    }

    async fn decline_with_error(
        &self,
        calls: &mut mpsc::Receiver<PendingCall>,
        error: &LedgerError,
    ) {
        tracing::warn!(event = "HH0502", shard = %self.shard, %error, "shard unavailable; declining calls");
        decline_calls(calls, &LedgerReply::failed(error), FAILED_BACKOFF).await;
    }

    async fn serve(
        &self,
        loaded: &mut LoadedShard<K>,
        calls: &mut mpsc::Receiver<PendingCall>,
    ) -> Result<(), LogError> {
        let mut queue = CallQueue::new(&self.settings);
        let writes_per_s = self.settings.shard_writes_per_s();
        let mut write_limiter = RateLimiter::new(writes_per_s, self.settings.burst_writes);
        let mut read_limiter = RateLimiter::new(MAX_VERIFY_READS_PER_S, MAX_VERIFY_READS_PER_S);
        while self.wait_for_calls(&mut queue, calls).await {
            enqueue_while(&mut queue, calls, write_limiter.acquire()).await;
            let batch_calls = queue.take_batch(self.settings.max_batch_bytes);
            let (batch, replies) = self.build_batch(loaded, batch_calls);
            if batch.records.is_empty() {
                write_limiter.refund();
                let replied = reply_if_current(&loaded.log, &mut read_limiter, replies);
                enqueue_while(&mut queue, calls, replied).await?;
                continue;
            }
            enqueue_while(&mut queue, calls, loaded.log.append(&batch)).await?;
            enqueue_while(&mut queue, calls, reply::send_all(&loaded.log, replies)).await;
            enqueue_while(&mut queue, calls, self.maybe_snapshot(loaded)).await;
        }
        Ok(())
    }

    /// Waits until the next batch is due. Returns `false` if the task should end.
    async fn wait_for_calls(
        &self,
        queue: &mut CallQueue,
        calls: &mut mpsc::Receiver<PendingCall>,
    ) -> bool {
        while queue.is_empty() {
            match timeout(OWNER_CHECK_INTERVAL, calls.recv()).await {
                Ok(Some(pending_call)) => queue.push(pending_call),
                Ok(None) => return false,
                Err(_) if self.is_owner() => {}
                Err(_) => return false,
            }
        }
        let deadline = Instant::now() + Duration::from_millis(self.settings.bill_linger_ms);
        while queue.may_linger(&self.settings) {
            match timeout_at(deadline, calls.recv()).await {
                Ok(Some(pending_call)) => queue.push(pending_call),
                Ok(None) | Err(_) => break,
            }
        }
        while let Ok(pending_call) = calls.try_recv() {
            queue.push(pending_call);
        }
        true
    }

    /// Starts a snapshot if one is due. While the log is full, waits until a
    /// snapshot is stored.
    async fn maybe_snapshot(&self, loaded: &mut LoadedShard<K>) {
        let LoadedShard {
            log,
            state,
            snapshotter,
            ..
        } = loaded;
        snapshotter.collect_finished(log).await;
        while snapshotter.is_due(log) {
            state.prune(&self.settings, self.clock.now());
            snapshotter.start(&self.kv, log, state);
            if !log.is_full() {
                return;
            }
            snapshotter.wait_running(log).await;
        }
    }

    fn is_owner(&self) -> bool {
        self.directory.owner(self.shard, self.clock.now()) == ShardOwner::Local
    }

    /// Decides the calls in order and applies their records to the state.
    ///
    /// The state is discarded if the batch cannot be written.
    fn build_batch(
        &self,
        loaded: &mut LoadedShard<K>,
        batch_calls: Vec<PendingCall>,
    ) -> (Batch, Vec<PendingReply>) {
        let now = self.clock.now();
        if loaded.state.is_full(&self.settings) && now.mono_ms >= loaded.next_prune_mono_ms {
            loaded.next_prune_mono_ms = now.mono_ms + PRUNE_INTERVAL_MS;
            loaded.state.prune(&self.settings, now);
        }
        let seq = loaded.log.next_seq();
        let mut records = Vec::new();
        let mut replies = Vec::new();
        for pending_call in batch_calls {
            let content = match loaded.state.decide(pending_call.call, &self.settings, now) {
                Decision::Write(record, reply) => {
                    self.add_opened_record(loaded, &mut records);
                    loaded.state.apply_record(&record, seq);
                    records.push(record);
                    ReplyContent::Ready(reply)
                }
                Decision::Reply(reply) => ReplyContent::Ready(reply),
                Decision::ReadBill(recorded) => ReplyContent::Read(recorded),
            };
            replies.push(PendingReply {
                reply: pending_call.reply,
                content,
            });
        }
        let batch = Batch {
            id: BatchId::random(),
            seq,
            records,
        };
        (batch, replies)
    }

    /// Adds an `Opened` record to the first batch that this owner writes.
    fn add_opened_record(&self, loaded: &mut LoadedShard<K>, records: &mut Vec<Record>) {
        if loaded.has_opened_record {
            return;
        }
        loaded.has_opened_record = true;
        let record = Record::Opened {
            owner: self.settings.node.clone(),
            epoch: loaded.state.epoch() + 1,
        };
        loaded.state.apply_record(&record, loaded.log.next_seq());
        records.push(record);
    }
}

/// Sends replies that need no write, after verifying that the log is current.
async fn reply_if_current<K: KeyValue>(
    log: &ShardLog<K>,
    limiter: &mut RateLimiter,
    replies: Vec<PendingReply>,
) -> Result<(), LogError> {
    limiter.acquire().await;
    match log.verify_current().await {
        Ok(()) => reply::send_all(log, replies).await,
        Err(LogError::Fenced) => return Err(LogError::Fenced),
        Err(LogError::Failed(error)) => reply::fail(replies, &error),
    }
    Ok(())
}

/// Queues incoming calls while `work` runs.
async fn enqueue_while<T>(
    queue: &mut CallQueue,
    calls: &mut mpsc::Receiver<PendingCall>,
    work: impl Future<Output = T>,
) -> T {
    tokio::pin!(work);
    let mut is_open = true;
    loop {
        tokio::select! {
            biased;
            done = &mut work => return done,
            pending_call = calls.recv(), if is_open => match pending_call {
                Some(pending_call) => queue.push(pending_call),
                None => is_open = false,
            },
        }
    }
}

/// Answers every call with `reply` for `duration`, then closes the channel.
async fn decline_calls(
    calls: &mut mpsc::Receiver<PendingCall>,
    reply: &LedgerReply,
    duration: Duration,
) {
    let end = Instant::now() + duration;
    while let Ok(Some(pending_call)) = timeout_at(end, calls.recv()).await {
        let _ = pending_call.reply.send(reply.clone());
    }
    calls.close();
    while let Ok(pending_call) = calls.try_recv() {
        let _ = pending_call.reply.send(reply.clone());
    }
}
