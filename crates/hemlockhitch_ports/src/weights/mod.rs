//! Client interface of the rate-limited store of model weights.

mod http;
mod message;

pub use http::HttpWeights;
pub use message::{RESERVE_PATH, ReserveRefusal, ReserveRequest, Reserved};

use std::future::Future;

use hemlockhitch_model::VersionName;
use thiserror::Error;

/// Error returned when the transfer of weights could not be reserved.
#[derive(Clone, Debug)]
#[derive(Error)]
pub enum WeightsError {
    /// The rate limit of the store has been reached.
    #[error("weight store: rate limit reached; retry after {retry_after_ms} ms")]
    RateLimited {
        /// Time to wait before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// The store has no such version.
    #[error("weight store: no version {version}; upload it before it is rolled out")]
    Missing {
        /// The requested version.
        version: VersionName,
    },
    /// The store could not be reached or its response could not be read.
    #[error("weight store: {detail}; retry later")]
    Unavailable {
        /// Cause of the failure.
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
