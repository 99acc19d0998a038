//! A key-value service that fails as its test says.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hemlockhitch_ports::key_value::{
    Entry, KeyValue, KeyValueError, KeyValueErrorKind, LeaseId, Listing, MemoryKeyValue, Swap,
    SwapOutcome, WatchBatch,
};
use tokio::time::sleep;

/// What befalls one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is served.
    None,
    /// It has no effect and fails.
    Down,
    /// It takes effect and its answer is lost.
    LostAnswer,
    /// It has no effect, but its caller cannot know.
    LostCall,
    /// Its caller hears that nothing is known; it takes effect later, unless
    /// the key has changed by then.
    LateEffect,
    /// It is served after a while.
    Slow,
    /// It takes effect, and its caller never reaches the store again.
    Cut,
}

/// The delay of [`Fault::Slow`] and [`Fault::LateEffect`].
const DELAY: Duration = Duration::from_millis(300);

const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// A store whose next calls meet faults; clones share the store, and the faults
/// unless they are made by [`FaultyKeyValue::beside`].
#[derive(Clone, Debug, Default)]
pub struct FaultyKeyValue {
    pub store: MemoryKeyValue,
    faults: Arc<Mutex<Faults>>,
}

#[derive(Debug, Default)]
struct Faults {
    swaps: VecDeque<Fault>,
    is_down: bool,
    refused: Option<&'static str>,
    holds_gets: bool,
    holds_lists: bool,
    swap_count: u64,
    read_count: u64,
}

impl FaultyKeyValue {
    pub fn new() -> Self {
        Self::default()
    }

    /// Another client of the same store, with its own faults.
    pub fn beside(&self) -> Self {
        Self {
            store: self.store.clone(),
            faults: Arc::default(),
        }
    }

    /// Lets the next swaps meet `faults`.
    pub fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.faults().swaps.extend(faults);
    }

    /// Lets every call fail until it is called with `false`.
    pub fn down(&self, is_down: bool) {
        self.faults().is_down = is_down;
    }

    /// Lets every swap of a key that contains `part` fail.
    pub fn refuse(&self, part: Option<&'static str>) {
        self.faults().refused = part;
    }

    /// Lets reads wait until it is called with `false`.
    pub fn hold_gets(&self, holds: bool) {
        self.faults().holds_gets = holds;
    }

    /// Lets listings wait until it is called with `false`.
    pub fn hold_lists(&self, holds: bool) {
        self.faults().holds_lists = holds;
    }

    pub fn swap_count(&self) -> u64 {
        self.faults().swap_count
    }

    pub fn read_count(&self) -> u64 {
        self.faults().read_count
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self) -> Result<(), KeyValueError> {
        let mut faults = self.faults();
        faults.read_count += 1;
        if faults.is_down { Err(down()) } else { Ok(()) }
    }

    fn next_fault(&self, key: &str) -> Fault {
        let mut faults = self.faults();
        faults.swap_count += 1;
        if faults.is_down || faults.refused.is_some_and(|part| key.contains(part)) {
            return Fault::Down;
        }
        faults.swaps.pop_front().unwrap_or(Fault::None)
    }
}

fn down() -> KeyValueError {
    KeyValueError::new(KeyValueErrorKind::Unavailable, "down")
}

fn lost() -> KeyValueError {
    KeyValueError::new(KeyValueErrorKind::Unknown, "answer lost")
}

impl KeyValue for FaultyKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        while self.faults().holds_gets {
            sleep(HOLD_CHECK_INTERVAL).await;
        }
        self.read()?;
        self.store.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, KeyValueError> {
        while self.faults().holds_lists {
            sleep(HOLD_CHECK_INTERVAL).await;
        }
        self.read()?;
        self.store.list(prefix, after, limit).await
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        match self.next_fault(&swap.key) {
            Fault::None => self.store.swap(swap).await,
            Fault::Down => Err(down()),
            Fault::LostCall => Err(lost()),
            Fault::LostAnswer => {
                self.store.swap(swap).await?;
                Err(lost())
            }
            Fault::LateEffect => {
                let store = self.store.clone();
                tokio::spawn(async move {
                    sleep(DELAY).await;
                    store.swap(swap).await
                });
                Err(lost())
            }
            Fault::Cut => {
                self.down(true);
                self.store.swap(swap).await?;
                Err(lost())
            }
            Fault::Slow => {
                sleep(DELAY).await;
                self.store.swap(swap).await
            }
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, KeyValueError> {
        self.read()?;
        self.store.watch(prefix, revision, wait_ms).await
    }

    async fn lease_grant(&self, ttl_ms: u64) -> Result<LeaseId, KeyValueError> {
        self.read()?;
        self.store.lease_grant(ttl_ms).await
    }

    async fn lease_renew(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.read()?;
        self.store.lease_renew(lease).await
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.read()?;
        self.store.lease_revoke(lease).await
    }
}
