//! Administration API.
//!
//! The message types are defined in [`hemlockhitch_config::admin`]. Every request must
//! carry an operator token as `Authorization: Bearer TOKEN`.

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

/// Operations of a node that the administration API exposes.
pub trait Administration: Clone + Send + Sync + 'static {
    /// Returns the configuration in force on the node.
    fn configuration(&self) -> Configuration;

    /// Submits a change to the store; returns whether it was written or conflicts.
    fn submit(
        &self,
        change: Change,
    ) -> impl Future<Output = Result<ChangeAnswer, AdminError>> + Send;

    /// Returns which nodes have applied a generation so far.
    fn progress(&self, generation: u64) -> Progress;

    /// Returns the changes later than the generation `after`.
    fn history(
        &self,
        after: u64,
    ) -> impl Future<Output = Result<Vec<NumberedChange>, AdminError>> + Send;

    /// Returns the state of nodes and endpoints as this node sees it.
    fn status(&self) -> Status;

    /// Returns how this node routed a recent request.
    fn explain(
        &self,
        request: RequestId,
    ) -> impl Future<Output = Result<Explanation, AdminError>> + Send;

    /// Returns the deferred jobs that have not ended.
    fn deferred(&self) -> impl Future<Output = Result<Vec<DeferredStatus>, AdminError>> + Send;
}
