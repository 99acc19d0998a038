//! The configuration: a set of rows, each with the generation that last modified it.

mod key;
mod row;

pub use key::{RowKey, RowKind};
pub use row::{
    Allowance, Cascade, DataCentre, Endpoint, OrderCheck, Organisation, PlannedStop, RollOut,
    RollOutState, Row, ServiceCall, Share, StopTarget, Version,
};

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::change::Change;

/// Number of newest generations whose changes are retained. A change based on an
/// older generation is rejected.
pub const RETAINED_GENERATIONS: u64 = 4_096;

/// Interval between two removals of expired tombstones, in generations.
const TOMBSTONE_PRUNE_INTERVAL_GENERATIONS: u64 = 64;

/// A row and the generation that last modified it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedRow {
    /// The row, or `None` for the tombstone of a removed row.
    pub row: Option<Row>,
    /// Generation that last modified or removed the row.
    pub generation: u64,
}

/// The rows at one generation.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Number of changes applied so far; increases monotonically.
    pub generation: u64,
    /// Rows by key. Removed rows remain as tombstones for conflict detection.
    pub rows: BTreeMap<RowKey, VersionedRow>,
}

impl Configuration {
    /// Returns the keys of the edited rows that were modified after the change's base
    /// generation.
    #[must_use]
    pub fn conflicting_rows(&self, change: &Change) -> Vec<RowKey> {
        change
            .edits
            .iter()
            .filter(|edit| {
                self.rows
                    .get(&edit.key)
                    .is_some_and(|current| current.generation > change.base_generation)
            })
            .map(|edit| edit.key.clone())
            .collect()
    }

    /// Applies an accepted change as the next generation.
    pub fn apply(&mut self, change: &Change) {
        self.generation += 1;
        for edit in &change.edits {
            let versioned = VersionedRow {
                row: edit.row.clone(),
                generation: self.generation,
            };
            self.rows.insert(edit.key.clone(), versioned);
        }
        if self
            .generation
            .is_multiple_of(TOMBSTONE_PRUNE_INTERVAL_GENERATIONS)
        {
            self.prune_tombstones();
        }
    }

    /// Returns the row with this key, unless it was removed or never existed.
    #[must_use]
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)?.row.as_ref()
    }

    /// Removes tombstones older than the retained generations: no accepted change
    /// can conflict with them.
    fn prune_tombstones(&mut self) {
        let oldest_retained = self.generation.saturating_sub(RETAINED_GENERATIONS);
        self.rows.retain(|_, versioned| {
            versioned.row.is_some() || versioned.generation > oldest_retained
        });
    }

    /// Iterates over the existing rows, without tombstones.
    pub fn existing_rows(&self) -> impl Iterator<Item = (&RowKey, &Row)> {
        self.rows
            .iter()
            .filter_map(|(key, versioned)| versioned.row.as_ref().map(|row| (key, row)))
    }
}
