//! Messages about changes.

use hemlockhitch_model::NodeName;
use serde::{Deserialize, Serialize};

use crate::configuration::RowKey;
use crate::store::Submission;

/// The answer to a change that an operator sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAnswer {
    /// The change is stored and will never be taken back.
    Written {
        /// The generation that the change became.
        generation: u64,
    },
    /// Others changed the same rows first; nothing was stored.
    Conflict {
        /// The newest generation that the node knows.
        generation: u64,
        /// The rows that others changed after the change's base generation.
        rows: Vec<RowKey>,
    },
}

impl From<Submission> for ChangeAnswer {
    fn from(submission: Submission) -> Self {
        match submission {
            Submission::Written { generation } => Self::Written { generation },
            Submission::Conflict { generation, rows } => Self::Conflict { generation, rows },
        }
    }
}

/// How far a generation has spread.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The generation.
    pub generation: u64,
    /// The nodes that obey it or a later one.
    pub in_force: Vec<NodeName>,
    /// The nodes that have not confirmed it yet.
    pub waiting: Vec<NodeName>,
    /// Whether each live node has confirmed it or is known to have stopped.
    pub accepted: bool,
}
