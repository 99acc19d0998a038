//! The administration API.
//!
//! The messages are those of [`hemlockhitch_config::admin`]. Every request
//! carries an operator's token as `Authorization: Bearer TOKEN`.

mod access;
mod routes;

pub use access::{Operator, OperatorToken, Operators, Role};
pub use routes::routes;

use std::future::Future;

use hemlockhitch_config::admin::{
    AdminError, ChangeAnswer, DeferredStatus, Explanation, Progress, Status,
};
use hemlockhitch_config::{Change, Configuration, NumberedChange};
use hemlockhitch_model::RequestId;

/// What a node does for its operators.
pub trait Administration: Clone + Send + Sync + 'static {
    /// Returns the configuration in force on the node.
    fn configuration(&self) -> Configuration;

    /// Submits a change.
    fn submit(
        &self,
        change: Change,
    ) -> impl Future<Output = Result<ChangeAnswer, AdminError>> + Send;

    /// Returns how far a generation has spread.
    fn progress(&self, generation: u64) -> Progress;

    /// Returns the changes after a generation.
    fn history(
        &self,
        after: u64,
    ) -> impl Future<Output = Result<Vec<NumberedChange>, AdminError>> + Send;

    /// Returns the state of the system as the node knows it.
    fn status(&self) -> Status;

    /// Explains a request that the node relayed.
    fn explain(
        &self,
        request: RequestId,
    ) -> impl Future<Output = Result<Explanation, AdminError>> + Send;

    /// Returns the deferred requests.
    fn deferred(&self) -> impl Future<Output = Result<Vec<DeferredStatus>, AdminError>> + Send;
}
