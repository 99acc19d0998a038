//! The configuration: rows, each with the generation that last changed it.

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

/// How many of the newest generations are kept, each with its change; a change
/// made against an older one is refused.
pub const RETAINED_GENERATIONS: u64 = 4_096;

/// How many changes pass between two removals of old markers.
const MARKER_REMOVAL_INTERVAL: u64 = 64;

/// A row and the generation that last changed it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedRow {
    /// The row, or `None` once it was removed.
    pub row: Option<Row>,
    /// The generation that last changed or removed the row.
    pub generation: u64,
}

/// The set of rows that is in force at one generation.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The number of changes that led here; it only grows.
    pub generation: u64,
    /// The rows by key; removed rows stay as markers for conflict checks.
    pub rows: BTreeMap<RowKey, VersionedRow>,
}

impl Configuration {
    /// Returns the rows of the change that others changed after its base
    /// generation.
    #[must_use]
    pub fn conflicts(&self, change: &Change) -> Vec<RowKey> {
        change
            .edits
            .iter()
            .filter(|edit| {
                self.rows
                    .get(&edit.key)
                    .is_some_and(|present| present.generation > change.base_generation)
            })
            .map(|edit| edit.key.clone())
            .collect()
    }

    /// Applies a change that was accepted as the next generation.
    pub fn apply(&mut self, change: &Change) {
        self.generation += 1;
        for edit in &change.edits {
            let versioned = VersionedRow {
                row: edit.row.clone(),
                generation: self.generation,
            };
            self.rows.insert(edit.key.clone(), versioned);
        }
        if self.generation.is_multiple_of(MARKER_REMOVAL_INTERVAL) {
            self.remove_old_markers();
        }
    }

    /// Returns a row that exists.
    #[must_use]
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)?.row.as_ref()
    }

    /// Removes the markers of rows that were removed so long ago that no change
    /// can conflict with them.
    fn remove_old_markers(&mut self) {
        let oldest = self.generation.saturating_sub(RETAINED_GENERATIONS);
        self.rows
            .retain(|_, versioned| versioned.row.is_some() || versioned.generation > oldest);
    }

    /// Iterates over the rows that exist.
    pub fn present_rows(&self) -> impl Iterator<Item = (&RowKey, &Row)> {
        self.rows
            .iter()
            .filter_map(|(key, versioned)| versioned.row.as_ref().map(|row| (key, row)))
    }
}
