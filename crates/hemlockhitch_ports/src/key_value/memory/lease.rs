//! The leases of a store and the keys attached to them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use super::super::LeaseId;

/// The longest lease, in milliseconds.
const MAX_TTL_MS: u64 = 365 * 24 * 3_600_000;

/// Every lease that has not lapsed, with an index by the time of its lapse.
#[derive(Debug, Default)]
pub(super) struct Leases {
    last_id: u64,
    held: HashMap<LeaseId, Lease>,
    by_lapse: BTreeSet<(Instant, LeaseId)>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    lapses_at: Instant,
    keys: BTreeSet<String>,
}

impl Leases {
    /// Creates a lease.
    pub(super) fn grant(&mut self, ttl_ms: u64, now: Instant) -> LeaseId {
        self.last_id += 1;
        let id = LeaseId(self.last_id);
        let ttl = Duration::from_millis(ttl_ms.min(MAX_TTL_MS));
        let lapses_at = now + ttl;
        let keys = BTreeSet::new();
        self.by_lapse.insert((lapses_at, id));
        let lease = Lease {
            ttl,
            lapses_at,
            keys,
        };
        self.held.insert(id, lease);
        id
    }

    /// Restarts the time of a lease and returns whether it is held.
    pub(super) fn renew(&mut self, id: LeaseId, now: Instant) -> bool {
        let Some(lease) = self.held.get_mut(&id) else {
            return false;
        };
        self.by_lapse.remove(&(lease.lapses_at, id));
        lease.lapses_at = now + lease.ttl;
        self.by_lapse.insert((lease.lapses_at, id));
        true
    }

    /// Returns whether a lease is held.
    pub(super) fn holds(&self, id: LeaseId) -> bool {
        self.held.contains_key(&id)
    }

    /// Attaches a key to a lease.
    pub(super) fn attach(&mut self, id: LeaseId, key: &str) {
        if let Some(lease) = self.held.get_mut(&id) {
            lease.keys.insert(key.to_owned());
        }
    }

    /// Detaches a key from a lease.
    pub(super) fn detach(&mut self, id: LeaseId, key: &str) {
        if let Some(lease) = self.held.get_mut(&id) {
            lease.keys.remove(key);
        }
    }

    /// Ends a lease and returns the keys attached to it.
    pub(super) fn remove(&mut self, id: LeaseId) -> BTreeSet<String> {
        let Some(lease) = self.held.remove(&id) else {
            return BTreeSet::new();
        };
        self.by_lapse.remove(&(lease.lapses_at, id));
        lease.keys
    }

    /// Returns when the next lease lapses.
    pub(super) fn next_lapse(&self) -> Option<Instant> {
        self.by_lapse.first().map(|(lapses_at, _)| *lapses_at)
    }

    /// Returns a lease that has lapsed by `now`, the earliest first.
    pub(super) fn lapsed(&self, now: Instant) -> Option<LeaseId> {
        self.by_lapse
            .first()
            .filter(|(lapses_at, _)| *lapses_at <= now)
            .map(|(_, id)| *id)
    }
}
