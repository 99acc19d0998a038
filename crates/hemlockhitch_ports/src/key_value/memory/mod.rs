//! In-process key-value store, for tests and for the stand-in service.

mod history;
mod lease;
mod state;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::{
    Entry, KeyValue, KeyValueError, KeyValueErrorKind, LeaseId, Listing, Swap, SwapOutcome,
    WatchBatch,
};
use state::State;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Default number of changes that are retained for watches.
const DEFAULT_MAX_CHANGES: usize = 16_384;

/// Maximum wait of a watch, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 3_600_000;

/// An in-memory key-value store; its clones share the same entries.
#[derive(Clone, Debug)]
pub struct MemoryKeyValue {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

impl MemoryKeyValue {
    /// Creates an empty store with the default length of the change history.
    #[must_use]
    pub fn new() -> Self {
        Self::with_max_changes(DEFAULT_MAX_CHANGES)
    }

    /// Creates an empty store that retains up to `max_changes` changes. A watch from
    /// an older revision gets a complete batch.
    #[must_use]
    pub fn with_max_changes(max_changes: usize) -> Self {
        let shared = Shared {
            state: Mutex::new(State::new(max_changes)),
            changed: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Expires the leases due by `now`, applies `operation` to the state, and wakes
    /// the pending watches if a key changed.
    fn with_state<T>(&self, now: Instant, operation: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let revision = state.revision();
        state.expire_leases(now);
        let result = operation(&mut state);
        if state.revision() != revision {
            self.shared.changed.notify_waiters();
        }
        result
    }
}

impl Default for MemoryKeyValue {
    fn default() -> Self {
        Self::new()
    }
}

impl KeyValue for MemoryKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        Ok(self.with_state(Instant::now(), |state| state.entry(key)))
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, KeyValueError> {
        let now = Instant::now();
        Ok(self.with_state(now, |state| state.list(prefix, after, limit)))
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        check_value_size(&swap)?;
        self.with_state(Instant::now(), |state| state.swap(swap))
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, KeyValueError> {
        let wait = Duration::from_millis(wait_ms.min(MAX_WATCH_WAIT_MS));
        let deadline = Instant::now() + wait;
        let mut seen_revision = revision;
        loop {
            let changed = self.shared.changed.notified();
            let now = Instant::now();
            let (batch, next_expiry) = self.with_state(now, |state| {
                (
                    state.changes_after(prefix, seen_revision),
                    state.next_expiry(),
                )
            });
            let has_changes =
                batch.complete || !batch.written.is_empty() || !batch.deleted.is_empty();
            if has_changes || now >= deadline {
                return Ok(batch);
            }
            seen_revision = batch.revision;
            let wake_at = next_expiry.map_or(deadline, |expiry| expiry.min(deadline));
            let _ = timeout_at(wake_at, changed).await;
        }
    }

    async fn lease_grant(&self, ttl_ms: u64) -> Result<LeaseId, KeyValueError> {
        let now = Instant::now();
        Ok(self.with_state(now, |state| state.grant(ttl_ms, now)))
    }

    async fn lease_renew(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        let now = Instant::now();
        self.with_state(now, |state| state.renew(lease, now))
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.with_state(Instant::now(), |state| state.revoke(lease));
        Ok(())
    }
}

fn check_value_size(swap: &Swap) -> Result<(), KeyValueError> {
    let value_bytes = swap.value.as_ref().map_or(0, String::len);
    if value_bytes <= MAX_VALUE_BYTES {
        return Ok(());
    }
    Err(KeyValueError::new(
        KeyValueErrorKind::TooLarge,
        format!("value of {value_bytes} bytes; keep values to {MAX_VALUE_BYTES} bytes"),
    ))
}
