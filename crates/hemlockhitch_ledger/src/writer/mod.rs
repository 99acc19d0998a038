//! Owner side of the ledger: serves calls and appends to the shards' logs.

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
use crate::shard::{ShardDirectory, ShardId, ShardOwner};

use queue::PendingCall;
use task::ShardTask;

/// Capacity of the channel to a shard's task, in calls.
const CALL_CHANNEL_CAPACITY: usize = 256;

/// Maximum encoded size of a call; its record must fit into one value of the
/// store.
const MAX_CALL_BYTES: usize = 900 * 1024;

/// Serves ledger calls on a node and runs one task for each open shard.
///
/// Ownership is enforced by conditional writes to the shard's log. `directory` is
/// only a hint that avoids calls which would be fenced. Clones share the open
/// shards.
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
    directory: O,
    settings: Arc<LedgerSettings>,
    shards: Mutex<HashMap<ShardId, ShardHandle>>,
    draining: AtomicBool,
}

/// Handle of a running shard task.
#[derive(Debug)]
struct ShardHandle {
    calls: mpsc::Sender<PendingCall>,
    task: JoinHandle<()>,
}

impl<K: KeyValue, C: Clock, O: ShardDirectory> LedgerWriter<K, C, O> {
    /// Creates a writer with no open shards; each is opened by its first call.
    #[must_use]
    pub fn new(kv: K, directory: O, clock: C, settings: LedgerSettings) -> Self {
        Self {
            inner: Arc::new(Inner {
                kv,
                clock,
                directory,
                settings: Arc::new(settings),
                shards: Mutex::default(),
                draining: AtomicBool::new(false),
            }),
        }
    }

    /// Serves one call and replies within the configured call timeout.
    pub async fn handle(&self, call: LedgerCall, now: Now) -> LedgerReply {
        let settings = &self.inner.settings;
        let shard = call.shard(settings.shard_count);
        let call_bytes = serde_json::to_string(&call).map_or(0, |text| text.len());
        if call_bytes > MAX_CALL_BYTES {
            return too_large(call_bytes);
        }
        if self.inner.directory.owner(shard, now) != ShardOwner::Local {
            return LedgerReply::NotOwner;
        }
        let Some(calls) = self.call_sender(shard) else {
            return LedgerReply::NotOwner;
        };
        let (reply, reply_receiver) = oneshot::channel();
        let pending_call = PendingCall {
            call,
            call_bytes,
            reply,
        };
        let exchange = async {
            if calls.send(pending_call).await.is_err() {
                return LedgerReply::NotOwner;
            }
            drop(calls);
            reply_receiver.await.unwrap_or(LedgerReply::NotOwner)
        };
        let time_limit = Duration::from_millis(settings.call_timeout_ms);
        timeout(time_limit, exchange)
            .await
            .unwrap_or_else(|_| timed_out())
    }

    /// Writes all queued calls and closes every shard permanently.
    ///
    /// Later calls are answered with [`LedgerReply::NotOwner`].
    pub async fn drain(&self) {
        let shards = self.take_shards();
        let time_limit = Duration::from_millis(self.inner.settings.drain_timeout_ms);
        for (shard, handle) in shards {
            drop(handle.calls);
            let abort_handle = handle.task.abort_handle();
            if timeout(time_limit, handle.task).await.is_err() {
                abort_handle.abort();
                tracing::warn!(event = "HH0504", %shard, "drain timed out; shard closed before its writes were answered");
            }
        }
    }

    fn take_shards(&self) -> HashMap<ShardId, ShardHandle> {
        let mut shards = self.shards();
        self.inner.draining.store(true, Ordering::SeqCst);
        std::mem::take(&mut *shards)
    }

    /// Returns the channel to the task of `shard`, starting the task if needed.
    ///
    /// Returns `None` once the writer is draining.
    fn call_sender(&self, shard: ShardId) -> Option<mpsc::Sender<PendingCall>> {
        let mut shards = self.shards();
        if self.inner.draining.load(Ordering::SeqCst) {
            return None;
        }
        if let Some(handle) = shards.get(&shard)
            && !handle.calls.is_closed()
        {
            return Some(handle.calls.clone());
        }
        let (calls, receiver) = mpsc::channel(CALL_CHANNEL_CAPACITY);
        let inner = &self.inner;
        let task = ShardTask::new(
            inner.kv.clone(),
            inner.clock.clone(),
            inner.directory.clone(),
            Arc::clone(&inner.settings),
            shard,
        );
        let task = tokio::spawn(task.run(receiver));
        let handle = ShardHandle {
            calls: calls.clone(),
            task,
        };
        shards.insert(shard, handle);
        Some(calls)
    }

    fn shards(&self) -> std::sync::MutexGuard<'_, HashMap<ShardId, ShardHandle>> {
        self.inner
            .shards
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: KeyValue, C: Clock, O: ShardDirectory> LedgerService for LedgerWriter<K, C, O> {
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

fn timed_out() -> LedgerReply {
    LedgerReply::Failed {
        kind: LedgerErrorKind::Unavailable,
        detail: "the store did not answer in time; repeat with the same attempt".to_owned(),
    }
}
