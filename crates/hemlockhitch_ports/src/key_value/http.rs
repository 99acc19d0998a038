//! The client of a key-value service that speaks HTTP and JSON.

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
use crate::service_client::HttpService;
use crate::{CallKind, StoreCalls};

/// A client of a key-value service over HTTP; clones share connections and
/// counters.
#[derive(Clone, Debug)]
pub struct HttpKeyValue {
    service: HttpService,
}

impl HttpKeyValue {
    /// Creates a client of the service at `address`, written `ip:port`.
    #[must_use]
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            service: HttpService::new(address),
        }
    }

    /// Sets how long a call may take, in milliseconds; a watch adds its wait.
    #[must_use]
    pub fn limit_ms(mut self, limit_ms: u64) -> Self {
        self.service.set_limit_ms(limit_ms);
        self
    }

    /// Returns the counters of the calls made through this client.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.service.calls()
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, KeyValueError> {
        let answer = self.service.post(CallKind::Read, path, message).await;
        answer.map_err(|error| failed(path, &error, CallKind::Read))
    }

    async fn write<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, KeyValueError> {
        let answer = self.service.post(CallKind::Write, path, message).await;
        answer.map_err(|error| failed(path, &error, CallKind::Write))
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
        let answer = self
            .service
            .post_and_wait(CallKind::Watch, WATCH_PATH, &request, wait_ms)
            .await;
        answer.map_err(|error| failed(WATCH_PATH, &error, CallKind::Watch))
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

/// Translates and logs a failure.
fn failed(path: &str, error: &HttpError, kind: CallKind) -> KeyValueError {
    let error = translate(error, kind);
    log(path, &error);
    error
}

fn translate(error: &HttpError, kind: CallKind) -> KeyValueError {
    let detail = error.to_string();
    match error.kind() {
        HttpErrorKind::Connect => KeyValueError::new(KeyValueErrorKind::Unavailable, detail),
        HttpErrorKind::Status(_) => refused(error, kind),
        HttpErrorKind::Broken | HttpErrorKind::TimedOut => {
            KeyValueError::new(without_answer(kind), detail)
        }
        HttpErrorKind::Unreadable => KeyValueError::new(unreadable(kind), detail),
    }
}

/// Translates an answer with a status other than 2xx. Only a refusal in the
/// service's own words proves that a write had no effect.
fn refused(error: &HttpError, kind: CallKind) -> KeyValueError {
    let Ok(refusal) = serde_json::from_slice::<Refusal>(error.body()) else {
        return KeyValueError::new(without_answer(kind), error.to_string());
    };
    let kind = match refusal.code {
        RefusalCode::LeaseLapsed => KeyValueErrorKind::LeaseLapsed,
        RefusalCode::TooLarge => KeyValueErrorKind::TooLarge,
        RefusalCode::Unavailable => KeyValueErrorKind::Unavailable,
        RefusalCode::Malformed => KeyValueErrorKind::Protocol,
    };
    KeyValueError::new(kind, refusal.detail)
}

fn without_answer(kind: CallKind) -> KeyValueErrorKind {
    match kind {
        CallKind::Write => KeyValueErrorKind::Unknown,
        CallKind::Read | CallKind::Watch => KeyValueErrorKind::Unavailable,
    }
}

fn unreadable(kind: CallKind) -> KeyValueErrorKind {
    match kind {
        CallKind::Write => KeyValueErrorKind::Unknown,
        CallKind::Read | CallKind::Watch => KeyValueErrorKind::Protocol,
    }
}

fn log(path: &str, error: &KeyValueError) {
    match error.kind() {
        KeyValueErrorKind::Unknown => {
            tracing::warn!(event = "HH0102", path, %error, "write of unknown effect");
        }
        KeyValueErrorKind::Unavailable | KeyValueErrorKind::Protocol => {
            tracing::warn!(event = "HH0101", path, %error, "key-value service failed");
        }
        KeyValueErrorKind::LeaseLapsed | KeyValueErrorKind::TooLarge => {}
    }
}
