//! Settings of the client.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_client::HttpClient;

use super::{HttpEngine, Limits};

/// Default limit of the first chunk, in milliseconds.
const FIRST_CHUNK_LIMIT_MS: u64 = 30_000;

/// Default limit between two chunks, in milliseconds.
const CHUNK_LIMIT_MS: u64 = 5_000;

/// Default limit of a call with a short answer, in milliseconds.
const CALL_LIMIT_MS: u64 = 2_000;

/// Builds an [`HttpEngine`].
#[derive(Clone, Debug)]
#[must_use]
pub struct HttpEngineBuilder {
    client: HttpClient,
    first_chunk_limit_ms: u64,
    chunk_limit_ms: u64,
    call_limit_ms: u64,
}

impl Default for HttpEngineBuilder {
    fn default() -> Self {
        Self {
            client: HttpClient::new(),
            first_chunk_limit_ms: FIRST_CHUNK_LIMIT_MS,
            chunk_limit_ms: CHUNK_LIMIT_MS,
            call_limit_ms: CALL_LIMIT_MS,
        }
    }
}

impl HttpEngineBuilder {
    /// Uses the connections of `client`.
    pub fn client(mut self, client: impl Into<HttpClient>) -> Self {
        self.client = client.into();
        self
    }

    /// Sets how long an engine may take to its first chunk, in milliseconds.
    pub fn first_chunk_limit_ms(mut self, limit_ms: impl Into<u64>) -> Self {
        self.first_chunk_limit_ms = limit_ms.into();
        self
    }

    /// Sets how long an engine may take between two chunks, in milliseconds.
    pub fn chunk_limit_ms(mut self, limit_ms: impl Into<u64>) -> Self {
        self.chunk_limit_ms = limit_ms.into();
        self
    }

    /// Sets how long a load report, an order, a cancellation or a KV-cache call
    /// may take, in milliseconds.
    pub fn call_limit_ms(mut self, limit_ms: impl Into<u64>) -> Self {
        self.call_limit_ms = limit_ms.into();
        self
    }

    /// Creates the client.
    pub fn build(self) -> HttpEngine {
        HttpEngine {
            client: self.client,
            limits: Limits {
                first_chunk: Duration::from_millis(self.first_chunk_limit_ms),
                chunk: Duration::from_millis(self.chunk_limit_ms),
                call: Duration::from_millis(self.call_limit_ms),
            },
            counters: Arc::default(),
        }
    }
}
