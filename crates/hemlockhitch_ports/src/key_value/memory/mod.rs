//! A key-value service inside the process, for tests and for the stand-in.

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

/// The largest value that the service holds, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// How many changes the service keeps for watches.
const MAX_CHANGES: usize = 16_384;

/// The longest wait of a watch, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// A key-value service that lives in memory; clones share one store.
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
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::with_history(MAX_CHANGES)
    }

    /// Creates an empty store that keeps up to `max_changes` changes; a watch
    /// from before them gets a complete batch.
    #[must_use]
    pub fn with_history(max_changes: usize) -> Self {
        let shared = Shared {
            state: Mutex::new(State::new(max_changes)),
            changed: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Acts on the state as it is at `now`, and wakes the waiting watches if a
    /// key changed.
    fn with_state<T>(&self, now: Instant, action: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let revision = state.revision();
        state.drop_lapsed(now);
        let result = action(&mut state);
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
        check_size(&swap)?;
        self.with_state(Instant::now(), |state| state.swap(swap))
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, KeyValueError> {
        let wait = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let deadline = Instant::now() + wait;
        let mut seen = revision;
        loop {
            let changed = self.shared.changed.notified();
            let now = Instant::now();
            let (batch, next_lapse) = self.with_state(now, |state| {
                (state.changes_after(prefix, seen), state.next_lapse())
            });
            let found = batch.complete || !batch.written.is_empty() || !batch.deleted.is_empty();
            if found || now >= deadline {
                return Ok(batch);
            }
            seen = batch.revision;
            let wake_at = next_lapse.map_or(deadline, |lapse| lapse.min(deadline));
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

fn check_size(swap: &Swap) -> Result<(), KeyValueError> {
    let value_bytes = swap.value.as_ref().map_or(0, String::len);
    if value_bytes <= MAX_VALUE_BYTES {
        return Ok(());
    }
    Err(KeyValueError::new(
        KeyValueErrorKind::TooLarge,
        format!("value of {value_bytes} bytes; keep values to {MAX_VALUE_BYTES} bytes"),
    ))
}
