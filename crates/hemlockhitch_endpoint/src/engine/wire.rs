//! The JSON of a streamed answer.

use hemlockhitch_model::RequestId;
use serde::{Deserialize, Serialize};

use super::{Chunk, Usage};

/// The value of [`ChunkEvent::object`].
pub const CHUNK_OBJECT: &str = "chat.completion.chunk";

/// The data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Names the request that a call belongs to.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Carries the priority of a request; 0 is the highest.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Carries the number of tokens that the caller already has.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset-tokens";

/// One server-sent event of a chat completion.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChunkEvent {
    /// Identifies the completion.
    pub id: String,
    /// Always [`CHUNK_OBJECT`].
    pub object: String,
    /// The version that generates the answer.
    pub model: String,
    /// The request that the chunk belongs to.
    pub request_id: RequestId,
    /// Position of the chunk's first token in the whole answer.
    pub offset_tokens: u32,
    /// Number of tokens in the chunk.
    pub tokens: u32,
    /// Exactly one choice.
    pub choices: Vec<ChunkChoice>,
    /// Counts for the whole answer; set on the last event.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// The choice of a [`ChunkEvent`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChunkChoice {
    /// Always 0.
    #[serde(default)]
    pub index: u32,
    /// The new text.
    #[serde(default)]
    pub delta: ChunkDelta,
    /// Why the answer ended; set on the last event.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// The new text of a [`ChunkChoice`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChunkDelta {
    /// The text, absent on the last event.
    #[serde(default)]
    pub content: Option<String>,
}

impl ChunkEvent {
    /// Wraps a chunk that `model` generated.
    #[must_use]
    pub fn new(chunk: Chunk, model: impl Into<String>) -> Self {
        let choice = ChunkChoice {
            index: 0,
            delta: ChunkDelta {
                content: Some(chunk.text),
            },
            finish_reason: chunk.finish_reason,
        };
        Self {
            id: chunk.request_id.to_string(),
            object: CHUNK_OBJECT.to_owned(),
            model: model.into(),
            request_id: chunk.request_id,
            offset_tokens: chunk.offset_tokens,
            tokens: chunk.tokens,
            choices: vec![choice],
            usage: chunk.usage,
        }
    }
}

impl From<ChunkEvent> for Chunk {
    fn from(event: ChunkEvent) -> Self {
        let choice = event.choices.into_iter().next().unwrap_or_default();
        Self {
            request_id: event.request_id,
            offset_tokens: event.offset_tokens,
            tokens: event.tokens,
            text: choice.delta.content.unwrap_or_default(),
            finish_reason: choice.finish_reason,
            usage: event.usage,
        }
    }
}
