//! Request and response metadata that the dialect reads from headers.

use hemlockhitch_model::{EndpointName, OrganisationName};
use hemlockhitch_routing::fleet::Load;
use hemlockhitch_routing::limits::{RequestedPause, RequestedRate};
use hemlockhitch_routing::selection::PromptPart;

/// Metadata of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The caller's id of this request.
    pub request_id: String,
    /// The caller's timeout, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The caller's id of the session that the request belongs to.
    pub session: Option<String>,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// The model that the caller requests; `None` if it leaves the choice open.
    pub model: Option<String>,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// Id of the last event that the caller received of a stream that it resumes.
    pub last_event_id: Option<u64>,
}

/// Metadata of a request to an endpoint, in addition to the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMetadata<'a> {
    /// The organisation that holds the caller's API key.
    pub organisation: Option<&'a OrganisationName>,
    /// How long the endpoint may take, in milliseconds.
    pub timeout_ms: u64,
    /// The endpoint that the request is addressed to.
    pub endpoint: &'a EndpointName,
    /// The model, where the gateway chooses it.
    pub model: Option<&'a str>,
    /// The request's priority; 0 is the highest.
    pub priority: u8,
    /// Id of the last event that the caller received.
    pub last_event_id: Option<u64>,
}

/// Metadata of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The id of the request that it responds to.
    pub request_id: Option<String>,
    /// Whether it carries the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the body was changed by a content encoding on the way.
    pub encoded: bool,
    /// The model's confidence in its response, in percent.
    pub confidence_percent: Option<u8>,
    /// The endpoint's load.
    pub load: Option<Load>,
    /// Remaining time for which the endpoint is cold, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Whether the endpoint states that it is leaving.
    pub leaving: bool,
    /// The pause that the endpoint asks this node for.
    pub pause: Option<RequestedPause>,
    /// The request rate that the endpoint takes from all nodes together, if it limits it.
    pub rate: Option<RequestedRate>,
    /// The number of refusals in a second that the endpoint survives, if it is limited.
    pub brittle: Option<RequestedRate>,
    /// Name of the endpoint that responded, if the response states it.
    pub endpoint: Option<String>,
    /// The endpoint's keepalive time for idle connections, in milliseconds.
    pub keepalive_ms: Option<u64>,
}
