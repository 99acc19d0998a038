//! The outcome of a submitted change.

use serde::{Deserialize, Serialize};

use crate::configuration::RowKey;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Submission {
    /// The change is stored as this generation.
    Written {
        /// The generation.
        generation: u64,
    },
    /// Others changed some of its rows first; nothing was stored.
    Conflict {
        /// The newest generation.
        generation: u64,
        /// The rows that others changed after the change's base generation.
        rows: Vec<RowKey>,
    },
}
