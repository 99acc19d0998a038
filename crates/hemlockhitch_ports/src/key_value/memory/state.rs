//! Entries of a store and the operations on them.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use tokio::time::Instant;

use super::super::{
    Entry, Expected, KeyValueError, KeyValueErrorKind, LeaseId, Listing, Swap, SwapOutcome,
    WatchBatch,
};
use super::history::History;
use super::lease::LeaseTable;

/// Entries, change history and leases of a store.
#[derive(Debug)]
pub(super) struct State {
    entries: BTreeMap<String, StoredEntry>,
    history: History,
    leases: LeaseTable,
}

#[derive(Debug)]
struct StoredEntry {
    value: String,
    version: u64,
    lease: Option<LeaseId>,
}

impl State {
    /// Creates an empty state that retains up to `max_changes` changes.
    pub(super) fn new(max_changes: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            history: History::new(max_changes),
            leases: LeaseTable::default(),
        }
    }

    /// Returns the revision of the latest change.
    pub(super) fn revision(&self) -> u64 {
        self.history.revision()
    }

    /// Returns when the next lease expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.next_expiry()
    }

    /// Ends every lease that has expired by `now` and deletes the attached keys.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        while let Some(lease) = self.leases.first_expired(now) {
            self.revoke(lease);
        }
    }

    /// Returns the entry of a key, if the key exists.
    pub(super) fn entry(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| stored.entry(key))
    }

    /// Lists up to `limit` entries under `prefix` that sort after `after`, in key
    /// order.
    pub(super) fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Listing {
        let mut entries: Vec<Entry> = self
            .entries_under(prefix, after)
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

    /// Performs a compare-and-swap.
    pub(super) fn swap(&mut self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        if !self.meets_expectation(&swap.key, swap.expected) {
            return Ok(SwapOutcome::Conflict(self.entry(&swap.key)));
        }
        let Some(value) = swap.value else {
            self.delete(&swap.key);
            return Ok(SwapOutcome::Written(self.revision()));
        };
        if swap.lease.is_some_and(|lease| !self.leases.contains(lease)) {
            return Err(lease_expired());
        }
        let version = self.write(&swap.key, value, swap.lease);
        Ok(SwapOutcome::Written(version))
    }

    /// Returns the changes under `prefix` after `revision`. Its cost depends on the
    /// number of changes, not on the number of entries.
    pub(super) fn changes_after(&self, prefix: &str, revision: u64) -> WatchBatch {
        let Some(changed_keys) = self.history.keys_changed_after(revision) else {
            return self.complete_batch(prefix);
        };
        let keys: BTreeSet<&str> = changed_keys.filter(|key| key.starts_with(prefix)).collect();
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
            epoch: 0,
        }
    }

    /// Creates a lease that expires `ttl_ms` after `now`.
    pub(super) fn grant(&mut self, ttl_ms: u64, now: Instant) -> LeaseId {
        self.leases.grant(ttl_ms, now)
    }

    /// Renews a lease; fails if it has expired.
    pub(super) fn renew(&mut self, lease: LeaseId, now: Instant) -> Result<(), KeyValueError> {
        if self.leases.renew(lease, now) {
            return Ok(());
        }
        Err(lease_expired())
    }

    /// Ends a lease and deletes the keys attached to it.
    pub(super) fn revoke(&mut self, lease: LeaseId) {
        for key in self.leases.remove(lease) {
            self.delete(&key);
        }
    }

    fn meets_expectation(&self, key: &str, expected: Expected) -> bool {
        let current_version = self.entries.get(key).map(|stored| stored.version);
        match expected {
            Expected::Any => true,
            Expected::Absent => current_version.is_none(),
            Expected::Version(version) => current_version == Some(version),
        }
    }

    fn write(&mut self, key: &str, value: String, lease: Option<LeaseId>) -> u64 {
        let version = self.history.record(key);
        if let Some(lease) = lease {
            self.leases.attach(lease, key);
        }
        let stored = StoredEntry {
            value,
            version,
            lease,
        };
        let previous = self.entries.insert(key.to_owned(), stored);
        let previous_lease = previous.and_then(|previous| previous.lease);
        if let Some(previous_lease) =
            previous_lease.filter(|previous_lease| Some(*previous_lease) != lease)
        {
            self.leases.detach(previous_lease, key);
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
        self.history.record(key);
    }

    fn complete_batch(&self, prefix: &str) -> WatchBatch {
        let mut written: Vec<Entry> = self
            .entries_under(prefix, None)
            .map(|(key, stored)| stored.entry(key))
            .collect();
        written.sort_by_key(|entry| entry.version);
        WatchBatch {
            written,
            deleted: Vec::new(),
            complete: true,
            revision: self.revision(),
            epoch: 0,
        }
    }

    /// Iterates over the entries under `prefix` that sort after `after`, in key order.
    fn entries_under(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Iterator<Item = (&String, &StoredEntry)> {
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        self.entries
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
    }
}

impl StoredEntry {
    fn entry(&self, key: &str) -> Entry {
        Entry {
            key: key.to_owned(),
            value: self.value.clone(),
            version: self.version,
        }
    }
}

fn lease_expired() -> KeyValueError {
    KeyValueError::new(
        KeyValueErrorKind::LeaseLapsed,
        "the lease has lapsed; grant a new one",
    )
}
