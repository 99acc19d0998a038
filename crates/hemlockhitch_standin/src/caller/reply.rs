//! Replies that a caller receives.

use std::time::Instant;

use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::MS_PER_S;
use super::events::Event;

/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// Reply to a chat completion.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChatReply {
    /// HTTP status code.
    pub status: u16,
    /// Request ID that the router assigned.
    pub request_id: String,
    /// Version that generated the answer.
    pub version: String,
    /// Session token, to be sent with later requests of the session.
    pub session: String,
    /// Generated text received so far.
    pub text: String,
    /// Whether the answer is complete.
    pub complete: bool,
    /// Refusal, if the request was refused or the stream ended with an error event.
    pub refusal: Option<RefusalReply>,
    /// Time from sending the request to the first text, in milliseconds.
    pub first_token_ms: f64,
    /// Time from sending the request to the end of the response, in milliseconds.
    pub total_ms: f64,
}

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RefusalReply {
    /// Machine-readable error code; stable across releases.
    pub code: String,
    /// Description of the error.
    pub message: String,
    /// What the caller can do about it.
    pub remedy: String,
    /// Whether the request is guaranteed not to have run.
    pub not_run: bool,
    /// Delay before the next attempt, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// Reply to a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// HTTP status code.
    pub status: u16,
    /// Body as text; invalid UTF-8 is replaced.
    pub body: String,
}

impl CallReply {
    /// Returns the refusal, if the body is one.
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

    pub(super) fn read_body(&mut self, bytes: &Bytes, started: Instant) {
        self.refusal = serde_json::from_slice(bytes).ok();
        let Ok(body) = serde_json::from_slice::<Value>(bytes) else {
            return;
        };
        let choice = &body["choices"][0];
        if let Some(text) = choice["message"]["content"].as_str() {
            text.clone_into(&mut self.text);
            self.first_token_ms = started.elapsed().as_secs_f64() * MS_PER_S;
            self.complete = choice["finish_reason"].is_string();
        }
    }

    pub(super) fn read_event(&mut self, event: &Event, started: Instant) {
        if event.data == DONE {
            self.complete = true;
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
