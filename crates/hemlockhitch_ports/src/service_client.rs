//! What the HTTP clients of all services share.

use std::time::Duration;

use hemlockhitch_client::{HttpClient, HttpError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{CallKind, StoreCalls};

/// How long a call may take unless the client is told otherwise, in
/// milliseconds.
const DEFAULT_LIMIT_MS: u64 = 1_000;

/// One service at one address; clones share connections and counters.
#[derive(Clone, Debug)]
pub(crate) struct HttpService {
    client: HttpClient,
    address: String,
    limit_ms: u64,
    calls: StoreCalls,
}

impl HttpService {
    /// Creates a client of the service at `address`, written `ip:port`.
    pub(crate) fn new(address: impl Into<String>) -> Self {
        Self {
            client: HttpClient::new(),
            address: address.into(),
            limit_ms: DEFAULT_LIMIT_MS,
            calls: StoreCalls::default(),
        }
    }

    /// Sets how long a call may take, in milliseconds.
    pub(crate) fn set_limit_ms(&mut self, limit_ms: u64) {
        self.limit_ms = limit_ms;
    }

    /// Returns the counters of the calls.
    pub(crate) fn calls(&self) -> StoreCalls {
        self.calls.clone()
    }

    /// Reads a JSON answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, HttpError> {
        self.calls.count(CallKind::Read);
        let limit = Duration::from_millis(self.limit_ms);
        self.client.get_json(&self.address, path, limit).await
    }

    /// Posts a JSON message and reads the answer.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, HttpError> {
        self.post_and_wait(kind, path, message, 0).await
    }

    /// Posts a JSON message whose answer may wait for `wait_ms` milliseconds
    /// besides the time limit of a call.
    pub(crate) async fn post_and_wait<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        message: &impl Serialize,
        wait_ms: u64,
    ) -> Result<T, HttpError> {
        self.calls.count(kind);
        let limit = Duration::from_millis(self.limit_ms.saturating_add(wait_ms));
        self.client
            .post_json(&self.address, path, message, limit)
            .await
    }
}
