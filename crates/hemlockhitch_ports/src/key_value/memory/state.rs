//! The entries of a store and the rules by which they change.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use tokio::time::Instant;

use super::super::{
    Entry, Expected, KeyValueError, KeyValueErrorKind, LeaseId, Listing, Swap, SwapOutcome,
    WatchBatch,
};
use super::history::History;
use super::lease::Leases;

/// The whole state of a store.
#[derive(Debug)]
pub(super) struct State {
    entries: BTreeMap<String, Stored>,
    history: History,
    leases: Leases,
}

#[derive(Debug)]
struct Stored {
    value: String,
    version: u64,
    lease: Option<LeaseId>,
}

impl State {
    /// Creates an empty state that keeps up to `max_changes` changes.
    pub(super) fn new(max_changes: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            history: History::new(max_changes),
            leases: Leases::default(),
        }
    }

    /// Returns the revision of the latest change.
    pub(super) fn revision(&self) -> u64 {
        self.history.revision()
    }

    /// Returns when the next lease lapses.
    pub(super) fn next_lapse(&self) -> Option<Instant> {
        self.leases.next_lapse()
    }

    /// Ends every lease that has lapsed by `now`.
    pub(super) fn drop_lapsed(&mut self, now: Instant) {
        while let Some(lease) = self.leases.lapsed(now) {
            self.revoke(lease);
        }
    }

    /// Returns the entry of a key.
    pub(super) fn entry(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| stored.entry(key))
    }

    /// Lists up to `limit` entries under `prefix` that sort after `after`.
    pub(super) fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Listing {
        let mut entries: Vec<Entry> = self
            .under(prefix, after)
            .take(limit.saturating_add(1))
            .map(|(key, stored)| stored.entry(key))
            .collect();
        let more = entries.len() > limit;
        entries.truncate(limit);
        Listing {
            entries,
            revision: self.revision(),
            more,
        }
    }

    /// Carries out a compare-and-swap.
    pub(super) fn swap(&mut self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        if !self.matches(&swap.key, swap.expected) {
            return Ok(SwapOutcome::Conflict(self.entry(&swap.key)));
        }
        let Some(value) = swap.value else {
            self.delete(&swap.key);
            return Ok(SwapOutcome::Written(self.revision()));
        };
        if swap.lease.is_some_and(|lease| !self.leases.holds(lease)) {
            return Err(lease_lapsed());
        }
        let version = self.write(&swap.key, value, swap.lease);
        Ok(SwapOutcome::Written(version))
    }

    /// Collects the changes under `prefix` after `revision`, at a cost that
    /// grows with the changes and not with the entries.
    pub(super) fn changes_after(&self, prefix: &str, revision: u64) -> WatchBatch {
        let Some(changed) = self.history.after(revision) else {
            return self.complete_batch(prefix);
        };
        let keys: BTreeSet<&str> = changed.filter(|key| key.starts_with(prefix)).collect();
        let mut written = Vec::new();
        let mut deleted = Vec::new();
        for key in keys {
            match self.entries.get(key) {
                Some(stored) => written.push(stored.entry(key)),
                None => deleted.push(key.to_owned()),
            }
        }
        written.sort_by_key(|entry| entry.version);
        WatchBatch {
            written,
            deleted,
            complete: false,
            revision: self.revision(),
        }
    }

    /// Creates a lease.
    pub(super) fn grant(&mut self, ttl_ms: u64, now: Instant) -> LeaseId {
        self.leases.grant(ttl_ms, now)
    }

    /// Renews a lease.
    pub(super) fn renew(&mut self, lease: LeaseId, now: Instant) -> Result<(), KeyValueError> {
        if self.leases.renew(lease, now) {
            return Ok(());
        }
        Err(lease_lapsed())
    }

    /// Ends a lease and deletes the keys attached to it.
    pub(super) fn revoke(&mut self, lease: LeaseId) {
        for key in self.leases.remove(lease) {
            self.delete(&key);
        }
    }

    fn matches(&self, key: &str, expected: Expected) -> bool {
        let present = self.entries.get(key).map(|stored| stored.version);
        match expected {
            Expected::Any => true,
            Expected::Absent => present.is_none(),
            Expected::Version(version) => present == Some(version),
        }
    }

    fn write(&mut self, key: &str, value: String, lease: Option<LeaseId>) -> u64 {
        let version = self.history.push(key);
        if let Some(lease) = lease {
            self.leases.attach(lease, key);
        }
        let stored = Stored {
            value,
            version,
            lease,
        };
        let replaced = self.entries.insert(key.to_owned(), stored);
        let former = replaced.and_then(|replaced| replaced.lease);
        if let Some(former) = former.filter(|former| Some(*former) != lease) {
            self.leases.detach(former, key);
        }
        version
    }

    fn delete(&mut self, key: &str) {
        let Some(stored) = self.entries.remove(key) else {
            return;
        };
        if let Some(lease) = stored.lease {
            self.leases.detach(lease, key);
        }
        self.history.push(key);
    }

    fn complete_batch(&self, prefix: &str) -> WatchBatch {
        let mut written: Vec<Entry> = self
            .under(prefix, None)
            .map(|(key, stored)| stored.entry(key))
            .collect();
        written.sort_by_key(|entry| entry.version);
        WatchBatch {
            written,
            deleted: Vec::new(),
            complete: true,
            revision: self.revision(),
        }
    }

    /// Iterates over the entries under `prefix` that sort after `after`.
    fn under(&self, prefix: &str, after: Option<&str>) -> impl Iterator<Item = (&String, &Stored)> {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        self.entries
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }
}

impl Stored {
    fn entry(&self, key: &str) -> Entry {
        Entry {
            key: key.to_owned(),
            value: self.value.clone(),
            version: self.version,
        }
    }
}

fn lease_lapsed() -> KeyValueError {
    KeyValueError::new(
        KeyValueErrorKind::LeaseLapsed,
        "the lease has lapsed; grant a new one",
    )
}
