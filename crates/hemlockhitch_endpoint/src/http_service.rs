//! Client of plain services over HTTP.

use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_client::{HttpClient, HttpError, HttpErrorKind};
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::engine::wire::REQUEST_ID_HEADER;
use crate::service::{Service, ServiceAnswer, ServiceError, ServiceRequest};

/// Default timeout of a call, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// A client of plain services; its clones share the connection pool.
///
/// ```
/// use hemlockhitch_endpoint::HttpService;
///
/// let service = HttpService::new().timeout_ms(2_000_u64);
/// # let _ = service;
/// ```
#[derive(Clone, Debug)]
pub struct HttpService {
    client: HttpClient,
    timeout: Duration,
}

impl HttpService {
    /// Creates a client with the default timeout.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: HttpClient::new(),
            timeout: Duration::from_millis(DEFAULT_TIMEOUT_MS),
        }
    }

    /// Sets the timeout of a call up to the end of the response body, in milliseconds.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: impl Into<u64>) -> Self {
        self.timeout = Duration::from_millis(timeout_ms.into());
        self
    }
}

impl Default for HttpService {
    fn default() -> Self {
        Self::new()
    }
}

impl Service for HttpService {
    async fn call(
        &self,
        address: &str,
        request: ServiceRequest,
    ) -> Result<ServiceAnswer, ServiceError> {
        let deadline = Instant::now() + self.timeout;
        let http_request = build_request(address, request)?;
        let response = self
            .client
            .send(http_request, self.timeout)
            .await
            .map_err(|error| convert_error(address, &error))?;
        match timeout_at(deadline, read_response(address, response)).await {
            Ok(result) => result,
            Err(_) => Err(connection_lost(
                address,
                "the response body did not arrive before the timeout",
            )),
        }
    }
}

fn build_request(
    address: &str,
    request: ServiceRequest,
) -> Result<Request<Full<Bytes>>, ServiceError> {
    if !request.path.starts_with('/') {
        return Err(invalid("path does not start with /"));
    }
    let method = Method::from_bytes(request.method.as_bytes());
    let method = method.map_err(|error| invalid(&error.to_string()))?;
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{}", request.path))
        .header(REQUEST_ID_HEADER, request.request_id.to_string());
    if let Some(content_type) = request.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    builder
        .body(Full::new(request.body))
        .map_err(|error| invalid(&error.to_string()))
}

async fn read_response(
    address: &str,
    response: Response<Incoming>,
) -> Result<ServiceAnswer, ServiceError> {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = response.into_body().collect().await;
    let body = body.map_err(|error| connection_lost(address, &error.to_string()))?;
    let body = String::from_utf8(body.to_bytes().into())
        .map_err(|_| connection_lost(address, "the response body is not UTF-8"))?;
    Ok(ServiceAnswer {
        status,
        content_type,
        body,
    })
}

fn convert_error(address: &str, error: &HttpError) -> ServiceError {
    match error.kind() {
        HttpErrorKind::Connect => ServiceError::Unreachable {
            address: address.to_owned(),
            detail: error.to_string(),
        },
        _ => connection_lost(address, &error.to_string()),
    }
}

fn connection_lost(address: &str, detail: &str) -> ServiceError {
    ServiceError::Broken {
        address: address.to_owned(),
        detail: detail.to_owned(),
    }
}

fn invalid(detail: &str) -> ServiceError {
    ServiceError::Invalid {
        detail: detail.to_owned(),
    }
}
