//! Local copy of the store, with enough history to pass on changes.

use std::collections::{BTreeMap, VecDeque};

use hemlockhitch_ports::key_value::{Entry, WatchBatch};

/// Maximum number of remembered deletions; a node that is further behind gets every
/// entry.
const MAX_DELETIONS: usize = 4_096;

/// Local copy of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mirror {
    entries: BTreeMap<String, Entry>,
    deletions: VecDeque<Deletion>,
    revision: u64,
    /// Revision since which every deletion is remembered.
    complete_since: u64,
}

#[derive(Clone, Debug)]
struct Deletion {
    key: String,
    revision: u64,
}

impl Mirror {
    /// Returns the store's revision up to which every entry is known.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a batch and returns the keys that it deletes, including those that a
    /// complete batch no longer holds. A complete batch older than the known revision
    /// deletes only the keys that it names.
    pub(crate) fn apply(&mut self, batch: &WatchBatch) -> Vec<String> {
        let is_first = self.revision == 0;
        let mut deleted: Vec<String> = batch.deleted.clone();
        if batch.complete && batch.revision >= self.revision {
            let is_gone = |key: &&String| !batch.written.iter().any(|entry| entry.key == **key);
            deleted.extend(self.entries.keys().filter(is_gone).cloned());
        }
        deleted.retain(|key| self.entries.remove(key).is_some());
        for entry in &batch.written {
            self.entries.insert(entry.key.clone(), entry.clone());
        }
        self.revision = self.revision.max(batch.revision);
        if is_first {
            self.complete_since = self.revision;
        }
        for key in &deleted {
            self.record_deletion(key.clone());
        }
        deleted
    }

    /// Returns the changes after a revision, or every entry if the deletions since then
    /// are not all remembered.
    pub(crate) fn changes_since(&self, revision: u64) -> WatchBatch {
        let complete = revision < self.complete_since;
        let after = if complete { 0 } else { revision };
        let newer = |entry: &&Entry| entry.version > after;
        let deletions = self.deletions.iter();
        let deletions = deletions.filter(|deletion| !complete && deletion.revision > after);
        WatchBatch {
            written: self.entries.values().filter(newer).cloned().collect(),
            deleted: deletions
                .filter(|deletion| !self.entries.contains_key(&deletion.key))
                .map(|deletion| deletion.key.clone())
                .collect(),
            complete,
            revision: self.revision.max(revision),
        }
    }

    fn record_deletion(&mut self, key: String) {
        let revision = self.revision;
        self.deletions.push_back(Deletion { key, revision });
        if self.deletions.len() > MAX_DELETIONS
            && let Some(evicted) = self.deletions.pop_front()
        {
            self.complete_since = self.complete_since.max(evicted.revision);
        }
    }
}
