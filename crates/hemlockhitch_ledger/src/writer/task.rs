//! The task of one shard: takes calls, writes batches, sends replies.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_platform::key_value::KeyValue;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

use super::pace::Pace;
use super::pending::{Pending, Waiting};
use super::snapshots::Snapshots;
use crate::call::LedgerReply;
use crate::log::{LogError, ShardLog};
use crate::record::{Batch, BatchId, Record};
use crate::settings::LedgerSettings;
use crate::shard::{ShardId, ShardOwner, ShardOwners};
use crate::snapshot::RecordedBill;
use crate::state::{Decision, ShardState};
use crate::{LedgerError, LedgerErrorKind};

/// How often an idle shard asks whether it still belongs to this node.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Reads by which one shard may confirm each second that its state is current.
const READS_PER_S: u32 = 50;

/// How long a shard whose log cannot be read declines calls before the next try.
const FAILED_PAUSE: Duration = Duration::from_millis(250);

/// How long a shard that another node has written declines calls, so that two
/// nodes that both believe to own it do not take turns at every call.
const FENCED_PAUSE: Duration = Duration::from_millis(50);

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
}

/// A reply that is sent once its batch is in the log.
struct Due {
    reply: oneshot::Sender<LedgerReply>,
    answer: Answer,
}

/// Where the content of a reply comes from.
enum Answer {
    Ready(LedgerReply),
    Read(RecordedBill),
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
        let mut pace = Pace::new(self.settings.writes_per_s, self.settings.burst_writes);
        let mut read_pace = Pace::new(READS_PER_S, READS_PER_S);
        while self.gather(&mut pending, calls).await {
            fill_while(&mut pending, calls, pace.take()).await;
            let taken = pending.take(self.settings.max_batch_bytes);
            let (batch, due) = self.build(open, taken);
            if batch.records.is_empty() {
                pace.give_back();
                let confirmed = async {
                    read_pace.take().await;
                    open.log.confirm().await
                };
                match fill_while(&mut pending, calls, confirmed).await {
                    Err(LogError::Failed(error)) => refuse(due, &error),
                    confirmed => {
                        confirmed?;
                        send(&open.log, due).await;
                    }
                }
                continue;
            }
            fill_while(&mut pending, calls, open.log.append(&batch)).await?;
            send(&open.log, due).await;
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

fn refuse(due: Vec<Due>, error: &LedgerError) {
    for Due { reply, .. } in due {
        let _ = reply.send(LedgerReply::failed(error));
    }
}

async fn send<K: KeyValue>(log: &ShardLog<K>, due: Vec<Due>) {
    for Due { reply, answer } in due {
        let answer = match answer {
            Answer::Ready(answer) => answer,
            Answer::Read(recorded) => read_bill(log, recorded).await,
        };
        let _ = reply.send(answer);
    }
}

async fn read_bill<K: KeyValue>(log: &ShardLog<K>, recorded: RecordedBill) -> LedgerReply {
    let batch = match log.read(recorded.seq).await {
        Ok(batch) => batch,
        Err(error) => return LedgerReply::failed(&error),
    };
    let records = batch.map(|batch| batch.records).unwrap_or_default();
    let bill = records.into_iter().find_map(|record| {
        match record {
            Record::Billed(bill) | Record::BilledLate(bill) => Some(bill),
            _ => None,
        }
        .filter(|bill| bill.request_id == recorded.request_id)
    });
    match bill {
        Some(bill) => LedgerReply::Bill(Some(bill)),
        None => LedgerReply::Failed {
            kind: LedgerErrorKind::Expired,
            detail: "the request was billed; its bill has left the log and is in the sums"
                .to_owned(),
        },
    }
}
