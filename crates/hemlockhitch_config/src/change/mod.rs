//! Changes of the configuration.

use hemlockhitch_model::ChangeId;
use serde::{Deserialize, Serialize};

use crate::configuration::{Row, RowKey};

/// A new state for one row.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowEdit {
    /// The row that is edited.
    pub key: RowKey,
    /// The new row, or `None` to remove it.
    pub row: Option<Row>,
}

impl RowEdit {
    /// Adds or replaces a row.
    #[must_use]
    pub fn set(row: Row) -> Self {
        Self {
            key: row.key(),
            row: Some(row),
        }
    }

    /// Removes a row.
    #[must_use]
    pub fn remove(key: RowKey) -> Self {
        Self { key, row: None }
    }
}

/// One change of an operator.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Drawn by the operator's client, so that a lost answer can be resolved.
    pub id: ChangeId,
    /// The generation that the operator had read.
    pub base_generation: u64,
    /// Who made the change.
    pub author: String,
    /// Wall-clock time of the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The rows that change.
    pub edits: Vec<RowEdit>,
}

/// A change that was accepted, and the generation that it became.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NumberedChange {
    /// The generation.
    pub generation: u64,
    /// The change.
    pub change: Change,
}
