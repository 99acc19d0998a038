//! JSON messages of chat completions, whole and streamed.

use hemlockhitch_endpoint::engine::{Chunk, Usage};
use hemlockhitch_model::{RequestId, VersionName};
use hemlockhitch_router::{Backend, ChatAnswer, Refusal};
use serde::Serialize;

/// Completion returned in one message.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Completion {
    id: String,
    object: &'static str,
    model: String,
    choices: [Choice; 1],
    usage: UsageCounts,
}

/// Data of one event of a streamed completion.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct CompletionChunk {
    id: String,
    object: &'static str,
    model: String,
    choices: [ChunkChoice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageCounts>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Choice {
    index: u32,
    message: Message,
    finish_reason: Option<String>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ChunkChoice {
    index: u32,
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Delta {
    content: String,
}

#[derive(Debug)]
#[derive(Serialize)]
struct UsageCounts {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl From<Usage> for UsageCounts {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
        }
    }
}

/// Accumulates the chunks of an answer.
#[derive(Debug, Default)]
struct CompletionBuilder {
    text: String,
    finish_reason: Option<String>,
    usage: Usage,
}

impl CompletionBuilder {
    /// Appends the text of a chunk; its finish reason, and its usage if present, replace the
    /// earlier ones.
    fn add(&mut self, chunk: Chunk) {
        self.text.push_str(&chunk.text);
        self.finish_reason = chunk.finish_reason;
        self.usage = chunk.usage.unwrap_or(self.usage);
    }

    /// Builds the completion from the chunks added so far.
    fn into_completion(self, id: RequestId, version: &VersionName) -> Completion {
        Completion {
            id: completion_id(id),
            object: "chat.completion",
            model: version.to_string(),
            choices: [Choice {
                index: 0,
                message: Message {
                    role: "assistant",
                    content: self.text,
                },
                finish_reason: self.finish_reason,
            }],
            usage: self.usage.into(),
        }
    }
}

/// Reads an answer to its end and builds the completion.
pub(super) async fn collect_completion<B: Backend>(
    mut answer: ChatAnswer<B>,
) -> Result<Completion, Refusal> {
    let mut builder = CompletionBuilder::default();
    while let Some(chunk) = answer.relay.next().await? {
        builder.add(chunk);
    }
    Ok(builder.into_completion(answer.request_id, &answer.version))
}

/// Builds the event data for one chunk.
pub(super) fn completion_chunk(chunk: Chunk, version: &VersionName) -> CompletionChunk {
    CompletionChunk {
        id: completion_id(chunk.request_id),
        object: "chat.completion.chunk",
        model: version.to_string(),
        choices: [ChunkChoice {
            index: 0,
            delta: Delta {
                content: chunk.text,
            },
            finish_reason: chunk.finish_reason,
        }],
        usage: chunk.usage.map(UsageCounts::from),
    }
}

fn completion_id(id: RequestId) -> String {
    format!("chatcmpl-{id}")
}
