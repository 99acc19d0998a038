//! HTTP headers and JSON format of streamed completions.

use hemlockhitch_model::RequestId;
use serde::{Deserialize, Serialize};

use super::{Chunk, Usage};

/// The value of [`ChunkEvent::object`].
pub const CHUNK_OBJECT: &str = "chat.completion.chunk";

/// The data of the server-sent event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Header with the ID of the request that a call belongs to.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the priority of a request; 0 is the highest.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header with the number of tokens that the caller has already received.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset-tokens";

/// One server-sent event of a chat completion.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChunkEvent {
    /// ID of the completion.
    pub id: String,
    /// Always [`CHUNK_OBJECT`].
    pub object: String,
    /// Name of the version that generates the response.
    pub model: String,
    /// ID of the request that the chunk belongs to.
    pub request_id: RequestId,
    /// Position of the first token of the chunk in the whole response, from 0.
    pub offset_tokens: u32,
    /// Number of tokens in the chunk.
    pub tokens: u32,
    /// The choices; always exactly one.
    pub choices: Vec<ChunkChoice>,
    /// Token counts of the whole response; set on the last event.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// The only choice of a [`ChunkEvent`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChunkChoice {
    /// Index of the choice; always 0.
    #[serde(default)]
    pub index: u32,
    /// The text that the event adds.
    #[serde(default)]
    pub delta: ChunkDelta,
    /// Why generation ended; set on the last event.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// The text that a [`ChunkChoice`] adds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChunkDelta {
    /// The added text; may be absent on the last event.
    #[serde(default)]
    pub content: Option<String>,
}

impl ChunkEvent {
    /// Creates the event for a chunk that the version `model` generated.
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
