//! Leases of a store and the keys attached to them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use super::super::LeaseId;

/// Maximum time to live of a lease, in milliseconds.
const MAX_TTL_MS: u64 = 365 * 24 * 3_600_000;

/// The active leases, indexed by expiry time.
#[derive(Debug, Default)]
pub(super) struct LeaseTable {
    last_id: u64,
    leases: HashMap<LeaseId, Lease>,
    by_expiry: BTreeSet<(Instant, LeaseId)>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
    keys: BTreeSet<String>,
}

impl LeaseTable {
    /// Creates a lease that expires `ttl_ms` after `now`.
    pub(super) fn grant(&mut self, ttl_ms: u64, now: Instant) -> LeaseId {
        self.last_id += 1;
        let id = LeaseId(self.last_id);
        let ttl = Duration::from_millis(ttl_ms.min(MAX_TTL_MS));
        let expires_at = now + ttl;
        let keys = BTreeSet::new();
        self.by_expiry.insert((expires_at, id));
        let lease = Lease {
            ttl,
            expires_at,
            keys,
        };
        self.leases.insert(id, lease);
        id
    }

    /// Restarts the time to live of a lease; returns false if there is no such lease.
    pub(super) fn renew(&mut self, id: LeaseId, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        self.by_expiry.remove(&(lease.expires_at, id));
        lease.expires_at = now + lease.ttl;
        self.by_expiry.insert((lease.expires_at, id));
        true
    }

    /// Returns whether a lease is active.
    pub(super) fn contains(&self, id: LeaseId) -> bool {
        self.leases.contains_key(&id)
    }

    /// Attaches a key to a lease, if the lease is active.
    pub(super) fn attach(&mut self, id: LeaseId, key: &str) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.keys.insert(key.to_owned());
        }
    }

    /// Detaches a key from a lease, if the lease is active.
    pub(super) fn detach(&mut self, id: LeaseId, key: &str) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.keys.remove(key);
        }
    }

    /// Removes a lease and returns the keys attached to it.
    pub(super) fn remove(&mut self, id: LeaseId) -> BTreeSet<String> {
        let Some(lease) = self.leases.remove(&id) else {
            return BTreeSet::new();
        };
        self.by_expiry.remove(&(lease.expires_at, id));
        lease.keys
    }

    /// Returns when the next lease expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.by_expiry.first().map(|(expires_at, _)| *expires_at)
    }

    /// Returns the lease that expired first, if any has expired by `now`.
    pub(super) fn first_expired(&self, now: Instant) -> Option<LeaseId> {
        self.by_expiry
            .first()
            .filter(|(expires_at, _)| *expires_at <= now)
            .map(|(_, id)| *id)
    }
}
