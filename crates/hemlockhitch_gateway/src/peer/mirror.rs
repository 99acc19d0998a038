//! Local copy of the store, with enough history to pass on changes.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use hemlockhitch_model::StorePosition;
use hemlockhitch_ports::key_value::{Entry, WatchBatch};

/// Maximum number of remembered deletions; a node that is further behind gets every
/// entry.
const MAX_DELETIONS: usize = 4_096;

/// Number of remembered gaps at which the oldest is dropped.
const MAX_GAPS: usize = 8;

/// Local copy of the store.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    entries: BTreeMap<String, Entry>,
    deletions: VecDeque<Deletion>,
    position: StorePosition,
    /// Revision since which every deletion of the epoch is remembered.
    complete_since: u64,
    /// Revisions between which the store was listed, exclusive at both ends. A key that
    /// was written and deleted in between is not known to have been deleted.
    gaps: VecDeque<(u64, u64)>,
    epoch_change: Option<EpochChange>,
}

/// How the content changed when the store returned from an older copy.
#[derive(Clone, Debug)]
struct EpochChange {
    /// Position of this node at the end of the earlier epoch.
    from: StorePosition,
    /// Revision of the new epoch at which it was read.
    to_revision: u64,
    /// Keys that were written differently or deleted.
    differing: BTreeSet<String>,
}

#[derive(Clone, Debug)]
struct Deletion {
    key: String,
    revision: u64,
}

/// What became of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The batch was applied.
    Changed {
        /// The keys that it deleted, including those that a complete batch no longer
        /// holds.
        deleted: Vec<String>,
        /// Whether it began a new epoch and replaced the content of another.
        began_epoch: bool,
    },
    /// The batch is of an earlier epoch and was dropped.
    Outdated,
    /// The batch is of a later epoch but does not hold every entry, so nothing in it can
    /// be related to the copy. The store must be listed.
    Unrelated,
}

impl Mirror {
    /// Returns the store's position up to which every entry is known.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the entry of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns every entry.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.values().cloned().collect()
    }

    /// Iterates over the entries whose keys start with a prefix.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> {
        let entries = self.entries.range(prefix.to_owned()..);
        entries
            .map(|(_, entry)| entry)
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Applies a batch. A complete batch older than the known revision deletes only the
    /// keys that it names; a complete one of a later epoch replaces everything. `since`
    /// is the position that the changes of a peer's batch are relative to; those of the
    /// store are relative to a position of the same epoch.
    pub fn apply(&mut self, batch: &WatchBatch, since: Option<StorePosition>) -> Applied {
        let is_first = self.position.revision == 0;
        if batch.epoch < self.position.epoch {
            return Applied::Outdated;
        }
        let began_epoch = batch.epoch > self.position.epoch && !is_first;
        if began_epoch && !batch.complete && since != Some(self.position) {
            return Applied::Unrelated;
        }
        let end_of_epoch = self.position;
        if began_epoch {
            // Followers must not be sent deletions at revisions of another epoch.
            self.deletions.clear();
            self.gaps.clear();
            self.position = StorePosition::default();
        }
        let mut deleted: Vec<String> = batch.deleted.clone();
        if batch.complete && batch.revision >= self.position.revision {
            let written: HashSet<&String> = batch.written.iter().map(|entry| &entry.key).collect();
            let is_gone = |key: &&String| !written.contains(key);
            deleted.extend(self.entries.keys().filter(is_gone).cloned());
            if !is_first && !began_epoch {
                self.record_gap(self.position.revision, batch.revision);
            }
        }
        // Followers may have keys that this node never had.
        let deleted_keys = deleted.clone();
        deleted.retain(|key| self.entries.remove(key).is_some());
        let mut differing: BTreeSet<String> = deleted.iter().cloned().collect();
        for entry in &batch.written {
            let known = self.entries.insert(entry.key.clone(), entry.clone());
            if began_epoch && known.as_ref() != Some(entry) {
                differing.insert(entry.key.clone());
            }
        }
        self.position = StorePosition {
            epoch: batch.epoch,
            revision: self.position.revision.max(batch.revision),
        };
        if is_first || began_epoch {
            self.complete_since = self.position.revision;
        }
        if began_epoch {
            self.epoch_change = Some(EpochChange {
                from: end_of_epoch,
                to_revision: self.position.revision,
                differing,
            });
        }
        for key in deleted_keys {
            self.record_deletion(key);
        }
        Applied::Changed {
            deleted,
            began_epoch,
        }
    }

    /// Returns the changes after a position, or every entry if the deletions since then
    /// are not all remembered or the position is of another epoch.
    #[must_use]
    pub fn changes_since(&self, position: StorePosition) -> WatchBatch {
        if let Some(change) = &self.epoch_change
            && change.from == position
            && change.to_revision >= self.complete_since
        {
            return self.changes_over_epochs(change);
        }
        let is_same_epoch = position.epoch == self.position.epoch;
        let is_in_gap = |(from, to): &(u64, u64)| (*from + 1..*to).contains(&position.revision);
        let complete = !is_same_epoch
            || position.revision < self.complete_since
            || self.gaps.iter().any(is_in_gap);
        let after = if complete { 0 } else { position.revision };
        let newer = |entry: &&Entry| entry.version > after;
        let deletions = self.deletions.iter();
        let deletions = deletions.filter(|deletion| !complete && deletion.revision > after);
        let known_revision = if is_same_epoch { position.revision } else { 0 };
        WatchBatch {
            written: self.entries.values().filter(newer).cloned().collect(),
            deleted: deletions
                .filter(|deletion| !self.entries.contains_key(&deletion.key))
                .map(|deletion| deletion.key.clone())
                .collect(),
            complete,
            revision: self.position.revision.max(known_revision),
            epoch: self.position.epoch,
        }
    }

    /// Returns what a node must change that knew everything at the end of the earlier
    /// epoch. All followers ask at once, so most of the content is left out.
    fn changes_over_epochs(&self, change: &EpochChange) -> WatchBatch {
        let is_changed = |entry: &&Entry| {
            entry.version > change.to_revision || change.differing.contains(&entry.key)
        };
        let recent = self.deletions.iter().map(|deletion| &deletion.key);
        let gone: BTreeSet<&String> = change
            .differing
            .iter()
            .chain(recent)
            .filter(|key| !self.entries.contains_key(*key))
            .collect();
        WatchBatch {
            written: self.entries.values().filter(is_changed).cloned().collect(),
            deleted: gone.into_iter().cloned().collect(),
            complete: false,
            revision: self.position.revision,
            epoch: self.position.epoch,
        }
    }

    fn record_gap(&mut self, from: u64, to: u64) {
        self.gaps.push_back((from, to));
        if self.gaps.len() > MAX_GAPS
            && let Some((_, evicted_to)) = self.gaps.pop_front()
        {
            self.complete_since = self.complete_since.max(evicted_to);
        }
    }

    fn record_deletion(&mut self, key: String) {
        let revision = self.position.revision;
        self.deletions.push_back(Deletion { key, revision });
        if self.deletions.len() > MAX_DELETIONS
            && let Some(evicted) = self.deletions.pop_front()
        {
            self.complete_since = self.complete_since.max(evicted.revision);
        }
    }
}
