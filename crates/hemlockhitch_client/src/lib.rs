//! The HTTP client that the other packages share.
//!
//! It tells apart requests that certainly were not sent, requests that may have
//! taken effect, and answers that arrived.

mod error;

pub use error::{HttpError, HttpErrorKind};

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// How long a connection may take to be made; shorter than the usual limit of a
/// call, so that a call that was never sent is told from one without an answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A pooled HTTP client; clones share the connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

/// An answer whose body was read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl HttpClient {
    /// Creates a client with no connection.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns once the head of the answer has arrived.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives within `limit`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        match timeout(limit, self.inner.request(request)).await {
            Err(_) => Err(HttpError::timed_out(limit)),
            Ok(Err(error)) => Err(HttpError::from(error)),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Sends a request and reads the whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the answer does not arrive whole within `limit`.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, HttpError> {
        let whole = async {
            let response = self.inner.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            Ok(Answer { status, body })
        };
        match timeout(limit, whole).await {
            Err(_) => Err(HttpError::timed_out(limit)),
            Ok(answer) => answer,
        }
    }

    /// Posts a JSON message and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// Fails when the answer does not arrive within `limit`, has a status other
    /// than 2xx, or cannot be read.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &impl Serialize,
        limit: Duration,
    ) -> Result<T, HttpError> {
        let body = serde_json::to_vec(message).map_err(|error| HttpError::unreadable(&error))?;
        let request = json_request(Method::POST, address, path, body)?;
        self.fetch_json(request, limit).await
    }

    /// Reads a JSON answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::post_json`].
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        limit: Duration,
    ) -> Result<T, HttpError> {
        let request = json_request(Method::GET, address, path, Vec::new())?;
        self.fetch_json(request, limit).await
    }

    /// Sends a request and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::post_json`].
    pub async fn fetch_json<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<T, HttpError> {
        let answer = self.fetch(request, limit).await?;
        read_json(&answer)
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Builds a request with a JSON body for `address`, written `ip:port`.
///
/// # Errors
///
/// Fails when the address or path does not form a URI.
pub fn json_request(
    method: Method,
    address: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| HttpError::unreadable(&error))
}

fn read_json<T: DeserializeOwned>(answer: &Answer) -> Result<T, HttpError> {
    if !answer.status.is_success() {
        return Err(HttpError::status(answer));
    }
    serde_json::from_slice(&answer.body).map_err(|error| HttpError::unreadable(&error))
}
