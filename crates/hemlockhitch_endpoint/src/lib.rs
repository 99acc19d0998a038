//! Clients of model engines and plain services.
//!
//! [`HttpEngine`] and [`HttpService`] speak HTTP; the traits [`engine::Engine`]
//! and [`service::Service`] let a test put something else in their place.
//!
//! ```
//! use hemlockhitch_endpoint::HttpEngine;
//!
//! let engine = HttpEngine::builder()
//!     .first_chunk_limit_ms(30_000_u64)
//!     .chunk_limit_ms(5_000_u64)
//!     .build();
//! assert_eq!(engine.dropped_chunks().foreign, 0);
//! ```

pub mod engine;
mod http_engine;
mod http_service;
pub mod service;

pub use http_engine::{DroppedChunks, HttpAnswer, HttpEngine, HttpEngineBuilder};
pub use http_service::HttpService;
