//! Client of model engines over HTTP.

mod builder;
mod completion_stream;
mod counters;
mod sse;

pub use builder::HttpEngineBuilder;
pub use completion_stream::HttpCompletionStream;
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
    OrderResponse,
};
use completion_stream::StreamParts;
use counters::DroppedChunkCounters;

/// The path that completions are posted to.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Maximum size of the body of an error response, in bytes; a larger body is
/// discarded.
const MAX_ERROR_BODY_BYTES: usize = 4_096;

/// A client of model engines. Its clones share the connection pool and the counters
/// of dropped chunks.
///
/// ```
/// use hemlockhitch_endpoint::HttpEngine;
///
/// let engine = HttpEngine::builder().chunk_timeout_ms(5_000_u64).build();
/// # let _ = engine;
/// ```
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
    timeouts: Timeouts,
    counters: Arc<DroppedChunkCounters>,
}

#[derive(Clone, Copy, Debug)]
struct Timeouts {
    first_chunk: Duration,
    chunk: Duration,
    call: Duration,
}

impl HttpEngine {
    /// Returns a builder with the default timeouts.
    pub fn builder() -> HttpEngineBuilder {
        HttpEngineBuilder::default()
    }

    /// Creates a client with the default timeouts.
    #[must_use]
    pub fn new() -> Self {
        Self::builder().build()
    }

    /// Returns how many chunks this client and its clones have dropped.
    #[must_use]
    pub fn dropped_chunks(&self) -> DroppedChunks {
        self.counters.snapshot()
    }

    /// Cancels a request. Cancelling a request that the engine does not run is not an
    /// error.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond.
    pub async fn cancel(&self, address: &str, request_id: RequestId) -> Result<(), EngineError> {
        let path = format!("/cancel/{request_id}");
        self.post_ignoring_body(address, &path, &()).await
    }

    /// Exports the KV cache of a request that is running or finished recently.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond or no longer holds the cache.
    pub async fn export_kv(
        &self,
        address: &str,
        request_id: RequestId,
    ) -> Result<KvHandle, EngineError> {
        let path = format!("/kv/export/{request_id}");
        self.post(address, &path, &()).await
    }

    /// Imports a KV cache that another engine exported.
    ///
    /// # Errors
    ///
    /// Fails when the engine does not respond or cannot use the cache.
    pub async fn import_kv(&self, address: &str, handle: &KvHandle) -> Result<(), EngineError> {
        self.post_ignoring_body(address, "/kv/import", handle).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, EngineError> {
        let call = self
            .client
            .post_json(address, path, message, self.timeouts.call);
        call.await.map_err(|error| convert_error(address, &error))
    }

    async fn post_ignoring_body(
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
    type Answer = HttpCompletionStream;

    async fn complete(
        &self,
        address: &str,
        request: EngineRequest,
    ) -> Result<HttpCompletionStream, EngineError> {
        let resume_offset_tokens = request.resume_offset_tokens;
        let request_id = request.request_id;
        let message = completion_request(address, request)?;
        let response = self
            .client
            .send(message, self.timeouts.first_chunk)
            .await
            .map_err(|error| convert_error(address, &error))?;
        if !response.status().is_success() {
            return Err(status_error(address, response, self.timeouts.call).await);
        }
        Ok(HttpCompletionStream::new(StreamParts {
            address: address.to_owned(),
            request_id,
            resume_offset_tokens,
            body: response.into_body(),
            timeouts: self.timeouts,
            counters: Arc::clone(&self.counters),
        }))
    }

    async fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        self.client
            .get_json(address, "/load", self.timeouts.call)
            .await
            .map_err(|error| convert_error(address, &error))
    }

    async fn order(&self, address: &str, order: Order) -> Result<OrderResponse, EngineError> {
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
        .map_err(|error| convert_error(address, &error))?;
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

/// Converts a response with a status other than 2xx into an error, with the body as
/// detail.
async fn status_error(
    address: &str,
    response: Response<Incoming>,
    body_timeout: Duration,
) -> EngineError {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ERROR_BODY_BYTES).collect();
    let text = match timeout(body_timeout, body).await {
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
        EngineErrorKind::Failed => "the request may have run; check the engine's log",
        _ => "check that the address belongs to a model engine",
    };
    format!("answered {status}: {text}; {remedy}")
}

fn convert_error(address: &str, error: &HttpError) -> EngineError {
    let kind = match error.kind() {
        HttpErrorKind::Connect => EngineErrorKind::Unreachable,
        HttpErrorKind::ConnectionLost => EngineErrorKind::Broken,
        HttpErrorKind::TimedOut => EngineErrorKind::TimedOut,
        HttpErrorKind::Status(status) => status_kind(status),
        HttpErrorKind::InvalidMessage => EngineErrorKind::Protocol,
    };
    EngineError::new(kind, address, error.to_string())
}
