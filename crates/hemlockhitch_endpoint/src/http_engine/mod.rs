//! The client of model engines over HTTP.

mod builder;
mod completion_stream;
mod counters;
mod sse;

pub use builder::HttpEngineBuilder;
pub use completion_stream::HttpAnswer;
pub use counters::DroppedChunks;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_client::{HttpClient, HttpError, HttpErrorKind, json_request};
use hemlockhitch_model::RequestId;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::engine::wire::{PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_OFFSET_HEADER};
use crate::engine::{
    ChatRequest, Engine, EngineError, EngineErrorKind, EngineRequest, KvHandle, LoadReport, Order,
    OrderAnswer,
};
use completion_stream::AnswerParts;
use counters::Counters;

/// Path of completions.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// How much of an engine's error message is kept, in bytes.
const MAX_ERROR_BYTES: usize = 4_096;

/// A client of model engines; clones share connections and counts.
///
/// ```
/// use hemlockhitch_endpoint::HttpEngine;
///
/// let engine = HttpEngine::builder().chunk_limit_ms(5_000_u64).build();
/// # let _ = engine;
/// ```
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
    limits: Limits,
    counters: Arc<Counters>,
}

#[derive(Clone, Copy, Debug)]
struct Limits {
    first_chunk: Duration,
    chunk: Duration,
    call: Duration,
}

impl HttpEngine {
    /// Starts to build a client.
    pub fn builder() -> HttpEngineBuilder {
        HttpEngineBuilder::default()
    }

    /// Creates a client with the default limits.
    #[must_use]
    pub fn new() -> Self {
        Self::builder().build()
    }

    /// Returns how many chunks were dropped so far.
    #[must_use]
    pub fn dropped_chunks(&self) -> DroppedChunks {
        self.counters.read()
    }

    /// Cancels a request; one that the engine does not run is no error.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer.
    pub async fn cancel(&self, address: &str, request_id: RequestId) -> Result<(), EngineError> {
        let path = format!("/cancel/{request_id}");
        self.post_unit(address, &path, &()).await
    }

    /// Exports the KV cache of a request that runs or has just run.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer or no longer holds the cache.
    pub async fn export_kv(
        &self,
        address: &str,
        request_id: RequestId,
    ) -> Result<KvHandle, EngineError> {
        let path = format!("/kv/export/{request_id}");
        self.post(address, &path, &()).await
    }

    /// Imports an exported KV cache.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not answer or cannot use the cache.
    pub async fn import_kv(&self, address: &str, handle: &KvHandle) -> Result<(), EngineError> {
        self.post_unit(address, "/kv/import", handle).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, EngineError> {
        let answer = self
            .client
            .post_json(address, path, message, self.limits.call);
        answer.await.map_err(|error| call_error(address, &error))
    }

    async fn post_unit(
        &self,
        address: &str,
        path: &str,
        message: &impl Serialize,
    ) -> Result<(), EngineError> {
        self.post::<serde_json::Value>(address, path, message)
            .await
            .map(|_| ())
    }
}

impl Default for HttpEngine {
    fn default() -> Self {
        Self::new()
    }
}

impl Engine for HttpEngine {
    type Answer = HttpAnswer;

    async fn complete(
        &self,
        address: &str,
        request: EngineRequest,
    ) -> Result<HttpAnswer, EngineError> {
        let resume_offset_tokens = request.resume_offset_tokens;
        let request_id = request.request_id;
        let message = completion_request(address, request)?;
        let response = self
            .client
            .send(message, self.limits.first_chunk)
            .await
            .map_err(|error| call_error(address, &error))?;
        if !response.status().is_success() {
            return Err(status_error(address, response, self.limits.call).await);
        }
        Ok(HttpAnswer::new(AnswerParts {
            address: address.to_owned(),
            request_id,
            resume_offset_tokens,
            body: response.into_body(),
            limits: self.limits,
            counters: Arc::clone(&self.counters),
        }))
    }

    async fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        self.client
            .get_json(address, "/load", self.limits.call)
            .await
            .map_err(|error| call_error(address, &error))
    }

    async fn order(&self, address: &str, order: Order) -> Result<OrderAnswer, EngineError> {
        self.post(address, "/orders", &order).await
    }
}

fn completion_request(
    address: &str,
    request: EngineRequest,
) -> Result<Request<Full<Bytes>>, EngineError> {
    let body = ChatRequest {
        model: request.version.to_string(),
        stream: true,
        ..request.body
    };
    let bytes = serde_json::to_vec(&body).map_err(|error| {
        let detail = format!("request cannot be written as JSON: {error}; correct the request");
        EngineError::new(EngineErrorKind::BadRequest, address, detail)
    })?;
    let mut message = json_request(Method::POST, address, COMPLETIONS_PATH, bytes)
        .map_err(|error| call_error(address, &error))?;
    let headers = message.headers_mut();
    let request_id = HeaderValue::try_from(request.request_id.to_string());
    headers.extend(
        request_id
            .ok()
            .map(|value| (http::HeaderName::from_static(REQUEST_ID_HEADER), value)),
    );
    headers.insert(PRIORITY_HEADER, HeaderValue::from(request.class.index()));
    headers.insert(
        RESUME_OFFSET_HEADER,
        HeaderValue::from(request.resume_offset_tokens),
    );
    Ok(message)
}

/// Reads the message of an answer whose status is not 2xx.
async fn status_error(address: &str, response: Response<Incoming>, limit: Duration) -> EngineError {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ERROR_BYTES).collect();
    let text = match timeout(limit, body).await {
        Ok(Ok(body)) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Ok(Err(_)) | Err(_) => String::new(),
    };
    EngineError::new(status_kind(status), address, status_detail(status, &text))
}

fn status_kind(status: StatusCode) -> EngineErrorKind {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::NOT_FOUND => {
            EngineErrorKind::Refused
        }
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::UNPROCESSABLE_ENTITY => EngineErrorKind::BadRequest,
        status if status.is_server_error() => EngineErrorKind::Failed,
        _ => EngineErrorKind::Protocol,
    }
}

fn status_detail(status: StatusCode, text: &str) -> String {
    let remedy = match status_kind(status) {
        EngineErrorKind::Refused => "not run; try another endpoint",
        EngineErrorKind::BadRequest => "not run; correct the request",
        EngineErrorKind::Failed => "the request may have run; look at the engine's log",
        _ => "check that the address is an engine's",
    };
    format!("answered {status}: {text}; {remedy}")
}

fn call_error(address: &str, error: &HttpError) -> EngineError {
    let kind = match error.kind() {
        HttpErrorKind::Connect => EngineErrorKind::Unreachable,
        HttpErrorKind::Broken => EngineErrorKind::Broken,
        HttpErrorKind::TimedOut => EngineErrorKind::TimedOut,
        HttpErrorKind::Status(status) => status_kind(status),
        HttpErrorKind::Unreadable => EngineErrorKind::Protocol,
    };
    EngineError::new(kind, address, error.to_string())
}
