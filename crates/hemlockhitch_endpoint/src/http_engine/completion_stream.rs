//! The answer to a completion, read from server-sent events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::RequestId;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use super::Limits;
use super::counters::Counters;
use super::sse::EventBuffer;
use crate::engine::wire::{ChunkEvent, DONE};
use crate::engine::{Answer, Chunk, EngineError, EngineErrorKind};

/// How long the end of a body is waited for after its last chunk, so that the
/// connection can be used again.
const DRAIN_LIMIT: Duration = Duration::from_millis(50);

/// The answer of an engine; dropping it closes the connection, upon which the
/// engine cancels the work.
#[derive(Debug)]
pub struct HttpAnswer {
    address: String,
    request_id: RequestId,
    expected_offset_tokens: u32,
    started: bool,
    finished: bool,
    body: Incoming,
    events: EventBuffer,
    limits: Limits,
    counters: Arc<Counters>,
}

/// What an [`HttpAnswer`] is made of.
pub(super) struct AnswerParts {
    pub(super) address: String,
    pub(super) request_id: RequestId,
    pub(super) resume_offset_tokens: u32,
    pub(super) body: Incoming,
    pub(super) limits: Limits,
    pub(super) counters: Arc<Counters>,
}

impl HttpAnswer {
    pub(super) fn new(parts: AnswerParts) -> Self {
        Self {
            address: parts.address,
            request_id: parts.request_id,
            expected_offset_tokens: parts.resume_offset_tokens,
            started: false,
            finished: false,
            body: parts.body,
            events: EventBuffer::default(),
            limits: parts.limits,
            counters: parts.counters,
        }
    }

    /// Reads events until one is a chunk that the caller has not yet.
    async fn read_chunk(&mut self) -> Result<Chunk, EngineError> {
        loop {
            let data = self.read_event().await?;
            if data == DONE {
                return Err(self.truncated());
            }
            let chunk = self.parse(&data)?;
            if self.is_fresh(&chunk)? {
                return Ok(chunk);
            }
        }
    }

    async fn read_event(&mut self) -> Result<String, EngineError> {
        loop {
            let event = self.events.next();
            let event = event.map_err(|_| self.protocol("event is too long or not UTF-8"))?;
            if let Some(data) = event {
                return Ok(data);
            }
            match self.read_bytes().await? {
                Some(bytes) => self.events.push(&bytes),
                None => return Err(self.truncated()),
            }
        }
    }

    async fn read_bytes(&mut self) -> Result<Option<Bytes>, EngineError> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| self.broken(&error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    fn parse(&self, data: &str) -> Result<Chunk, EngineError> {
        if let Ok(event) = serde_json::from_str::<ChunkEvent>(data) {
            return Ok(Chunk::from(event));
        }
        let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        match value.get("error") {
            Some(error) => Err(self.broken(&error.to_string())),
            None => Err(self.protocol("event is not a chunk")),
        }
    }

    /// Returns whether the chunk is the next one of this answer; counts those
    /// that are not.
    fn is_fresh(&self, chunk: &Chunk) -> Result<bool, EngineError> {
        if chunk.request_id != self.request_id {
            self.counters.count_foreign();
            tracing::warn!(
                event = "HH0201",
                address = %self.address,
                request = %self.request_id,
                chunk_of = %chunk.request_id,
                "dropped a chunk of another request"
            );
            return Ok(false);
        }
        if chunk.offset_tokens < self.expected_offset_tokens {
            self.counters.count_late();
            tracing::debug!(
                event = "HH0202",
                address = %self.address,
                request = %self.request_id,
                offset_tokens = chunk.offset_tokens,
                "dropped a late chunk"
            );
            return Ok(false);
        }
        if chunk.offset_tokens > self.expected_offset_tokens {
            return Err(self.protocol(&format!(
                "chunk starts at token {}, expected {}",
                chunk.offset_tokens, self.expected_offset_tokens
            )));
        }
        Ok(true)
    }

    /// Reads what is left of the body, so that the connection can be used again.
    async fn drain(&mut self) {
        let rest = async { while let Some(Ok(_)) = self.body.frame().await {} };
        let _ = timeout(DRAIN_LIMIT, rest).await;
    }

    fn limit(&self) -> Duration {
        if self.started {
            self.limits.chunk
        } else {
            self.limits.first_chunk
        }
    }

    fn error(&self, kind: EngineErrorKind, detail: String) -> EngineError {
        EngineError::new(kind, self.address.as_str(), detail)
    }

    fn broken(&self, cause: &str) -> EngineError {
        let detail = format!("answer broke off: {cause}; resume it on another endpoint");
        self.error(EngineErrorKind::Broken, detail)
    }

    fn protocol(&self, cause: &str) -> EngineError {
        let detail = format!("{cause}; check the engine's version");
        self.error(EngineErrorKind::Protocol, detail)
    }

    fn truncated(&self) -> EngineError {
        let detail = format!(
            "answer ended after token {} without its last chunk; resume it on another endpoint",
            self.expected_offset_tokens
        );
        self.error(EngineErrorKind::Truncated, detail)
    }

    fn timed_out(&self, limit: Duration) -> EngineError {
        let detail = format!(
            "no chunk within {} ms; resume it on another endpoint",
            limit.as_millis()
        );
        self.error(EngineErrorKind::TimedOut, detail)
    }
}

impl Answer for HttpAnswer {
    async fn next(&mut self) -> Result<Option<Chunk>, EngineError> {
        if self.finished {
            self.drain().await;
            return Ok(None);
        }
        let limit = self.limit();
        let deadline = Instant::now() + limit;
        let Ok(chunk) = timeout_at(deadline, self.read_chunk()).await else {
            return Err(self.timed_out(limit));
        };
        let chunk = chunk?;
        self.started = true;
        self.finished = chunk.finish_reason.is_some();
        self.expected_offset_tokens += chunk.tokens;
        Ok(Some(chunk))
    }
}
