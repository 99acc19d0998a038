//! Builder of the engine client.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_client::HttpClient;

use super::{HttpEngine, Timeouts};

/// Default timeout for the first chunk, in milliseconds.
const DEFAULT_FIRST_CHUNK_TIMEOUT_MS: u64 = 30_000;

/// Default timeout between two chunks, in milliseconds.
const DEFAULT_CHUNK_TIMEOUT_MS: u64 = 5_000;

/// Default timeout of calls that are not streamed, in milliseconds.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 2_000;

/// Builds an [`HttpEngine`].
#[derive(Clone, Debug)]
#[must_use]
pub struct HttpEngineBuilder {
    client: HttpClient,
    first_chunk_timeout_ms: u64,
    chunk_timeout_ms: u64,
    call_timeout_ms: u64,
}

impl Default for HttpEngineBuilder {
    fn default() -> Self {
        Self {
            client: HttpClient::new(),
            first_chunk_timeout_ms: DEFAULT_FIRST_CHUNK_TIMEOUT_MS,
            chunk_timeout_ms: DEFAULT_CHUNK_TIMEOUT_MS,
            call_timeout_ms: DEFAULT_CALL_TIMEOUT_MS,
        }
    }
}

impl HttpEngineBuilder {
    /// Sets the HTTP client, whose connection pool the engine client shares.
    pub fn client(mut self, client: impl Into<HttpClient>) -> Self {
        self.client = client.into();
        self
    }

    /// Sets the timeout of the response headers, and that of the first chunk after
    /// them, in milliseconds.
    pub fn first_chunk_timeout_ms(mut self, timeout_ms: impl Into<u64>) -> Self {
        self.first_chunk_timeout_ms = timeout_ms.into();
        self
    }

    /// Sets the timeout between two chunks, in milliseconds.
    pub fn chunk_timeout_ms(mut self, timeout_ms: impl Into<u64>) -> Self {
        self.chunk_timeout_ms = timeout_ms.into();
        self
    }

    /// Sets the timeout of load reports, orders, cancellations and KV-cache calls,
    /// in milliseconds.
    pub fn call_timeout_ms(mut self, timeout_ms: impl Into<u64>) -> Self {
        self.call_timeout_ms = timeout_ms.into();
        self
    }

    /// Creates the engine client.
    pub fn build(self) -> HttpEngine {
        HttpEngine {
            client: self.client,
            timeouts: Timeouts {
                first_chunk: Duration::from_millis(self.first_chunk_timeout_ms),
                chunk: Duration::from_millis(self.chunk_timeout_ms),
                call: Duration::from_millis(self.call_timeout_ms),
            },
            counters: Arc::default(),
        }
    }
}
