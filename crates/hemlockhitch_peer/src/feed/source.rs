//! Interface of the configuration store.

use std::future::Future;

use hemlockhitch_config::{Configuration, NumberedChange};
use thiserror::Error;

/// The configuration store could not be read.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("configuration store: {detail}; the configuration in force stays")]
pub struct SourceError {
    /// What went wrong.
    pub detail: String,
}

/// Reads the configuration from its store.
pub trait ConfigurationSource: Clone + Send + Sync + 'static {
    /// Reads the current configuration.
    fn load(&self) -> impl Future<Output = Result<Configuration, SourceError>> + Send;

    /// Waits up to `wait_ms` for the changes that follow `generation`, in order.
    fn changes_after(
        &self,
        generation: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Vec<NumberedChange>, SourceError>> + Send;
}
