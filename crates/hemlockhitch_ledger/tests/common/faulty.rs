//! Key-value service with fault injection.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hemlockhitch_ports::key_value::{
    Entry, KeyValue, KeyValueError, KeyValueErrorKind, LeaseId, Listing, MemoryKeyValue, Swap,
    SwapOutcome, WatchBatch,
};
use tokio::time::sleep;

/// Fault injected into one swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The swap is served.
    None,
    /// The swap has no effect and fails as unavailable.
    Down,
    /// The swap takes effect, but the response is lost.
    LostResponse,
    /// The swap has no effect, and the caller gets an unknown outcome.
    LostRequest,
    /// The caller gets an unknown outcome, and the swap is applied after [`DELAY`],
    /// still conditional on the key's version.
    DelayedWrite,
    /// The swap is served after [`DELAY`].
    Slow,
    /// The swap takes effect, but the response is lost and all later calls fail.
    Partition,
}

/// Delay of [`Fault::Slow`] and [`Fault::DelayedWrite`].
const DELAY: Duration = Duration::from_millis(300);

/// Interval at which a blocked call checks whether it may continue.
const BLOCK_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Client of an in-memory store with injected faults.
///
/// Clones share the store and the faults; [`FaultyKeyValue::new_client`] shares
/// only the store.
#[derive(Clone, Debug, Default)]
pub struct FaultyKeyValue {
    pub store: MemoryKeyValue,
    faults: Arc<Mutex<Faults>>,
}

#[derive(Debug, Default)]
struct Faults {
    swap_faults: VecDeque<Fault>,
    is_down: bool,
    failing_key_part: Option<&'static str>,
    blocks_gets: bool,
    blocks_lists: bool,
    swap_count: u64,
    read_count: u64,
}

impl FaultyKeyValue {
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns another client of the same store, with its own faults.
    pub fn new_client(&self) -> Self {
        Self {
            store: self.store.clone(),
            faults: Arc::default(),
        }
    }

    /// Queues `faults` for the next swaps, one each.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.faults().swap_faults.extend(faults);
    }

    /// Sets whether every call fails as unavailable.
    pub fn set_down(&self, is_down: bool) {
        self.faults().is_down = is_down;
    }

    /// Makes every swap of a key that contains `part` fail; `None` stops it.
    pub fn fail_swaps_of(&self, part: Option<&'static str>) {
        self.faults().failing_key_part = part;
    }

    /// Sets whether reads of single keys block.
    pub fn block_gets(&self, blocks: bool) {
        self.faults().blocks_gets = blocks;
    }

    /// Sets whether list calls block.
    pub fn block_lists(&self, blocks: bool) {
        self.faults().blocks_lists = blocks;
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

    fn begin_read(&self) -> Result<(), KeyValueError> {
        let mut faults = self.faults();
        faults.read_count += 1;
        if faults.is_down {
            Err(unavailable())
        } else {
            Ok(())
        }
    }

    fn next_fault(&self, key: &str) -> Fault {
        let mut faults = self.faults();
        faults.swap_count += 1;
        if faults.is_down
            || faults
                .failing_key_part
                .is_some_and(|part| key.contains(part))
        {
            return Fault::Down;
        }
        faults.swap_faults.pop_front().unwrap_or(Fault::None)
    }
}

fn unavailable() -> KeyValueError {
    KeyValueError::new(KeyValueErrorKind::Unavailable, "down")
}

fn outcome_unknown() -> KeyValueError {
    KeyValueError::new(KeyValueErrorKind::Unknown, "response lost")
}

impl KeyValue for FaultyKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        while self.faults().blocks_gets {
            sleep(BLOCK_POLL_INTERVAL).await;
        }
        self.begin_read()?;
        self.store.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, KeyValueError> {
        while self.faults().blocks_lists {
            sleep(BLOCK_POLL_INTERVAL).await;
        }
        self.begin_read()?;
        self.store.list(prefix, after, limit).await
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        match self.next_fault(&swap.key) {
            Fault::None => self.store.swap(swap).await,
            Fault::Down => Err(unavailable()),
            Fault::LostRequest => Err(outcome_unknown()),
            Fault::LostResponse => {
                self.store.swap(swap).await?;
                Err(outcome_unknown())
            }
            Fault::DelayedWrite => {
                let store = self.store.clone();
                tokio::spawn(async move {
                    sleep(DELAY).await;
                    store.swap(swap).await
                });
                Err(outcome_unknown())
            }
            Fault::Partition => {
                self.set_down(true);
                self.store.swap(swap).await?;
                Err(outcome_unknown())
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
        self.begin_read()?;
        self.store.watch(prefix, revision, wait_ms).await
    }

    async fn lease_grant(&self, ttl_ms: u64) -> Result<LeaseId, KeyValueError> {
        self.begin_read()?;
        self.store.lease_grant(ttl_ms).await
    }

    async fn lease_renew(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.begin_read()?;
        self.store.lease_renew(lease).await
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.begin_read()?;
        self.store.lease_revoke(lease).await
    }
}
