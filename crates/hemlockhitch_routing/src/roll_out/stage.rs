//! Stages of a roll-out.

use serde::{Deserialize, Serialize};

/// Stages of a roll-out; a stage is followed only by later variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A few sessions use the new version.
    Trial,
    /// All requests use the new version; the others finish their running requests.
    All,
    /// The other versions may be stopped.
    Completed,
    /// No requests use the new version.
    RolledBack,
}

impl Stage {
    /// Returns whether the stage is the last one of a roll-out.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}
