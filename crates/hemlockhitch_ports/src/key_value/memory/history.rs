//! The latest changes of a store, in order of revision.

use std::collections::VecDeque;

/// The key of each of the latest changes; revisions are numbered without gaps.
#[derive(Debug)]
pub(super) struct History {
    max_changes: usize,
    /// The revision of the last change that is no longer kept.
    floor: u64,
    keys: VecDeque<String>,
}

impl History {
    /// Creates an empty history that keeps up to `max_changes` changes.
    pub(super) fn new(max_changes: usize) -> Self {
        Self {
            max_changes,
            floor: 0,
            keys: VecDeque::new(),
        }
    }

    /// Records the next change and returns its revision.
    pub(super) fn push(&mut self, key: &str) -> u64 {
        self.keys.push_back(key.to_owned());
        if self.keys.len() > self.max_changes {
            self.keys.pop_front();
            self.floor += 1;
        }
        self.revision()
    }

    /// Returns the revision of the latest change.
    pub(super) fn revision(&self) -> u64 {
        self.floor + self.keys.len() as u64
    }

    /// Iterates over the keys changed after `revision`, oldest first, or gives
    /// `None` when not every such change is known.
    pub(super) fn after(&self, revision: u64) -> Option<impl Iterator<Item = &str>> {
        let skipped = revision.checked_sub(self.floor)?;
        let start = usize::try_from(skipped).ok()?;
        if start > self.keys.len() {
            return None;
        }
        Some(self.keys.range(start..).map(String::as_str))
    }
}
