//! Messages of the model engines' API.

use hemlockhitch_model::{Class, RequestId, VersionName};
use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// The body of a chat completion.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatRequest {
    /// The model, or one version as `model@version`.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Sampling temperature.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
}

/// A completion as it is sent to one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// The request's id, which every chunk of the answer repeats.
    pub request_id: RequestId,
    /// The version to run.
    pub version: VersionName,
    /// The class, which sets the engine's priority.
    pub class: Class,
    /// The body.
    pub body: ChatRequest,
    /// How many tokens were relayed already when an answer is resumed.
    pub resume_offset_tokens: u32,
}

/// Counts of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Chunk {
    /// The request that the chunk belongs to.
    pub request_id: RequestId,
    /// Position of the chunk's first token in the whole answer.
    pub offset_tokens: u32,
    /// Number of tokens in the chunk.
    pub tokens: u32,
    /// The text.
    pub text: String,
    /// Why the answer ended; set on the last chunk.
    pub finish_reason: Option<String>,
    /// Counts for the whole answer; set on the last chunk.
    pub usage: Option<Usage>,
}

/// An engine's report of its load.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadReport {
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// The most requests that the engine bears at present.
    pub limit: u32,
    /// Whether the engine is in cold start.
    pub cold: bool,
    /// Wall-clock time of the report, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// An order to an engine: a desired state, so that repeating it is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// The fencing number of the node that gives the order.
    pub fencing: u64,
    /// The versions that the engine is to serve.
    pub versions: Vec<VersionName>,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The order is carried out.
    Accepted,
    /// The engine has seen a higher fencing number.
    Fenced {
        /// The highest number that it has seen.
        highest: u64,
    },
}

/// Names an exported KV cache; only engines can read it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct KvHandle {
    /// The engine's own text.
    pub handle: String,
}
