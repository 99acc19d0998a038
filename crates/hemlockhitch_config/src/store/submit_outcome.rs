//! Outcome of a submitted change.

use serde::{Deserialize, Serialize};

use crate::configuration::RowKey;

/// Outcome of a submitted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmitOutcome {
    /// The change is stored durably.
    Written {
        /// Generation created by the change.
        generation: u64,
    },
    /// Another change modified some of its rows first; nothing was stored.
    Conflict {
        /// Newest generation.
        generation: u64,
        /// Rows modified by others since the change's base generation.
        rows: Vec<RowKey>,
    },
}
