//! Client of the router's API for callers, for tests and the demo.

mod events;
mod reply;

pub use reply::{CallReply, ChatReply, RefusalReply};

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlockhitch_client::{HttpClient, HttpError};
use hemlockhitch_model::Class;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::json;

use events::EventDecoder;

/// Timeout for the status and headers of a response.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Request for a chat completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatRequest {
    /// Name of a model or a version, or `auto`.
    pub model: String,
    /// Content of the only message, which has the role `user`.
    pub prompt: String,
    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
    /// Class of the request, sent in the header `x-hemlockhitch-class`.
    pub class: Class,
    /// Session token of an earlier reply, if the request continues that session.
    pub session: Option<String>,
}

impl ChatRequest {
    /// Creates a request for a streamed completion with the class `chat`.
    #[must_use]
    pub fn new(model: impl Into<String>, prompt: impl Into<String>) -> Self {
        Self {
            model: model.into(),
            prompt: prompt.into(),
            stream: true,
            class: Class::Chat,
            session: None,
        }
    }

    /// Requests a response that is not streamed.
    #[must_use]
    pub fn without_streaming(mut self) -> Self {
        self.stream = false;
        self
    }

    /// Sets the class of the request.
    #[must_use]
    pub fn class(mut self, class: Class) -> Self {
        self.class = class;
        self
    }

    /// Continues the session with this token.
    #[must_use]
    pub fn session(mut self, session: impl Into<String>) -> Self {
        self.session = Some(session.into());
        self
    }
}

/// Client of one node that authenticates with an organisation's token.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    address: String,
    token: String,
}

impl Caller {
    /// Creates a client of the node at `address`, in the form `ip:port`.
    #[must_use]
    pub fn new(address: impl Into<String>, token: impl Into<String>) -> Self {
        Self {
            client: HttpClient::new(),
            address: address.into(),
            token: token.into(),
        }
    }

    /// Requests a chat completion and reads the response to its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed before the head of the response arrives.
    pub async fn chat(&self, request: &ChatRequest) -> Result<ChatReply, HttpError> {
        let started = Instant::now();
        let body = json!({
            "model": request.model,
            "messages": [{"role": "user", "content": request.prompt}],
            "stream": request.stream,
        });
        let mut headers = HeaderMap::new();
        insert_header(&mut headers, "x-hemlockhitch-class", request.class.as_str());
        if let Some(session) = &request.session {
            insert_header(&mut headers, "x-hemlockhitch-session", session);
        }
        let body = body.to_string();
        let http_request = self.request(Method::POST, "/v1/chat/completions", &headers, body)?;
        let response = self
            .client
            .send(http_request, RESPONSE_HEAD_TIMEOUT)
            .await?;
        let mut reply = ChatReply::from_head(&response);
        if request.stream && response.status().is_success() {
            read_events(response, &mut reply, started).await;
        } else {
            let bytes = read_body(response).await;
            reply.read_body(&bytes, started);
        }
        reply.total_ms = started.elapsed().as_secs_f64() * MS_PER_S;
        Ok(reply)
    }

    /// Calls a plain service; `path` starts with the service's name.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed before the head of the response arrives.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: impl Into<String>,
    ) -> Result<CallReply, HttpError> {
        let mut headers = HeaderMap::new();
        if let Some(key) = idempotency_key {
            insert_header(&mut headers, "idempotency-key", key);
        }
        let path = format!("/v1/services/{path}");
        let request = self.request(method, &path, &headers, body.into())?;
        let response = self.client.send(request, RESPONSE_HEAD_TIMEOUT).await?;
        let status = response.status().as_u16();
        let body = String::from_utf8_lossy(&read_body(response).await).into_owned();
        Ok(CallReply { status, body })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: String,
    ) -> Result<Request<Full<Bytes>>, HttpError> {
        let mut request =
            hemlockhitch_client::json_request(method, &self.address, path, body.into_bytes())?;
        request.headers_mut().extend(headers.clone());
        let bearer = format!("Bearer {}", self.token);
        insert_header(request.headers_mut(), "authorization", &bearer);
        Ok(request)
    }
}

const MS_PER_S: f64 = 1_000.0;

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

async fn read_body(response: Response<Incoming>) -> Bytes {
    let body = response.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .unwrap_or_default()
}

async fn read_events(response: Response<Incoming>, reply: &mut ChatReply, started: Instant) {
    let mut body = response.into_body();
    let mut decoder = EventDecoder::default();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        for event in decoder.decode(&bytes) {
            reply.read_event(&event, started);
        }
    }
}
