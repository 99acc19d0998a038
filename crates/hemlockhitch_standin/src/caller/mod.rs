//! A caller of the router, for tests and the demo.

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

use events::EventReader;

/// How long a caller waits for the head of an answer.
const HEAD_LIMIT: Duration = Duration::from_secs(30);

/// A chat completion to ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatAsk {
    /// The model, a version, or `auto`.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The class of the request.
    pub class: Class,
    /// The session token to send.
    pub session: Option<String>,
}

impl ChatAsk {
    /// Asks for a streamed completion of class chat.
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

    /// Asks for the answer in one piece.
    #[must_use]
    pub fn whole(mut self) -> Self {
        self.stream = false;
        self
    }

    /// Sets the class.
    #[must_use]
    pub fn class(mut self, class: Class) -> Self {
        self.class = class;
        self
    }

    /// Goes on with a session.
    #[must_use]
    pub fn session(mut self, session: impl Into<String>) -> Self {
        self.session = Some(session.into());
        self
    }
}

/// A caller with its organisation's token.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    address: String,
    token: String,
}

impl Caller {
    /// Creates a caller of the node at `address`, written `ip:port`.
    #[must_use]
    pub fn new(address: impl Into<String>, token: impl Into<String>) -> Self {
        Self {
            client: HttpClient::new(),
            address: address.into(),
            token: token.into(),
        }
    }

    /// Asks for a chat completion and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the head of the answer.
    pub async fn chat(&self, ask: &ChatAsk) -> Result<ChatReply, HttpError> {
        let started = Instant::now();
        let body = json!({
            "model": ask.model,
            "messages": [{"role": "user", "content": ask.prompt}],
            "stream": ask.stream,
        });
        let mut headers = HeaderMap::new();
        set(&mut headers, "x-hemlockhitch-class", ask.class.as_str());
        if let Some(session) = &ask.session {
            set(&mut headers, "x-hemlockhitch-session", session);
        }
        let body = body.to_string();
        let request = self.request(Method::POST, "/v1/chat/completions", &headers, body)?;
        let response = self.client.send(request, HEAD_LIMIT).await?;
        let mut reply = ChatReply::from_head(&response);
        if ask.stream && response.status().is_success() {
            read_events(response, &mut reply, started).await;
        } else {
            let bytes = read_whole(response).await;
            reply.read_whole(&bytes, started);
        }
        reply.whole_ms = started.elapsed().as_secs_f64() * MS_PER_S;
        Ok(reply)
    }

    /// Calls a plain service; `path` starts with the service's name.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the head of the answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        idempotency_key: Option<&str>,
        body: impl Into<String>,
    ) -> Result<CallReply, HttpError> {
        let mut headers = HeaderMap::new();
        if let Some(key) = idempotency_key {
            set(&mut headers, "idempotency-key", key);
        }
        let path = format!("/v1/services/{path}");
        let request = self.request(method, &path, &headers, body.into())?;
        let response = self.client.send(request, HEAD_LIMIT).await?;
        let status = response.status().as_u16();
        let body = String::from_utf8_lossy(&read_whole(response).await).into_owned();
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
        set(request.headers_mut(), "authorization", &bearer);
        Ok(request)
    }
}

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

async fn read_whole(response: Response<Incoming>) -> Bytes {
    let body = response.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .unwrap_or_default()
}

async fn read_events(response: Response<Incoming>, reply: &mut ChatReply, started: Instant) {
    let mut body = response.into_body();
    let mut reader = EventReader::default();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        for event in reader.read(&bytes) {
            reply.read_event(&event, started);
        }
    }
}
