//! Reads the chunks of a completion from server-sent events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::RequestId;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use super::Timeouts;
use super::counters::DroppedChunkCounters;
use super::sse::SseDecoder;
use crate::engine::wire::{ChunkEvent, DONE};
use crate::engine::{Answer, Chunk, EngineError, EngineErrorKind};

/// How long to wait for the end of the body after the last chunk, so that the
/// connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// The streamed response of an engine. Dropping it closes the connection, and the
/// engine then cancels the request.
#[derive(Debug)]
pub struct HttpCompletionStream {
    address: String,
    request_id: RequestId,
    expected_offset_tokens: u32,
    first_chunk_received: bool,
    finished: bool,
    body: Incoming,
    decoder: SseDecoder,
    timeouts: Timeouts,
    counters: Arc<DroppedChunkCounters>,
}

/// Arguments of [`HttpCompletionStream::new`].
pub(super) struct StreamParts {
    pub(super) address: String,
    pub(super) request_id: RequestId,
    pub(super) resume_offset_tokens: u32,
    pub(super) body: Incoming,
    pub(super) timeouts: Timeouts,
    pub(super) counters: Arc<DroppedChunkCounters>,
}

impl HttpCompletionStream {
    pub(super) fn new(parts: StreamParts) -> Self {
        Self {
            address: parts.address,
            request_id: parts.request_id,
            expected_offset_tokens: parts.resume_offset_tokens,
            first_chunk_received: false,
            finished: false,
            body: parts.body,
            decoder: SseDecoder::default(),
            timeouts: parts.timeouts,
            counters: parts.counters,
        }
    }

    /// Reads events up to the next chunk of this response, skipping mismatched and
    /// duplicate chunks.
    async fn read_chunk(&mut self) -> Result<Chunk, EngineError> {
        loop {
            let data = self.read_event().await?;
            if data == DONE {
                return Err(self.truncated_error());
            }
            let chunk = self.parse_chunk(&data)?;
            if self.is_next_chunk(&chunk)? {
                return Ok(chunk);
            }
        }
    }

    async fn read_event(&mut self) -> Result<String, EngineError> {
        loop {
            let event = self.decoder.next();
            let event = event.map_err(|_| self.protocol_error("event is too long or not UTF-8"))?;
            if let Some(data) = event {
                return Ok(data);
            }
            match self.read_data().await? {
                Some(bytes) => self.decoder.push(&bytes),
                None => return Err(self.truncated_error()),
            }
        }
    }

    async fn read_data(&mut self) -> Result<Option<Bytes>, EngineError> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| self.interrupted_error(&error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    fn parse_chunk(&self, data: &str) -> Result<Chunk, EngineError> {
        if let Ok(event) = serde_json::from_str::<ChunkEvent>(data) {
            return Ok(Chunk::from(event));
        }
        let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        match value.get("error") {
            Some(error) => Err(self.interrupted_error(&error.to_string())),
            None => Err(self.protocol_error("event is not a completion chunk")),
        }
    }

    /// Returns whether the chunk is the next one of this response. Chunks of other
    /// requests and duplicates are counted and logged; a gap is an error.
    fn is_next_chunk(&self, chunk: &Chunk) -> Result<bool, EngineError> {
        if chunk.request_id != self.request_id {
            self.counters.count_mismatched();
            tracing::warn!(
                event = "HH0201",
                address = %self.address,
                request = %self.request_id,
                chunk_of = %chunk.request_id,
                "dropped chunk with mismatched request ID"
            );
            return Ok(false);
        }
        if chunk.offset_tokens < self.expected_offset_tokens {
            self.counters.count_duplicate();
            tracing::debug!(
                event = "HH0202",
                address = %self.address,
                request = %self.request_id,
                offset_tokens = chunk.offset_tokens,
                "dropped duplicate chunk"
            );
            return Ok(false);
        }
        if chunk.offset_tokens > self.expected_offset_tokens {
            return Err(self.protocol_error(&format!(
                "chunk starts at token {}, expected {}",
                chunk.offset_tokens, self.expected_offset_tokens
            )));
        }
        Ok(true)
    }

    /// Reads the remainder of the body, so that the connection can be reused.
    async fn drain(&mut self) {
        let remainder = async { while let Some(Ok(_)) = self.body.frame().await {} };
        let _ = timeout(DRAIN_TIMEOUT, remainder).await;
    }

    fn chunk_timeout(&self) -> Duration {
        if self.first_chunk_received {
            self.timeouts.chunk
        } else {
            self.timeouts.first_chunk
        }
    }

    fn error(&self, kind: EngineErrorKind, detail: String) -> EngineError {
        EngineError::new(kind, self.address.as_str(), detail)
    }

    fn interrupted_error(&self, cause: &str) -> EngineError {
        let detail =
            format!("response stream was interrupted: {cause}; resume it on another endpoint");
        self.error(EngineErrorKind::Broken, detail)
    }

    fn protocol_error(&self, cause: &str) -> EngineError {
        let detail = format!("{cause}; check the engine's version");
        self.error(EngineErrorKind::Protocol, detail)
    }

    fn truncated_error(&self) -> EngineError {
        let detail = format!(
            "response ended after token {} without its last chunk; resume it on another endpoint",
            self.expected_offset_tokens
        );
        self.error(EngineErrorKind::Truncated, detail)
    }

    fn timeout_error(&self, chunk_timeout: Duration) -> EngineError {
        let detail = format!(
            "no chunk received within {} ms; resume the response on another endpoint",
            chunk_timeout.as_millis()
        );
        self.error(EngineErrorKind::TimedOut, detail)
    }
}

impl Answer for HttpCompletionStream {
    async fn next(&mut self) -> Result<Option<Chunk>, EngineError> {
        if self.finished {
            self.drain().await;
            return Ok(None);
        }
        let chunk_timeout = self.chunk_timeout();
        let deadline = Instant::now() + chunk_timeout;
        let Ok(chunk) = timeout_at(deadline, self.read_chunk()).await else {
            return Err(self.timeout_error(chunk_timeout));
        };
        let chunk = chunk?;
        self.first_chunk_received = true;
        self.finished = chunk.finish_reason.is_some();
        self.expected_offset_tokens += chunk.tokens;
        Ok(Some(chunk))
    }
}
