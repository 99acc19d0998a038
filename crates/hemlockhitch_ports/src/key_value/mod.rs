//! Client interface of the key-value service: compare-and-swap, leases and watches.

mod error;
mod http;
mod memory;
pub mod message;
mod types;

pub use error::{KeyValueError, KeyValueErrorKind};
pub use http::HttpKeyValue;
pub use memory::MemoryKeyValue;
pub use types::{Entry, EpochFence, Expected, LeaseId, Listing, Swap, SwapOutcome, WatchBatch};

use std::future::Future;

/// A client of the key-value service.
///
/// Every method fails with [`KeyValueErrorKind::Unavailable`] when the request had no
/// effect, and with [`KeyValueErrorKind::Unknown`] when a write may have taken effect
/// but its response was lost.
pub trait KeyValue: Clone + Send + Sync + 'static {
    /// Returns the entry of a key, or `None` if the key does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, KeyValueError>> + Send;

    /// Lists up to `limit` entries whose keys start with `prefix` and sort
    /// after `after`, in key order.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> impl Future<Output = Result<Listing, KeyValueError>> + Send;

    /// Lists entries as [`list`](Self::list) does, but possibly as they were some seconds
    /// ago, which costs less where the service offers it.
    fn list_stale(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> impl Future<Output = Result<Listing, KeyValueError>> + Send {
        self.list(prefix, after, limit)
    }

    /// Writes or deletes one key if its current state is the expected one.
    fn swap(&self, swap: Swap) -> impl Future<Output = Result<SwapOutcome, KeyValueError>> + Send;

    /// Writes or deletes one key as [`swap`](Self::swap) does, but only in the epoch of
    /// the fence. Services without epochs ignore the fence.
    fn swap_fenced(
        &self,
        swap: Swap,
        fence: EpochFence,
    ) -> impl Future<Output = Result<SwapOutcome, KeyValueError>> + Send {
        drop(fence);
        self.swap(swap)
    }

    /// Returns the latest epoch in which the service answered this client; 0 before the
    /// first answer and for a service without epochs.
    fn epoch(&self) -> u64 {
        0
    }

    /// Records an epoch of the service that another client has seen. Answers of earlier
    /// epochs are then dropped.
    fn observe_epoch(&self, _epoch: u64) {}

    /// Returns the changes under `prefix` after `revision`, and waits up to `wait_ms`
    /// for the first one.
    ///
    /// When the service no longer retains every change since `revision`, it returns a
    /// batch marked `complete` without waiting.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<WatchBatch, KeyValueError>> + Send;

    /// Creates a lease that expires `ttl_ms` after its creation or last renewal.
    fn lease_grant(
        &self,
        ttl_ms: u64,
    ) -> impl Future<Output = Result<LeaseId, KeyValueError>> + Send;

    /// Renews a lease; fails with [`KeyValueErrorKind::LeaseLapsed`] if it has
    /// expired or was revoked.
    fn lease_renew(&self, lease: LeaseId)
    -> impl Future<Output = Result<(), KeyValueError>> + Send;

    /// Ends a lease and deletes the keys attached to it. Revoking a lease that has
    /// already ended is not an error.
    fn lease_revoke(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), KeyValueError>> + Send;
}
