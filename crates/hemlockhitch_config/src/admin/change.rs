//! Messages for submitting changes and tracking their propagation.

use hemlockhitch_model::NodeName;
use serde::{Deserialize, Serialize};

use crate::configuration::RowKey;
use crate::store::SubmitOutcome;

/// Response to a submitted change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAnswer {
    /// The change is stored durably.
    Written {
        /// Generation created by the change.
        generation: u64,
    },
    /// Another change modified the same rows first; nothing was stored.
    Conflict {
        /// Newest generation known to the node.
        generation: u64,
        /// Rows modified by others since the change's base generation.
        rows: Vec<RowKey>,
    },
}

impl From<SubmitOutcome> for ChangeAnswer {
    fn from(outcome: SubmitOutcome) -> Self {
        match outcome {
            SubmitOutcome::Written { generation } => Self::Written { generation },
            SubmitOutcome::Conflict { generation, rows } => Self::Conflict { generation, rows },
        }
    }
}

/// Propagation of a generation to the nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// Generation that is tracked.
    pub generation: u64,
    /// Nodes that apply this generation or a later one.
    pub in_force: Vec<NodeName>,
    /// Nodes that have not confirmed it yet.
    pub waiting: Vec<NodeName>,
    /// Whether every live node has confirmed it or is known to have stopped.
    pub accepted: bool,
}
