//! Changes to the configuration.

use hemlockhitch_model::ChangeId;
use serde::{Deserialize, Serialize};

use crate::configuration::{Row, RowKey};

/// The replacement or removal of one row.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowEdit {
    /// Key of the edited row.
    pub key: RowKey,
    /// New content, or `None` to remove the row.
    pub row: Option<Row>,
}

impl RowEdit {
    /// Creates an edit that adds or replaces a row.
    #[must_use]
    pub fn set(row: Row) -> Self {
        Self {
            key: row.key(),
            row: Some(row),
        }
    }

    /// Creates an edit that removes a row.
    #[must_use]
    pub fn remove(key: RowKey) -> Self {
        Self { key, row: None }
    }
}

/// An atomic set of row edits, submitted by an operator.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Random id created by the client; resubmitting a change is idempotent, so that
    /// the client can recover from a lost response.
    pub id: ChangeId,
    /// Generation on which the change is based, for conflict detection.
    pub base_generation: u64,
    /// Name of the operator who made the change.
    pub author: String,
    /// Wall-clock time of the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Row edits; each row may be edited once.
    pub edits: Vec<RowEdit>,
}

/// An accepted change and the generation that it created.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NumberedChange {
    /// Generation created by the change.
    pub generation: u64,
    /// Content of the change.
    pub change: Change,
}
