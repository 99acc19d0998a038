//! The model engines' API: completions as a stream of chunks, orders and reports.

mod error;
mod types;
pub mod wire;

pub use error::{EngineError, EngineErrorKind};
pub use types::{
    ChatMessage, ChatRequest, Chunk, EngineRequest, KvHandle, LoadReport, Order, OrderAnswer, Usage,
};

use std::future::Future;

/// The answer of an engine, read chunk by chunk; dropping it cancels the work.
pub trait Answer: Send + 'static {
    /// Returns the next chunk, or `None` after the last one.
    ///
    /// A chunk that carries another request's id is dropped and not returned.
    /// An answer that ends without its last chunk fails with
    /// [`EngineErrorKind::Truncated`].
    fn next(&mut self) -> impl Future<Output = Result<Option<Chunk>, EngineError>> + Send;
}

/// A client of model engines.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The answer to a completion.
    type Answer: Answer;

    /// Starts a completion on the engine at `address`, written `ip:port`.
    fn complete(
        &self,
        address: &str,
        request: EngineRequest,
    ) -> impl Future<Output = Result<Self::Answer, EngineError>> + Send;

    /// Reads the engine's load report, which may lag.
    fn load(&self, address: &str) -> impl Future<Output = Result<LoadReport, EngineError>> + Send;

    /// Gives the engine an order.
    fn order(
        &self,
        address: &str,
        order: Order,
    ) -> impl Future<Output = Result<OrderAnswer, EngineError>> + Send;
}
