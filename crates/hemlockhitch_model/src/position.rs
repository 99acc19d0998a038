//! Positions in the history of the store.

use serde::{Deserialize, Serialize};

/// A position in the history of the store.
///
/// The store may return from a copy that is some seconds old. It then starts a new
/// epoch, in which revisions of the lost history are given out again. Positions are
/// ordered by epoch first; revisions of different epochs are not comparable.
///
/// ```
/// use hemlockhitch_model::StorePosition;
///
/// let lost = StorePosition { epoch: 1, revision: 900 };
/// let restored = StorePosition { epoch: 2, revision: 850 };
/// assert!(restored > lost);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StorePosition {
    /// Number of times that the store has returned from a copy, counted by the store.
    pub epoch: u64,
    /// Revision of the store within the epoch; 0 before the first answer.
    pub revision: u64,
}
