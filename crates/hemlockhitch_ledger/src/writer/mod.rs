//! The owner's side of the ledger: serves calls and writes the shards' logs.

mod queue;
mod rate_limit;
mod reply;
mod snapshotter;
mod task;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::key_value::KeyValue;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::LedgerErrorKind;
use crate::call::{LedgerCall, LedgerReply, LedgerService};
use crate::settings::LedgerSettings;
use crate::shard::{ShardId, ShardOwner, ShardOwners};

use queue::Waiting;
use task::ShardTask;

/// Calls that are handed to a shard's task before it has taken them.
const HAND_OVER_CALLS: usize = 256;

/// The longest call, so that its record fits into one value of the store.
const MAX_CALL_BYTES: usize = 900 * 1024;

/// Serves ledger calls on a node and holds the shards that the node has open.
///
/// Whether the node owns a shard is decided by the shard's log alone; what
/// `owners` says only saves the calls that would fail. Clones share the shards.
///
/// ```no_run
/// use hemlockhitch_ledger::shard::SoleOwner;
/// use hemlockhitch_ledger::{LedgerSettings, LedgerWriter};
/// use hemlockhitch_model::SystemClock;
/// use hemlockhitch_ports::key_value::MemoryKeyValue;
///
/// let settings = LedgerSettings::new("n-1");
/// let writer = LedgerWriter::new(MemoryKeyValue::new(), SoleOwner, SystemClock::new(), settings);
/// ```
#[derive(Clone, Debug)]
pub struct LedgerWriter<K, C, O> {
    inner: Arc<Inner<K, C, O>>,
}

#[derive(Debug)]
struct Inner<K, C, O> {
    kv: K,
    clock: C,
    owners: O,
    settings: Arc<LedgerSettings>,
    shards: Mutex<HashMap<ShardId, OpenShard>>,
    draining: AtomicBool,
}

/// A shard whose task runs on this node.
#[derive(Debug)]
struct OpenShard {
    calls: mpsc::Sender<Waiting>,
    task: JoinHandle<()>,
}

impl<K: KeyValue, C: Clock, O: ShardOwners> LedgerWriter<K, C, O> {
    /// Creates a writer that has no shard open yet.
    #[must_use]
    pub fn new(kv: K, owners: O, clock: C, settings: LedgerSettings) -> Self {
        Self {
            inner: Arc::new(Inner {
                kv,
                clock,
                owners,
                settings: Arc::new(settings),
                shards: Mutex::default(),
                draining: AtomicBool::new(false),
            }),
        }
    }

    /// Serves one call and answers within the answer limit of the settings.
    pub async fn handle(&self, call: LedgerCall, now: Now) -> LedgerReply {
        let settings = &self.inner.settings;
        let shard = call.shard(settings.shard_count);
        let call_bytes = serde_json::to_string(&call).map_or(0, |text| text.len());
        if call_bytes > MAX_CALL_BYTES {
            return too_large(call_bytes);
        }
        if self.inner.owners.owner(shard, now) != ShardOwner::Here {
            return LedgerReply::NotOwner;
        }
        let Some(calls) = self.open(shard) else {
            return LedgerReply::NotOwner;
        };
        let (reply, answered) = oneshot::channel();
        let waiting = Waiting {
            call,
            call_bytes,
            reply,
        };
        let exchange = async {
            if calls.send(waiting).await.is_err() {
                return LedgerReply::NotOwner;
            }
            drop(calls);
            answered.await.unwrap_or(LedgerReply::NotOwner)
        };
        let limit = Duration::from_millis(settings.answer_limit_ms);
        timeout(limit, exchange).await.unwrap_or_else(|_| late())
    }

    /// Writes what waits and closes every shard, for good.
    ///
    /// Calls that arrive later are answered with [`LedgerReply::NotOwner`].
    pub async fn drain(&self) {
        let shards = self.close();
        let limit = Duration::from_millis(self.inner.settings.drain_limit_ms);
        for (shard, open) in shards {
            drop(open.calls);
            let stop = open.task.abort_handle();
            if timeout(limit, open.task).await.is_err() {
                stop.abort();
                tracing::warn!(event = "HH0504", %shard, "shard closed before its writes were answered");
            }
        }
    }

    fn close(&self) -> HashMap<ShardId, OpenShard> {
        let mut shards = self.shards();
        self.inner.draining.store(true, Ordering::SeqCst);
        std::mem::take(&mut *shards)
    }

    /// Returns the way to the task of `shard`, and starts the task if needed.
    fn open(&self, shard: ShardId) -> Option<mpsc::Sender<Waiting>> {
        let mut shards = self.shards();
        if self.inner.draining.load(Ordering::SeqCst) {
            return None;
        }
        if let Some(open) = shards.get(&shard)
            && !open.calls.is_closed()
        {
            return Some(open.calls.clone());
        }
        let (calls, taken) = mpsc::channel(HAND_OVER_CALLS);
        let inner = &self.inner;
        let task = ShardTask::new(
            inner.kv.clone(),
            inner.clock.clone(),
            inner.owners.clone(),
            Arc::clone(&inner.settings),
            shard,
        );
        let task = tokio::spawn(task.run(taken));
        let open = OpenShard {
            calls: calls.clone(),
            task,
        };
        shards.insert(shard, open);
        Some(calls)
    }

    fn shards(&self) -> std::sync::MutexGuard<'_, HashMap<ShardId, OpenShard>> {
        self.inner
            .shards
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: KeyValue, C: Clock, O: ShardOwners> LedgerService for LedgerWriter<K, C, O> {
    async fn handle(&self, call: LedgerCall, now: Now) -> LedgerReply {
        LedgerWriter::handle(self, call, now).await
    }
}

fn too_large(call_bytes: usize) -> LedgerReply {
    LedgerReply::Failed {
        kind: LedgerErrorKind::TooLarge,
        detail: format!("call of {call_bytes} bytes; keep it under {MAX_CALL_BYTES}"),
    }
}

fn late() -> LedgerReply {
    LedgerReply::Failed {
        kind: LedgerErrorKind::Unavailable,
        detail: "the store did not answer in time; repeat with the same attempt".to_owned(),
    }
}
