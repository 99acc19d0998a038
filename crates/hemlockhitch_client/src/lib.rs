//! HTTP client shared by the other packages.
//!
//! Its errors distinguish requests that were never sent, requests that may have
//! taken effect, and responses with an error status.

mod arrival;
mod error;

pub use arrival::{Arrival, wait_while_arriving};
pub use error::{HttpError, HttpErrorKind};

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Timeout for establishing a connection. It is shorter than the usual timeout of
/// a call, so that a call that was never sent fails differently from one that got
/// no response.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP client with a connection pool, which its clones share.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

/// A response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status of the response; not necessarily 2xx.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl HttpClient {
    /// Creates a client with an empty connection pool.
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

    /// Sends a request and returns once the response headers have arrived.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or no response headers arrive within
    /// `request_timeout`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        request_timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        match timeout(request_timeout, self.inner.request(request)).await {
            Err(_) => Err(HttpError::timed_out(request_timeout)),
            Ok(Err(error)) => Err(HttpError::from(error)),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Sends a request and reads the whole response, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the whole response does not arrive within
    /// `request_timeout`.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        request_timeout: Duration,
    ) -> Result<Answer, HttpError> {
        let exchange = async {
            let response = self.inner.request(request).await?;
            let (head, body) = response.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        match timeout(request_timeout, exchange).await {
            Err(_) => Err(HttpError::timed_out(request_timeout)),
            Ok(result) => result,
        }
    }

    /// Sends a request and reads the whole response, whatever its status and size: beyond
    /// `request_timeout`, the call is continued while the response arrives.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails, or when `request_timeout` has passed and the
    /// response stops arriving.
    pub async fn fetch_large(
        &self,
        request: Request<Full<Bytes>>,
        request_timeout: Duration,
    ) -> Result<Answer, HttpError> {
        let received_bytes = AtomicU64::new(0);
        let exchange = async {
            let response = self.inner.request(request).await?;
            let (head, mut body) = response.into_parts();
            let mut received = BytesMut::new();
            while let Some(frame) = body.frame().await {
                if let Ok(bytes) = frame?.into_data() {
                    received.extend_from_slice(&bytes);
                    received_bytes.store(received.len() as u64, Ordering::Relaxed);
                }
            }
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body: received.freeze(),
            })
        };
        let received = || received_bytes.load(Ordering::Relaxed);
        let answer = wait_while_arriving(exchange, request_timeout, received).await;
        answer.unwrap_or_else(|| Err(HttpError::timed_out(request_timeout)))
    }

    /// Posts a JSON message to `address`, written `ip:port`, and parses the JSON
    /// response.
    ///
    /// # Errors
    ///
    /// Fails when the response does not arrive within `request_timeout`, has a status
    /// other than 2xx, or cannot be parsed.
    pub async fn post_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &impl Serialize,
        request_timeout: Duration,
    ) -> Result<T, HttpError> {
        let body =
            serde_json::to_vec(message).map_err(|error| HttpError::invalid_message(&error))?;
        let request = json_request(Method::POST, address, path, body)?;
        self.fetch_json(request, request_timeout).await
    }

    /// Gets `path` from `address`, written `ip:port`, and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`HttpClient::post_json`].
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        request_timeout: Duration,
    ) -> Result<T, HttpError> {
        let request = json_request(Method::GET, address, path, Vec::new())?;
        self.fetch_json(request, request_timeout).await
    }

    /// Sends a request and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`HttpClient::post_json`].
    pub async fn fetch_json<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        request_timeout: Duration,
    ) -> Result<T, HttpError> {
        let response = self.fetch(request, request_timeout).await?;
        parse_json(&response)
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Builds a request for `address`, written `ip:port`, whose body is JSON.
///
/// # Errors
///
/// Fails when the address and path do not form a valid URI.
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
        .map_err(|error| HttpError::invalid_message(&error))
}

fn parse_json<T: DeserializeOwned>(response: &Answer) -> Result<T, HttpError> {
    if !response.status.is_success() {
        return Err(HttpError::status(response));
    }
    serde_json::from_slice(&response.body).map_err(|error| HttpError::invalid_message(&error))
}
