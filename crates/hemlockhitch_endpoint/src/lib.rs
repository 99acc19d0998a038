//! Clients of model engines and plain HTTP services.
//!
//! [`HttpEngine`] and [`HttpService`] use HTTP. The traits [`engine::Engine`] and
//! [`service::Service`] allow tests to substitute other implementations.
//!
//! ```
//! use hemlockhitch_endpoint::HttpEngine;
//!
//! let engine = HttpEngine::builder()
//!     .first_chunk_timeout_ms(30_000_u64)
//!     .chunk_timeout_ms(5_000_u64)
//!     .build();
//! assert_eq!(engine.dropped_chunks().mismatched, 0);
//! ```

pub mod engine;
mod http_engine;
mod http_service;
pub mod service;

pub use http_engine::{DroppedChunks, HttpCompletionStream, HttpEngine, HttpEngineBuilder};
pub use http_service::HttpService;
