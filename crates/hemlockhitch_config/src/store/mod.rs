//! Storage of the configuration in the platform's key-value service.
//!
//! Changes are committed with optimistic concurrency: change N+1 is accepted by a
//! single compare-and-swap of its slot. Periodic snapshots bound the number of changes
//! that a new reader must apply.
//!
//! ```
//! use hemlockhitch_config::configuration::{DataCentre, Row};
//! use hemlockhitch_config::store::ConfigStore;
//! use hemlockhitch_config::{Change, RowEdit, SubmitOutcome};
//! use hemlockhitch_model::{ChangeId, Clock, SystemClock};
//! use hemlockhitch_ports::key_value::MemoryKeyValue;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), hemlockhitch_config::store::ConfigStoreError> {
//! let store = ConfigStore::new(MemoryKeyValue::new());
//! let row = Row::DataCentre(DataCentre {
//!     name: "em-a".into(),
//!     region: "east-mids".into(),
//!     out: false,
//! });
//! let change = Change {
//!     id: ChangeId::random(),
//!     base_generation: store.load().await?.generation,
//!     author: "planner".to_owned(),
//!     at_unix_ms: 0,
//!     edits: vec![RowEdit::set(row)],
//! };
//! let outcome = store.submit(change, SystemClock::new().now()).await?;
//! assert_eq!(outcome, SubmitOutcome::Written { generation: 1 });
//! # Ok(())
//! # }
//! ```

mod blob;
mod cache;
mod error;
mod record;
mod slot_parts;
mod snapshot;
mod submit;
mod submit_outcome;
mod tail;

pub use error::{ConfigStoreError, ConfigStoreErrorKind};
pub use submit_outcome::SubmitOutcome;

use std::sync::Arc;

use hemlockhitch_ports::key_value::KeyValue;

use crate::change::NumberedChange;
use crate::configuration::{Configuration, RETAINED_GENERATIONS};
use cache::ConfigCache;
use record::CHANGE_PREFIX;
use tail::Tail;

/// Maximum number of attempts of a read that concurrent writers overwrite.
const MAX_READ_ATTEMPTS: u32 = 8;

/// A client of the stored configuration; clones share a cache.
#[derive(Clone, Debug)]
pub struct ConfigStore<K> {
    kv: K,
    cache: ConfigCache,
}

impl<K: KeyValue> ConfigStore<K> {
    /// Creates a client with an empty cache.
    #[must_use]
    pub fn new(kv: K) -> Self {
        Self {
            kv,
            cache: ConfigCache::default(),
        }
    }

    /// Reads the newest configuration. Its generation never decreases between calls.
    ///
    /// # Errors
    ///
    /// Fails if the key-value service is unavailable, a stored record cannot be read, or
    /// concurrent writers overwrite every read.
    pub async fn load(&self) -> Result<Configuration, ConfigStoreError> {
        self.refresh().await?;
        Ok(Arc::unwrap_or_clone(self.cache.configuration()))
    }

    /// Returns the changes after `generation`. If there are none, waits up to `wait_ms`
    /// milliseconds for the next one; the list is empty after a timeout.
    ///
    /// # Errors
    ///
    /// Fails with [`ConfigStoreErrorKind::TooOld`] if some of the changes are no longer
    /// retained, or if the key-value service is unavailable or a stored record cannot be
    /// read.
    pub async fn changes_after(
        &self,
        generation: u64,
        wait_ms: u64,
    ) -> Result<Vec<NumberedChange>, ConfigStoreError> {
        let tail = self.tail_after(generation).await?;
        if !tail.changes.is_empty() || wait_ms == 0 {
            return Ok(tail.changes);
        }
        self.kv.watch(CHANGE_PREFIX, tail.revision, wait_ms).await?;
        let tail = self.tail_after(generation).await?;
        Ok(tail.changes)
    }

    /// Returns a page of the changes after `generation`, or after the oldest retained
    /// generation if that is newer. Pass the last generation of a page to get the next
    /// one; an empty page marks the end.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`ConfigStore::load`].
    pub async fn history(&self, generation: u64) -> Result<Vec<NumberedChange>, ConfigStoreError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            self.refresh().await?;
            let newest = self.cache.configuration().generation;
            let oldest = newest.saturating_sub(RETAINED_GENERATIONS);
            let page = tail::read_page(&self.kv, generation.max(oldest)).await?;
            if let Some(page) = page {
                return Ok(page.changes);
            }
        }
        Err(ConfigStoreError::contended())
    }

    async fn tail_after(&self, generation: u64) -> Result<Tail, ConfigStoreError> {
        let tail = tail::read(&self.kv, generation).await?;
        let tail = tail.ok_or_else(|| ConfigStoreError::too_old(generation))?;
        self.cache.apply_tail(&tail);
        Ok(tail)
    }

    /// Brings the cache up to date and returns the tail that was read.
    async fn refresh(&self) -> Result<Tail, ConfigStoreError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let known = self.cache.configuration();
            if known.generation == 0 {
                let snapshot = snapshot::read(&self.kv).await?;
                self.cache.apply_snapshot(snapshot);
            }
            let generation = self.cache.configuration().generation;
            if let Some(tail) = tail::read(&self.kv, generation).await? {
                self.cache.apply_tail(&tail);
                return Ok(tail);
            }
            let snapshot = snapshot::read(&self.kv).await?;
            self.cache.apply_snapshot(snapshot);
        }
        Err(ConfigStoreError::contended())
    }
}
