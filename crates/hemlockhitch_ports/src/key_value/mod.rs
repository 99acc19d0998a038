//! The platform's key-value service: compare-and-swap, leases and watches.

mod error;
mod http;
mod memory;
pub mod message;
mod types;

pub use error::{KeyValueError, KeyValueErrorKind};
pub use http::HttpKeyValue;
pub use memory::MemoryKeyValue;
pub use types::{Entry, Expected, LeaseId, Listing, Swap, SwapOutcome, WatchBatch};

use std::future::Future;

/// A client of the key-value service.
///
/// Every method fails with [`KeyValueErrorKind::Unavailable`] when the request
/// certainly had no effect, and with [`KeyValueErrorKind::Unknown`] when a write
/// may have taken effect although its answer was lost.
pub trait KeyValue: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, KeyValueError>> + Send;

    /// Lists up to `limit` entries whose keys start with `prefix` and sort
    /// after `after`, in order of key.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> impl Future<Output = Result<Listing, KeyValueError>> + Send;

    /// Writes or deletes one key if it is as expected.
    fn swap(&self, swap: Swap) -> impl Future<Output = Result<SwapOutcome, KeyValueError>> + Send;

    /// Waits up to `wait_ms` for entries under `prefix` that changed after
    /// `revision`.
    ///
    /// When the service no longer knows what changed since `revision`, it
    /// answers at once with a batch that is marked `complete`.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<WatchBatch, KeyValueError>> + Send;

    /// Creates a lease that lapses `ttl_ms` after its last renewal.
    fn lease_grant(
        &self,
        ttl_ms: u64,
    ) -> impl Future<Output = Result<LeaseId, KeyValueError>> + Send;

    /// Renews a lease; fails with [`KeyValueErrorKind::LeaseLapsed`] once it
    /// has lapsed.
    fn lease_renew(&self, lease: LeaseId)
    -> impl Future<Output = Result<(), KeyValueError>> + Send;

    /// Ends a lease and deletes the keys attached to it.
    fn lease_revoke(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<(), KeyValueError>> + Send;
}
