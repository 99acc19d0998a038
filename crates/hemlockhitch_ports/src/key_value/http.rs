//! Client of the key-value service over HTTP and JSON.

use hemlockhitch_client::{HttpError, HttpErrorKind};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::message::{
    Done, GET_PATH, GetRequest, LEASE_GRANT_PATH, LEASE_RENEW_PATH, LEASE_REVOKE_PATH, LIST_PATH,
    LeaseGrantRequest, LeaseRequest, ListRequest, Refusal, RefusalCode, SWAP_PATH, WATCH_PATH,
    WatchRequest,
};
use super::{
    Entry, KeyValue, KeyValueError, KeyValueErrorKind, LeaseId, Listing, Swap, SwapOutcome,
    WatchBatch,
};
use crate::service_client::ServiceClient;
use crate::{CallKind, StoreCalls};

/// A client of the key-value service over HTTP. Its clones share the connection pool
/// and the call counters.
#[derive(Clone, Debug)]
pub struct HttpKeyValue {
    client: ServiceClient,
}

impl HttpKeyValue {
    /// Creates a client of the service at `address`, written `ip:port`.
    #[must_use]
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            client: ServiceClient::new(address),
        }
    }

    /// Sets the timeout of a call, in milliseconds. A watch adds its wait to it.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.client.set_timeout_ms(timeout_ms);
        self
    }

    /// Returns the counters of the calls made through this client and its clones.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.client.calls()
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, KeyValueError> {
        let result = self.client.post(CallKind::Read, path, body).await;
        result.map_err(|error| log_and_convert(path, &error, CallKind::Read))
    }

    async fn write<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, KeyValueError> {
        let result = self.client.post(CallKind::Write, path, body).await;
        result.map_err(|error| log_and_convert(path, &error, CallKind::Write))
    }
}

impl KeyValue for HttpKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        let key = key.to_owned();
        self.read(GET_PATH, &GetRequest { key }).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Listing, KeyValueError> {
        let request = ListRequest {
            prefix: prefix.to_owned(),
            after: after.map(str::to_owned),
            limit,
        };
        self.read(LIST_PATH, &request).await
    }

    async fn swap(&self, swap: Swap) -> Result<SwapOutcome, KeyValueError> {
        self.write(SWAP_PATH, &swap).await
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, KeyValueError> {
        let request = WatchRequest {
            prefix: prefix.to_owned(),
            revision,
            wait_ms,
        };
        let result = self
            .client
            .post_long_poll(CallKind::Watch, WATCH_PATH, &request, wait_ms)
            .await;
        result.map_err(|error| log_and_convert(WATCH_PATH, &error, CallKind::Watch))
    }

    async fn lease_grant(&self, ttl_ms: u64) -> Result<LeaseId, KeyValueError> {
        self.write(LEASE_GRANT_PATH, &LeaseGrantRequest { ttl_ms })
            .await
    }

    async fn lease_renew(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        let Done {} = self
            .write(LEASE_RENEW_PATH, &LeaseRequest { lease })
            .await?;
        Ok(())
    }

    async fn lease_revoke(&self, lease: LeaseId) -> Result<(), KeyValueError> {
        let Done {} = self
            .write(LEASE_REVOKE_PATH, &LeaseRequest { lease })
            .await?;
        Ok(())
    }
}

/// Converts an HTTP error and logs the result.
fn log_and_convert(path: &str, error: &HttpError, kind: CallKind) -> KeyValueError {
    let error = convert_error(error, kind);
    log_error(path, &error);
    error
}

fn convert_error(error: &HttpError, kind: CallKind) -> KeyValueError {
    let detail = error.to_string();
    match error.kind() {
        HttpErrorKind::Connect => KeyValueError::new(KeyValueErrorKind::Unavailable, detail),
        HttpErrorKind::Status(_) => convert_refusal(error, kind),
        HttpErrorKind::ConnectionLost | HttpErrorKind::TimedOut => {
            KeyValueError::new(kind_without_response(kind), detail)
        }
        HttpErrorKind::InvalidMessage => {
            KeyValueError::new(kind_for_invalid_response(kind), detail)
        }
    }
}

/// Converts a response with a status other than 2xx. Only a body that
/// parses as a [`Refusal`] proves that a write had no effect.
fn convert_refusal(error: &HttpError, kind: CallKind) -> KeyValueError {
    let Ok(refusal) = serde_json::from_slice::<Refusal>(error.body()) else {
        return KeyValueError::new(kind_without_response(kind), error.to_string());
    };
    let kind = match refusal.code {
        RefusalCode::LeaseLapsed => KeyValueErrorKind::LeaseLapsed,
        RefusalCode::TooLarge => KeyValueErrorKind::TooLarge,
        RefusalCode::Unavailable => KeyValueErrorKind::Unavailable,
        RefusalCode::Malformed => KeyValueErrorKind::Protocol,
    };
    KeyValueError::new(kind, refusal.detail)
}

fn kind_without_response(kind: CallKind) -> KeyValueErrorKind {
    match kind {
        CallKind::Write => KeyValueErrorKind::Unknown,
        CallKind::Read | CallKind::Watch => KeyValueErrorKind::Unavailable,
    }
}

fn kind_for_invalid_response(kind: CallKind) -> KeyValueErrorKind {
    match kind {
        CallKind::Write => KeyValueErrorKind::Unknown,
        CallKind::Read | CallKind::Watch => KeyValueErrorKind::Protocol,
    }
}

fn log_error(path: &str, error: &KeyValueError) {
    match error.kind() {
        KeyValueErrorKind::Unknown => {
            tracing::warn!(event = "HH0102", path, %error, "key-value write has an unknown outcome");
        }
        KeyValueErrorKind::Unavailable | KeyValueErrorKind::Protocol => {
            tracing::warn!(event = "HH0101", path, %error, "key-value request failed");
        }
        KeyValueErrorKind::LeaseLapsed | KeyValueErrorKind::TooLarge => {}
    }
}
