//! What a caller gets.

use std::time::Instant;

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::MS_PER_S;
use super::events::Event;

/// The last event of a whole stream.
const DONE: &str = "[DONE]";

/// The reply to a chat completion.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChatReply {
    /// HTTP status.
    pub status: u16,
    /// The request's id.
    pub request_id: String,
    /// The version that answered.
    pub version: String,
    /// The session's token.
    pub session: String,
    /// The text.
    pub text: String,
    /// Whether the answer came to its end.
    pub whole: bool,
    /// The refusal, if the answer is one or ends in one.
    pub refusal: Option<RefusalReply>,
    /// Milliseconds to the first text.
    pub first_token_ms: f64,
    /// Milliseconds to the end.
    pub whole_ms: f64,
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RefusalReply {
    /// The stable word.
    pub code: String,
    /// What happened.
    pub message: String,
    /// What to do.
    pub remedy: String,
    /// Whether the request certainly did not run.
    pub not_run: bool,
    /// How long to wait before the next try, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// The reply to a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

impl CallReply {
    /// Returns the refusal, if the reply is one.
    #[must_use]
    pub fn refusal(&self) -> Option<RefusalReply> {
        serde_json::from_str(&self.body).ok()
    }
}

impl ChatReply {
    pub(super) fn from_head(response: &Response<Incoming>) -> Self {
        let header = |name: &str| {
            let value = response.headers().get(name);
            let text = value.and_then(|value| value.to_str().ok());
            text.unwrap_or_default().to_owned()
        };
        Self {
            status: response.status().as_u16(),
            request_id: header("x-request-id"),
            version: header("x-hemlockhitch-version"),
            session: header("x-hemlockhitch-session"),
            ..Self::default()
        }
    }

    pub(super) fn read_whole(&mut self, bytes: &Bytes, started: Instant) {
        self.refusal = serde_json::from_slice(bytes).ok();
        let Ok(body) = serde_json::from_slice::<Value>(bytes) else {
            return;
        };
        let choice = &body["choices"][0];
        if let Some(text) = choice["message"]["content"].as_str() {
            text.clone_into(&mut self.text);
            self.first_token_ms = started.elapsed().as_secs_f64() * MS_PER_S;
            self.whole = choice["finish_reason"].is_string();
        }
    }

    pub(super) fn read_event(&mut self, event: &Event, started: Instant) {
        if event.data == DONE {
            self.whole = true;
            return;
        }
        if event.name == "error" {
            self.refusal = serde_json::from_str(&event.data).ok();
            return;
        }
        let body: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let text = body["choices"][0]["delta"]["content"].as_str();
        if self.text.is_empty() {
            self.first_token_ms = started.elapsed().as_secs_f64() * MS_PER_S;
        }
        self.text.push_str(text.unwrap_or_default());
    }
}
