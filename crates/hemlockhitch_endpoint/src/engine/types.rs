//! Requests, responses and reports of model engines.

use hemlockhitch_model::{Class, RequestId, VersionName};
use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// The body of a chat completion request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatRequest {
    /// Name of the model, or of one version as `model@version`.
    pub model: String,
    /// Messages of the conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the response is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate, if the caller limits it.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Sampling temperature, if the caller sets it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
}

/// A completion request for one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// ID of the request, which every chunk of the response repeats.
    pub request_id: RequestId,
    /// The version to run.
    pub version: VersionName,
    /// Class of the request, which determines its priority in the engine.
    pub class: Class,
    /// The chat completion; the client sets its `model` and `stream`.
    pub body: ChatRequest,
    /// Number of tokens already relayed to the caller; 0 unless an interrupted
    /// response is resumed.
    pub resume_offset_tokens: u32,
}

/// Token counts of one completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
}

/// One chunk of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Chunk {
    /// ID of the request that the chunk belongs to.
    pub request_id: RequestId,
    /// Position of the first token of the chunk in the whole response, from 0.
    pub offset_tokens: u32,
    /// Number of tokens in the chunk.
    pub tokens: u32,
    /// Text of the chunk.
    pub text: String,
    /// Why generation ended; set on the last chunk.
    pub finish_reason: Option<String>,
    /// Token counts of the whole response; set on the last chunk.
    pub usage: Option<Usage>,
}

/// The load that an engine reports.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the engine.
    pub waiting: u32,
    /// Maximum number of concurrent requests that the engine accepts at present.
    pub limit: u32,
    /// Whether the engine is warming up after a cold start.
    pub cold: bool,
    /// Wall-clock time of the report, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// An order to an engine. It states the desired state, so it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// Fencing token of the node that sends the order.
    pub fencing: u64,
    /// The versions that the engine is to serve.
    pub versions: Vec<VersionName>,
}

/// The response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponse {
    /// The engine carries out the order.
    Accepted,
    /// The engine rejected the order because it has seen a higher fencing token.
    Fenced {
        /// The highest fencing token that the engine has seen.
        highest: u64,
    },
}

/// Identifies an exported KV cache. The handle is opaque to everything but engines.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct KvHandle {
    /// The handle as the engine returned it.
    pub handle: String,
}
