//! HTTP client code shared by the clients of all services.

use std::time::Duration;

use hemlockhitch_client::{HttpClient, HttpError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{CallKind, StoreCalls};

/// Default timeout of a call, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 1_000;

/// Client of one service at one address. Its clones share the connection pool and the
/// call counters.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClient {
    client: HttpClient,
    address: String,
    timeout_ms: u64,
    calls: StoreCalls,
}

impl ServiceClient {
    /// Creates a client of the service at `address`, written `ip:port`.
    pub(crate) fn new(address: impl Into<String>) -> Self {
        Self {
            client: HttpClient::new(),
            address: address.into(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
            calls: StoreCalls::default(),
        }
    }

    /// Sets the timeout of a call, in milliseconds.
    pub(crate) fn set_timeout_ms(&mut self, timeout_ms: u64) {
        self.timeout_ms = timeout_ms;
    }

    /// Returns the counters of the calls made through this client and its clones.
    pub(crate) fn calls(&self) -> StoreCalls {
        self.calls.clone()
    }

    /// Gets `path` and parses the JSON response; counted as a read.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, HttpError> {
        self.calls.count(CallKind::Read);
        let timeout = Duration::from_millis(self.timeout_ms);
        self.client.get_json(&self.address, path, timeout).await
    }

    /// Posts a JSON message and parses the JSON response.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, HttpError> {
        self.post_long_poll(kind, path, body, 0).await
    }

    /// Posts a JSON message whose response the service may delay by up to `wait_ms`;
    /// the wait is added to the timeout of the call.
    pub(crate) async fn post_long_poll<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &impl Serialize,
        wait_ms: u64,
    ) -> Result<T, HttpError> {
        self.calls.count(kind);
        let timeout = Duration::from_millis(self.timeout_ms.saturating_add(wait_ms));
        self.client
            .post_json(&self.address, path, body, timeout)
            .await
    }
}
