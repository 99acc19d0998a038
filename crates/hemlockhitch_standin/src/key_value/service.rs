//! Request handling of the key-value service.

use std::future::Future;
use std::io;

use bytes::Bytes;
use hemlockhitch_ports::key_value::message::{
    Done, GET_PATH, GetRequest, LEASE_GRANT_PATH, LEASE_RENEW_PATH, LEASE_REVOKE_PATH, LIST_PATH,
    LeaseGrantRequest, LeaseRequest, ListRequest, Refusal, RefusalCode, SWAP_PATH, WATCH_PATH,
    WatchRequest,
};
use hemlockhitch_ports::key_value::{
    KeyValue, KeyValueError, KeyValueErrorKind, MemoryKeyValue, Swap,
};
use hemlockhitch_ports::{CallKind, StoreCallCounts, StoreCalls};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{CALLS_PATH, FAULTS_PATH, FaultInjector, Faults};
use crate::server::{HandlerResult, delay, json_response, read_body};

/// State of a running service; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Service {
    store: MemoryKeyValue,
    faults: FaultInjector,
    calls: StoreCalls,
}

impl Service {
    pub(super) fn new(store: MemoryKeyValue) -> Self {
        Self {
            store,
            faults: FaultInjector::new(Faults::default()),
            calls: StoreCalls::default(),
        }
    }

    pub(super) fn store(&self) -> MemoryKeyValue {
        self.store.clone()
    }

    pub(super) fn faults(&self) -> FaultInjector {
        self.faults.clone()
    }

    pub(super) fn calls(&self) -> StoreCallCounts {
        self.calls.counts()
    }

    /// Handles one request. A write runs to completion even if its caller disconnects.
    pub(super) async fn handle(self, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            CALLS_PATH => json_response(StatusCode::OK, &self.calls()),
            FAULTS_PATH => self.set_faults(&read_body(request).await?),
            GET_PATH | LIST_PATH => {
                self.admit_call(CallKind::Read).await?;
                self.read(&path, &read_body(request).await?).await
            }
            WATCH_PATH => {
                self.admit_call(CallKind::Watch).await?;
                self.watch(&read_body(request).await?).await
            }
            _ => {
                let body = read_body(request).await?;
                let write = async move { self.write(&path, &body).await };
                tokio::spawn(write).await.map_err(io::Error::other)?
            }
        }
    }

    /// Counts a call and applies the faults that precede its effect.
    async fn admit_call(&self, kind: CallKind) -> io::Result<()> {
        self.calls.count(kind);
        let faults = self.faults.get();
        if faults.down {
            return Err(connection_aborted());
        }
        delay(faults.delay_ms).await;
        Ok(())
    }

    fn set_faults(&self, body: &Bytes) -> HandlerResult {
        let Ok(faults) = serde_json::from_slice::<Faults>(body) else {
            return malformed_response("post the faults as a JSON object");
        };
        self.faults.set(faults);
        json_response(StatusCode::OK, &Done {})
    }

    async fn read(&self, path: &str, body: &Bytes) -> HandlerResult {
        if path == GET_PATH {
            return respond(body, async |get: GetRequest| self.store.get(&get.key).await).await;
        }
        respond(body, async |list: ListRequest| {
            let after = list.after.as_deref();
            self.store.list(&list.prefix, after, list.limit).await
        })
        .await
    }

    async fn watch(&self, body: &Bytes) -> HandlerResult {
        let response = respond(body, async |watch: WatchRequest| {
            self.store
                .watch(&watch.prefix, watch.revision, watch.wait_ms)
                .await
        });
        tokio::select! {
            response = response => response,
            () = self.faults.wait_until_down() => Err(connection_aborted()),
        }
    }

    async fn write(&self, path: &str, body: &Bytes) -> HandlerResult {
        self.admit_call(CallKind::Write).await?;
        let response = self.apply_write(path, body).await;
        if self
            .faults
            .consume_lost_response(|| written_key(path, body))
        {
            return Err(connection_aborted());
        }
        response
    }

    async fn apply_write(&self, path: &str, body: &Bytes) -> HandlerResult {
        match path {
            SWAP_PATH => respond(body, async |swap: Swap| self.store.swap(swap).await).await,
            LEASE_GRANT_PATH => {
                respond(body, async |grant: LeaseGrantRequest| {
                    self.store.lease_grant(grant.ttl_ms).await
                })
                .await
            }
            LEASE_RENEW_PATH => {
                respond(body, async |renew: LeaseRequest| {
                    self.store.lease_renew(renew.lease).await?;
                    Ok(Done {})
                })
                .await
            }
            LEASE_REVOKE_PATH => {
                respond(body, async |revoke: LeaseRequest| {
                    self.store.lease_revoke(revoke.lease).await?;
                    Ok(Done {})
                })
                .await
            }
            _ => malformed_response("no such path; see the messages of the key-value service"),
        }
    }
}

/// Decodes a request, runs `action` on it and encodes the response.
async fn respond<Q, T, F>(body: &Bytes, action: impl FnOnce(Q) -> F) -> HandlerResult
where
    Q: DeserializeOwned,
    T: Serialize,
    F: Future<Output = Result<T, KeyValueError>>,
{
    let request = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return malformed_response(&error.to_string()),
    };
    match action(request).await {
        Ok(result) => json_response(StatusCode::OK, &result),
        Err(error) => refusal_response(&error),
    }
}

fn refusal_response(error: &KeyValueError) -> HandlerResult {
    let (status, code) = match error.kind() {
        KeyValueErrorKind::LeaseLapsed => (StatusCode::GONE, RefusalCode::LeaseLapsed),
        KeyValueErrorKind::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, RefusalCode::TooLarge),
        _ => (StatusCode::SERVICE_UNAVAILABLE, RefusalCode::Unavailable),
    };
    let detail = error.detail().to_owned();
    json_response(status, &Refusal { code, detail })
}

fn malformed_response(detail: &str) -> HandlerResult {
    let refusal = Refusal {
        code: RefusalCode::Malformed,
        detail: detail.to_owned(),
    };
    json_response(StatusCode::BAD_REQUEST, &refusal)
}

/// Returns the key that a write changes, or `None` if the request is not a swap.
fn written_key(path: &str, body: &Bytes) -> Option<String> {
    if path != SWAP_PATH {
        return None;
    }
    let swap: Swap = serde_json::from_slice(body).ok()?;
    Some(swap.key)
}

/// Returns the error that makes the server abort the connection.
fn connection_aborted() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "injected fault: no response",
    )
}
