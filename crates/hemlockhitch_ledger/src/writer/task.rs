//! The task of one shard: takes calls, writes batches, sends replies.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_ports::key_value::KeyValue;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use super::queue::{Pending, Waiting};
use super::rate_limit::Pace;
use super::reply::{self, Answer, Due};
use super::snapshotter::Snapshots;
use crate::LedgerError;
use crate::call::LedgerReply;
use crate::log::{LogError, ShardLog};
use crate::record::{Batch, BatchId, Record};
use crate::settings::LedgerSettings;
use crate::shard::{ShardId, ShardOwner, ShardOwners};
use crate::state::{Decision, ShardState};

/// How often an idle shard asks whether it still belongs to this node.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Reads by which one shard may confirm each second that its state is current.
const READS_PER_S: u32 = 50;

/// How long a shard whose log cannot be read declines calls before the next try.
const FAILED_PAUSE: Duration = Duration::from_millis(250);

/// How long a shard that another node has written declines calls, so that two
/// nodes that both believe to own it do not take turns at every call.
const FENCED_PAUSE: Duration = Duration::from_millis(50);

/// The shortest time between two searches of a full shard for claims that have
/// expired, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// Everything that the task of one shard needs.
#[derive(Debug)]
pub(super) struct ShardTask<K, C, O> {
    kv: K,
    clock: C,
    owners: O,
    settings: Arc<LedgerSettings>,
    shard: ShardId,
}

/// A shard whose log has been read.
#[derive(Debug)]
struct Opened<K> {
    log: ShardLog<K>,
    state: ShardState,
    snapshots: Snapshots,
    /// Whether this owner has written since it read the log.
    announced: bool,
    /// When a full shard next looks for claims that have expired.
    next_prune_mono_ms: u64,
}

impl<K: KeyValue, C: Clock, O: ShardOwners> ShardTask<K, C, O> {
    pub(super) fn new(
        kv: K,
        clock: C,
        owners: O,
        settings: Arc<LedgerSettings>,
        shard: ShardId,
    ) -> Self {
        Self {
            kv,
            clock,
            owners,
            settings,
            shard,
        }
    }

    /// Serves calls until the channel closes, another node writes the log, or
    /// the shard is idle and belongs to another node.
    ///
    /// Callers whose replies are dropped learn that the node is not the owner.
    pub(super) async fn run(self, mut calls: mpsc::Receiver<Waiting>) {
        let shard_count = self.settings.shard_count;
        let opened = match ShardLog::open(self.kv.clone(), self.shard, shard_count).await {
            Ok(opened) => opened,
            Err(error) => return self.fail(&mut calls, &error).await,
        };
        let mut open = Opened {
            log: opened.log,
            state: opened.state,
            snapshots: Snapshots::new(self.shard, self.settings.snapshot_batches),
            announced: false,
            next_prune_mono_ms: 0,
        };
        match self.serve(&mut open, &mut calls).await {
            Ok(()) => {}
            Err(LogError::Fenced) => {
                tracing::info!(event = "HH0501", shard = %self.shard, "another node writes the shard");
                decline(&mut calls, &LedgerReply::NotOwner, FENCED_PAUSE).await;
            }
            Err(LogError::Failed(error)) => self.fail(&mut calls, &error).await,
        }
    }

    async fn fail(&self, calls: &mut mpsc::Receiver<Waiting>, error: &LedgerError) {
        tracing::warn!(event = "HH0502", shard = %self.shard, %error, "shard cannot be used");
        decline(calls, &LedgerReply::failed(error), FAILED_PAUSE).await;
    }

    async fn serve(
        &self,
        open: &mut Opened<K>,
        calls: &mut mpsc::Receiver<Waiting>,
    ) -> Result<(), LogError> {
        let mut pending = Pending::new(&self.settings);
        let writes_per_s = self.settings.shard_writes_per_s();
        let mut pace = Pace::new(writes_per_s, self.settings.burst_writes);
        let mut read_pace = Pace::new(READS_PER_S, READS_PER_S);
        while self.gather(&mut pending, calls).await {
            fill_while(&mut pending, calls, pace.take()).await;
            let taken = pending.take(self.settings.max_batch_bytes);
            let (batch, due) = self.build(open, taken);
            if batch.records.is_empty() {
                pace.give_back();
                let confirmed = confirm(&open.log, &mut read_pace, due);
                fill_while(&mut pending, calls, confirmed).await?;
                continue;
            }
            fill_while(&mut pending, calls, open.log.append(&batch)).await?;
            fill_while(&mut pending, calls, reply::send(&open.log, due)).await;
            fill_while(&mut pending, calls, self.snapshot(open)).await;
        }
        Ok(())
    }

    /// Waits until a batch can be built; returns whether there is one.
    async fn gather(&self, pending: &mut Pending, calls: &mut mpsc::Receiver<Waiting>) -> bool {
        while pending.is_empty() {
            match timeout(OWNER_CHECK_INTERVAL, calls.recv()).await {
                Ok(Some(waiting)) => pending.push(waiting),
                Ok(None) => return false,
                Err(_) if self.is_owner() => {}
                Err(_) => return false,
            }
        }
        let deadline = Instant::now() + Duration::from_millis(self.settings.bill_linger_ms);
        while pending.may_linger(&self.settings) {
            match timeout_at(deadline, calls.recv()).await {
                Ok(Some(waiting)) => pending.push(waiting),
                Ok(None) | Err(_) => break,
            }
        }
        while let Ok(waiting) = calls.try_recv() {
            pending.push(waiting);
        }
        true
    }

    /// Lets the snapshot keep up with the log.
    async fn snapshot(&self, open: &mut Opened<K>) {
        let Opened {
            log,
            state,
            snapshots,
            ..
        } = open;
        snapshots.collect(log).await;
        while snapshots.is_due(log) {
            state.prune(&self.settings, self.clock.now());
            snapshots.start(&self.kv, log, state);
            if !log.is_full() {
                return;
            }
            snapshots.wait(log).await;
        }
    }

    fn is_owner(&self) -> bool {
        self.owners.owner(self.shard, self.clock.now()) == ShardOwner::Here
    }

    /// Decides the calls in order and applies their records to the state, which
    /// is dropped if the batch does not get into the log.
    fn build(&self, open: &mut Opened<K>, taken: Vec<Waiting>) -> (Batch, Vec<Due>) {
        let now = self.clock.now();
        if open.state.is_full(&self.settings) && now.mono_ms >= open.next_prune_mono_ms {
            open.next_prune_mono_ms = now.mono_ms + PRUNE_INTERVAL_MS;
            open.state.prune(&self.settings, now);
        }
        let seq = open.log.next_seq();
        let mut records = Vec::new();
        let mut due = Vec::new();
        for waiting in taken {
            let answer = match open.state.decide(waiting.call, &self.settings, now) {
                Decision::Write(record, reply) => {
                    self.announce(open, &mut records);
                    open.state.apply_record(&record, seq);
                    records.push(record);
                    Answer::Ready(reply)
                }
                Decision::Confirm(reply) => Answer::Ready(reply),
                Decision::ReadBill(recorded) => Answer::Read(recorded),
            };
            due.push(Due {
                reply: waiting.reply,
                answer,
            });
        }
        let batch = Batch {
            id: BatchId::random(),
            seq,
            records,
        };
        (batch, due)
    }

    /// Begins the first batch of this owner with its name.
    fn announce(&self, open: &mut Opened<K>, records: &mut Vec<Record>) {
        if open.announced {
            return;
        }
        open.announced = true;
        let record = Record::Opened {
            owner: self.settings.node.clone(),
            epoch: open.state.epoch() + 1,
        };
        open.state.apply_record(&record, open.log.next_seq());
        records.push(record);
    }
}

/// Sends replies that need no write, once the log is known to be current.
async fn confirm<K: KeyValue>(
    log: &ShardLog<K>,
    pace: &mut Pace,
    due: Vec<Due>,
) -> Result<(), LogError> {
    pace.take().await;
    match log.confirm().await {
        Ok(()) => reply::send(log, due).await,
        Err(LogError::Fenced) => return Err(LogError::Fenced),
        Err(LogError::Failed(error)) => reply::refuse(due, &error),
    }
    Ok(())
}

/// Takes calls in while `work` runs.
async fn fill_while<T>(
    pending: &mut Pending,
    calls: &mut mpsc::Receiver<Waiting>,
    work: impl Future<Output = T>,
) -> T {
    tokio::pin!(work);
    let mut is_open = true;
    loop {
        tokio::select! {
            biased;
            done = &mut work => return done,
            waiting = calls.recv(), if is_open => match waiting {
                Some(waiting) => pending.push(waiting),
                None => is_open = false,
            },
        }
    }
}

/// Answers every call with `reply` for the time of `pause`, then closes.
async fn decline(calls: &mut mpsc::Receiver<Waiting>, reply: &LedgerReply, pause: Duration) {
    let end = Instant::now() + pause;
    while let Ok(Some(waiting)) = timeout_at(end, calls.recv()).await {
        let _ = waiting.reply.send(reply.clone());
    }
    calls.close();
    while let Ok(waiting) = calls.try_recv() {
        let _ = waiting.reply.send(reply.clone());
    }
}
