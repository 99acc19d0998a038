//! Client interface of model engines: streamed completions, load reports and orders.

mod error;
mod types;
pub mod wire;

pub use error::{EngineError, EngineErrorKind};
pub use types::{
    ChatMessage, ChatRequest, Chunk, EngineRequest, KvHandle, LoadReport, Order, OrderResponse,
    Usage,
};

use std::future::Future;

/// The response to a completion, read chunk by chunk; dropping it cancels the
/// completion.
pub trait Answer: Send + 'static {
    /// Returns the next chunk, or `None` after the last one.
    ///
    /// A chunk with the ID of another request is discarded. A response that ends
    /// without its last chunk fails with [`EngineErrorKind::Truncated`].
    fn next(&mut self) -> impl Future<Output = Result<Option<Chunk>, EngineError>> + Send;
}

/// A client of model engines.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The stream of chunks that a completion returns.
    type Answer: Answer;

    /// Starts a completion on the engine at `address`, written `ip:port`.
    fn complete(
        &self,
        address: &str,
        request: EngineRequest,
    ) -> impl Future<Output = Result<Self::Answer, EngineError>> + Send;

    /// Reads the load report of the engine, which may be out of date.
    fn load(&self, address: &str) -> impl Future<Output = Result<LoadReport, EngineError>> + Send;

    /// Sends the engine the set of versions that it is to serve.
    fn order(
        &self,
        address: &str,
        order: Order,
    ) -> impl Future<Output = Result<OrderResponse, EngineError>> + Send;
}
