//! What a node knows of the store, with enough history to pass on changes.

use std::collections::{BTreeMap, VecDeque};

use hemlockhitch_ports::key_value::{Entry, WatchBatch};

/// Deletions that are remembered; a node that is further behind gets every entry.
const DELETIONS_MOST: usize = 4_096;

/// What a node knows of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mirror {
    entries: BTreeMap<String, Entry>,
    deletions: VecDeque<Deletion>,
    revision: u64,
    /// Since which revision every deletion is remembered.
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

    /// Takes in a batch; returns the keys that it deletes, also those that a complete
    /// batch no longer holds. A batch that is older than what is known only adds
    /// newer entries.
    pub(crate) fn take(&mut self, batch: &WatchBatch) -> Vec<String> {
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
            self.remember(key.clone());
        }
        deleted
    }

    /// Returns what changed after a revision.
    pub(crate) fn since(&self, revision: u64) -> WatchBatch {
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

    fn remember(&mut self, key: String) {
        let revision = self.revision;
        self.deletions.push_back(Deletion { key, revision });
        if self.deletions.len() > DELETIONS_MOST
            && let Some(forgotten) = self.deletions.pop_front()
        {
            self.complete_since = self.complete_since.max(forgotten.revision);
        }
    }
}
