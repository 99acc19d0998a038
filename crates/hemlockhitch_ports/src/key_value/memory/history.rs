//! Bounded history of the latest changes of a store, in order of revision.

use std::collections::VecDeque;

/// The changed keys of the latest revisions; revisions are consecutive.
#[derive(Debug)]
pub(super) struct History {
    max_changes: usize,
    /// The last revision that has been discarded; 0 if there is none.
    compacted_revision: u64,
    keys: VecDeque<String>,
}

impl History {
    /// Creates an empty history that retains up to `max_changes` changes.
    pub(super) fn new(max_changes: usize) -> Self {
        Self {
            max_changes,
            compacted_revision: 0,
            keys: VecDeque::new(),
        }
    }

    /// Appends a change, discards the oldest one if the history is full, and returns
    /// the revision of the new change.
    pub(super) fn record(&mut self, key: &str) -> u64 {
        self.keys.push_back(key.to_owned());
        if self.keys.len() > self.max_changes {
            self.keys.pop_front();
            self.compacted_revision += 1;
        }
        self.revision()
    }

    /// Returns the revision of the latest change.
    pub(super) fn revision(&self) -> u64 {
        self.compacted_revision + self.keys.len() as u64
    }

    /// Returns the keys changed after `revision`, oldest change first, or `None` when
    /// some of these changes have been discarded or `revision` is in the future.
    pub(super) fn keys_changed_after(&self, revision: u64) -> Option<impl Iterator<Item = &str>> {
        let offset = revision.checked_sub(self.compacted_revision)?;
        let start = usize::try_from(offset).ok()?;
        if start > self.keys.len() {
            return None;
        }
        Some(self.keys.range(start..).map(String::as_str))
    }
}
