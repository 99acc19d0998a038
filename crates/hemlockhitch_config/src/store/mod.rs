//! The configuration in the platform's key-value service.
//!
//! Change N+1 is accepted by one compare-and-swap of its slot. Snapshots bound
//! the number of changes that a reader has to apply.
//!
//! ```
//! use hemlockhitch_config::configuration::{DataCentre, Row};
//! use hemlockhitch_config::store::ConfigStore;
//! use hemlockhitch_config::{Change, RowEdit, Submission};
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
//! let submission = store.submit(change, SystemClock::new().now()).await?;
//! assert_eq!(submission, Submission::Written { generation: 1 });
//! # Ok(())
//! # }
//! ```

mod blob;
mod cache;
mod error;
mod record;
mod slot_parts;
mod snapshot;
mod submission;
mod submit;
mod tail;

pub use error::{ConfigStoreError, ConfigStoreErrorKind};
pub use submission::Submission;

use std::sync::Arc;

use hemlockhitch_ports::key_value::KeyValue;

use crate::change::NumberedChange;
use crate::configuration::{Configuration, RETAINED_GENERATIONS};
use cache::Known;
use record::CHANGE_PREFIX;
use tail::Tail;

/// How often a read begins anew while writers overwrite what it reads.
const MAX_READS: u32 = 8;

/// A client of the stored configuration; clones share what they have read.
#[derive(Clone, Debug)]
pub struct ConfigStore<K> {
    kv: K,
    known: Known,
}

impl<K: KeyValue> ConfigStore<K> {
    /// Creates a client that has read nothing.
    #[must_use]
    pub fn new(kv: K) -> Self {
        Self {
            kv,
            known: Known::default(),
        }
    }

    /// Reads the newest configuration; its generation never goes back.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service does not answer or a stored record
    /// cannot be read.
    pub async fn load(&self) -> Result<Configuration, ConfigStoreError> {
        self.refresh().await?;
        Ok(Arc::unwrap_or_clone(self.known.configuration()))
    }

    /// Returns the changes after `generation`, and waits up to `wait_ms` for the
    /// first one; the list is empty if none came.
    ///
    /// # Errors
    ///
    /// Fails with [`ConfigStoreErrorKind::TooOld`] when some of the changes are
    /// no longer kept, and as [`ConfigStore::load`].
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

    /// Returns the first few changes after `generation`, or after the oldest one
    /// that is kept. Ask again after the last of them for more; the list is empty
    /// once there are none.
    ///
    /// # Errors
    ///
    /// As [`ConfigStore::load`].
    pub async fn history(&self, generation: u64) -> Result<Vec<NumberedChange>, ConfigStoreError> {
        for _ in 0..MAX_READS {
            self.refresh().await?;
            let newest = self.known.configuration().generation;
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
        self.known.take_tail(&tail);
        Ok(tail)
    }

    /// Reads up to the newest change and returns the end of the tail.
    async fn refresh(&self) -> Result<Tail, ConfigStoreError> {
        for _ in 0..MAX_READS {
            let known = self.known.configuration();
            if known.generation == 0 {
                let snapshot = snapshot::read(&self.kv).await?;
                self.known.take_snapshot(snapshot);
            }
            let generation = self.known.configuration().generation;
            if let Some(tail) = tail::read(&self.kv, generation).await? {
                self.known.take_tail(&tail);
                return Ok(tail);
            }
            let snapshot = snapshot::read(&self.kv).await?;
            self.known.take_snapshot(snapshot);
        }
        Err(ConfigStoreError::contended())
    }
}
