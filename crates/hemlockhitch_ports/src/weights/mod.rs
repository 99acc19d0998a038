//! The platform's rate-limited store of model weights.

mod http;
mod message;

pub use http::HttpWeights;
pub use message::{RESERVE_PATH, ReserveRefusal, ReserveRequest, Reserved};

use std::future::Future;

use hemlockhitch_model::VersionName;
use thiserror::Error;

/// The weights cannot be had now.
#[derive(Clone, Debug)]
#[derive(Error)]
pub enum WeightsError {
    /// The rate limit is reached.
    #[error("weight store: rate limit reached; retry after {retry_after_ms} ms")]
    RateLimited {
        /// Milliseconds to wait before the next try.
        retry_after_ms: u64,
    },
    /// The store has no such version.
    #[error("weight store: no version {version}; upload it before it is rolled out")]
    Missing {
        /// The version that was asked for.
        version: VersionName,
    },
    /// The store could not be reached.
    #[error("weight store: {detail}; retry later")]
    Unavailable {
        /// What went wrong.
        detail: String,
    },
}

/// A client of the weight store.
pub trait WeightStore: Clone + Send + Sync + 'static {
    /// Reserves the transfer of one version to one endpoint.
    fn reserve(
        &self,
        version: &VersionName,
    ) -> impl Future<Output = Result<(), WeightsError>> + Send;
}
