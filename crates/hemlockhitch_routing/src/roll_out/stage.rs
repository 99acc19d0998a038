//! The stages of a roll-out.

use serde::{Deserialize, Serialize};

/// The stages of a roll-out, in the order in which they may follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A few sessions use the new version.
    Trial,
    /// Every request uses it; the other versions finish what they run.
    All,
    /// The other versions may stop.
    Completed,
    /// The new version is taken back.
    RolledBack,
}

impl Stage {
    /// Returns whether nothing follows the stage.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}
