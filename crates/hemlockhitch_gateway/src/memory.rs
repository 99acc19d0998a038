//! Memory that requests and answers hold; it is released when they are dropped.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hemlockhitch_routing::limits::{Claim, FIRST_STEP_BYTES, HeldBytes, MemoryBudget};

/// The memory budget of a node; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct MemoryAccount {
    budget: Arc<Mutex<MemoryBudget>>,
}

impl MemoryAccount {
    pub(crate) fn new(limit_bytes: Option<u64>) -> Self {
        Self {
            budget: Arc::new(Mutex::new(MemoryBudget::new(limit_bytes))),
        }
    }

    /// Returns an empty reservation.
    pub(crate) fn reservation(&self, claim: Claim) -> Reservation {
        Reservation {
            account: self.clone(),
            claim,
            bytes: 0,
        }
    }

    /// Records the size of an answer to a request of the route with this hash.
    pub(crate) fn record_answer(&self, route: u64, bytes: u64) {
        self.lock().record_answer(route, bytes);
    }

    /// Returns whether there is memory for the answer to a request of this route and
    /// organisation.
    pub(crate) fn admits(&self, route: u64, organisation: u64) -> bool {
        self.lock().admits(route, organisation)
    }

    /// Returns what is reserved.
    pub(crate) fn held(&self) -> HeldBytes {
        self.lock().held()
    }

    fn lock(&self) -> MutexGuard<'_, MemoryBudget> {
        // The budget's functions do not panic between two changes.
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reserved bytes, released when they are dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    account: MemoryAccount,
    claim: Claim,
    bytes: u64,
}

impl Reservation {
    /// Enlarges the reservation to `bytes`; returns whether the budget allows it.
    pub(crate) fn grow_to(&mut self, bytes: u64) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let granted = more == 0 || self.account.lock().reserve(self.claim, more);
        if granted {
            self.bytes += more;
        }
        granted
    }

    /// Enlarges the reservation by `bytes` whether or not the budget allows it.
    pub(crate) fn charge(&mut self, bytes: u64) {
        self.account.lock().charge(self.claim, bytes);
        self.bytes += bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.account.lock().release(self.claim, self.bytes);
        }
    }
}

/// Bytes with the reservation for them.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Collects a body or an answer within the budget.
#[derive(Debug)]
pub(crate) struct Collector {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl Collector {
    pub(crate) fn new(reservation: Reservation) -> Self {
        Self {
            bytes: Vec::new(),
            reservation,
        }
    }

    /// Makes room for `length` bytes in all; returns whether the budget allows it.
    pub(crate) fn reserve(&mut self, length: u64) -> bool {
        if length > FIRST_STEP_BYTES && !self.reservation.grow_to(length) {
            return false;
        }
        let more = length.saturating_sub(self.bytes.len() as u64);
        let more = usize::try_from(more).unwrap_or(usize::MAX);
        // Fails only if there is no address space for what the budget allows.
        self.bytes.try_reserve_exact(more).is_ok()
    }

    /// Appends bytes. Returns `false`, without them, if the budget does not allow it.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        let length = (self.bytes.len() + bytes.len()) as u64;
        if length > self.bytes.capacity() as u64 {
            let doubled = length.max(self.bytes.capacity() as u64 * 2);
            let more = doubled.max(FIRST_STEP_BYTES);
            if !self.reserve(more) && !self.reserve(length) {
                return false;
            }
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the bytes; the reservation is released with the last reference to them.
    pub(crate) fn finish(self) -> Bytes {
        if self.reservation.bytes == 0 {
            return Bytes::from(self.bytes);
        }
        Bytes::from_owner(ReservedBytes {
            bytes: self.bytes,
            _reservation: self.reservation,
        })
    }
}
