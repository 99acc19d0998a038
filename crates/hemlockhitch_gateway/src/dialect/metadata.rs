//! What headers say, in the gateway's terms.

use hemlockhitch_model::{EndpointName, OrganisationName};
use hemlockhitch_routing::fleet::Load;
use hemlockhitch_routing::place::PromptPart;

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// The caller's id of this request.
    pub request: String,
    /// How long the caller waits, in milliseconds.
    pub time_ms: Option<u64>,
    /// The caller's name for the session that the request belongs to.
    pub session: Option<String>,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// The model that the caller names; `None` if it leaves the choice open.
    pub model: Option<String>,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// The last event that the caller has of a stream which it resumes.
    pub last_event: Option<u64>,
}

/// What a request to an endpoint says beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct SendTerms<'a> {
    /// The organisation that holds the caller's API key.
    pub organisation: Option<&'a OrganisationName>,
    /// How long the endpoint may take, in milliseconds.
    pub time_ms: u64,
    /// The endpoint that is meant.
    pub endpoint: &'a EndpointName,
    /// The model, where the system chooses it.
    pub model: Option<&'a str>,
    /// The request's rank; 0 goes first.
    pub rank: u8,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerTerms {
    /// The id of the request that it answers.
    pub request: Option<String>,
    /// Whether it carries the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether the body was changed by an encoding on the way.
    pub encoded: bool,
    /// The model's opinion of its answer, in percent.
    pub confidence_percent: Option<u8>,
    /// The endpoint's load.
    pub load: Option<Load>,
    /// How long the endpoint stays cold, in milliseconds.
    pub cold_left_ms: u64,
    /// How long the endpoint keeps the connection when it is idle, in milliseconds.
    pub idle_ms: Option<u64>,
}
