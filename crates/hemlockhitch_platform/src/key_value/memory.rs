//! A key-value service inside the process, for tests and for the stand-in.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use super::{
    Entry, Expected, KeyValue, KeyValueError, KeyValueErrorKind, LeaseId, Listing, Swap,
    SwapOutcome, WatchBatch,
};

/// The largest value that the service holds, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key-value service that lives in memory; clones share one store.
#[derive(Clone, Debug, Default)]
pub struct MemoryKeyValue {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    entries: BTreeMap<String, Stored>,
    deletions: Vec<Deletion>,
    leases: HashMap<LeaseId, Lease>,
    next_lease: u64,
}

#[derive(Debug)]
struct Stored {
    value: String,
    version: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Deletion {
    key: String,
    revision: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    lapses_at: Instant,
}

impl MemoryKeyValue {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.drop_lapsed(Instant::now());
        action(&mut state)
    }
}

impl State {
    fn drop_lapsed(&mut self, now: Instant) {
        let lapsed: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.lapses_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.drop_lease(id);
        }
    }

    fn drop_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, stored)| stored.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn delete(&mut self, key: &str) -> u64 {
        self.revision += 1;
        self.entries.remove(key);
        self.deletions.push(Deletion {
            key: key.to_owned(),
            revision: self.revision,
        });
        self.revision
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| stored.entry(key))
    }

    fn matches(&self, key: &str, expected: Expected) -> bool {
        let present = self.entries.get(key).map(|stored| stored.version);
        match expected {
            Expected::Any => true,
            Expected::Absent => present.is_none(),
            Expected::Version(version) => present == Some(version),
        }
    }

    fn swap(&mut self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        if !self.matches(&swap.key, swap.expected) {
            return Ok(SwapOutcome::Conflict(self.entry(&swap.key)));
        }
        if let Some(lease) = swap.lease {
            self.require_lease(lease)?;
        }
        let Some(value) = swap.value else {
            return Ok(SwapOutcome::Written(self.delete(&swap.key)));
        };
        self.revision += 1;
        let stored = Stored {
            value,
            version: self.revision,
            lease: swap.lease,
        };
        self.entries.insert(swap.key, stored);
        Ok(SwapOutcome::Written(self.revision))
    }

    fn require_lease(&mut self, lease: LeaseId) -> Result<&mut Lease, KeyValueError> {
        self.leases.get_mut(&lease).ok_or_else(|| {
            KeyValueError::new(
                KeyValueErrorKind::LeaseLapsed,
                "the lease has lapsed; grant a new one",
            )
        })
    }

    fn changes_after(&self, prefix: &str, revision: u64) -> WatchBatch {
        let mut written: Vec<Entry> = self
            .entries
            .iter()
            .filter(|(key, stored)| key.starts_with(prefix) && stored.version > revision)
            .map(|(key, stored)| stored.entry(key))
            .collect();
        written.sort_by_key(|entry| entry.version);
        let deleted = self
            .deletions
            .iter()
            .filter(|deletion| deletion.revision > revision && deletion.key.starts_with(prefix))
            .filter(|deletion| !self.entries.contains_key(&deletion.key))
            .map(|deletion| deletion.key.clone())
            .collect();
        WatchBatch {
            written,
            deleted,
            revision: self.revision,
        }
    }
}

impl Stored {
    fn entry(&self, key: &str) -> Entry {
        Entry {
            key: key.to_owned(),
            value: self.value.clone(),
            version: self.version,
        }
    }
}

impl KeyValue for MemoryKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        Ok(self.with_state(|state| state.entry(key)))
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, KeyValueError> {
        let listing = self.with_state(|state| {
            let mut entries: Vec<Entry> = state
                .entries
                .iter()
                .filter(|(key, _)| key.starts_with(prefix))
                .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
                .take(limit + 1)
                .map(|(key, stored)| stored.entry(key))
                .collect();
            let more = entries.len() > limit;
            entries.truncate(limit);
            Listing {
                entries,
                revision: state.revision,
                more,
            }
        });
        Ok(listing)
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        let value_bytes = swap.value.as_ref().map_or(0, String::len);
        if value_bytes > MAX_VALUE_BYTES {
            return Err(KeyValueError::new(
                KeyValueErrorKind::TooLarge,
                format!("value of {value_bytes} bytes; keep values under {MAX_VALUE_BYTES}"),
            ));
        }
        let outcome = self.with_state(|state| state.swap(swap));
        self.shared.changed.notify_waiters();
        outcome
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, KeyValueError> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.shared.changed.notified();
            let batch = self.with_state(|state| state.changes_after(prefix, revision));
            let found = !batch.written.is_empty() || !batch.deleted.is_empty();
            let left = deadline.saturating_duration_since(Instant::now());
            if found || left.is_zero() {
                return Ok(batch);
            }
            // Lapsed leases raise no notification, so the state is read again at times.
            let pause = left.min(LEASE_CHECK_INTERVAL);
            let _ = timeout(pause, changed).await;
        }
    }

    async fn lease_grant(&self, ttl_ms: u64) -> Result<LeaseId, KeyValueError> {
        let ttl = Duration::from_millis(ttl_ms);
        Ok(self.with_state(|state| {
            state.next_lease += 1;
            let id = LeaseId(state.next_lease);
            let lapses_at = Instant::now() + ttl;
            state.leases.insert(id, Lease { ttl, lapses_at });
            id
        }))
    }

    async fn lease_renew(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.with_state(|state| {
            let held = state.require_lease(lease)?;
            held.lapses_at = Instant::now() + held.ttl;
            Ok(())
        })
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.with_state(|state| state.drop_lease(lease));
        self.shared.changed.notify_waiters();
        Ok(())
    }
}

/// How often a waiting watch looks for lapsed leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
