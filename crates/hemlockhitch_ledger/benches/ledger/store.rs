//! Store with simulated latency that counts its calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hemlockhitch_ports::key_value::{
    Entry, KeyValue, KeyValueError, LeaseId, Listing, MemoryKeyValue, Swap, SwapOutcome, WatchBatch,
};
use tokio::time::sleep;

/// In-memory store with a fixed latency per call; clones share the store and the
/// counters.
#[derive(Clone, Debug)]
pub struct DelayedStore {
    store: MemoryKeyValue,
    round_trip: Duration,
    writes: Arc<AtomicU64>,
    reads: Arc<AtomicU64>,
}

impl DelayedStore {
    pub fn new(round_trip: Duration) -> Self {
        Self {
            store: MemoryKeyValue::new(),
            round_trip,
            writes: Arc::default(),
            reads: Arc::default(),
        }
    }

    pub fn write_count(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    pub fn read_count(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    async fn begin_read(&self) {
        self.reads.fetch_add(1, Ordering::Relaxed);
        sleep(self.round_trip).await;
    }

    async fn begin_write(&self) {
        self.writes.fetch_add(1, Ordering::Relaxed);
        sleep(self.round_trip).await;
    }
}

impl KeyValue for DelayedStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        self.begin_read().await;
        self.store.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, KeyValueError> {
        self.begin_read().await;
        self.store.list(prefix, after, limit).await
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        self.begin_write().await;
        self.store.swap(swap).await
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, KeyValueError> {
        self.begin_read().await;
        self.store.watch(prefix, revision, wait_ms).await
    }

    async fn lease_grant(&self, ttl_ms: u64) -> Result<LeaseId, KeyValueError> {
        self.begin_write().await;
        self.store.lease_grant(ttl_ms).await
    }

    async fn lease_renew(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.begin_write().await;
        self.store.lease_renew(lease).await
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.begin_write().await;
        self.store.lease_revoke(lease).await
    }
}
