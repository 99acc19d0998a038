//! Messages that describe the processing of callers' requests.

use hemlockhitch_model::{
    Class, EndpointName, ModelName, NodeName, OrganisationName, RequestId, VersionName,
};
use serde::{Deserialize, Serialize};

/// A processing stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A node admitted the request.
    Admitted,
    /// A node refused the request without running it.
    Refused,
    /// The request waited in a queue.
    Queued,
    /// A cascade selected a model.
    ModelChosen,
    /// A version was selected, or the session's version was reused.
    VersionChosen,
    /// A claim was recorded for a non-idempotent request.
    Claimed,
    /// The request was sent to an endpoint.
    Dispatched,
    /// An endpoint failed or refused the request.
    EndpointFailed,
    /// A response was rated.
    Rated,
    /// A cascade escalated to its next model.
    Escalated,
    /// The complete response was relayed.
    Finished,
    /// The request ended without a complete response.
    Failed,
    /// The request was billed.
    Billed,
}

/// One step in the processing of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplanationStep {
    /// Time of the step, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Stage that was reached.
    pub stage: Stage,
    /// Version involved, if any.
    pub version: Option<VersionName>,
    /// Endpoint involved, if any.
    pub endpoint: Option<EndpointName>,
    /// Explanation for operators; never contains request content.
    pub reason: String,
}

/// How one request was processed, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// Id of the request.
    pub request: RequestId,
    /// Node that relayed the request.
    pub node: NodeName,
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Class of the request.
    pub class: Class,
    /// Configuration generation used for routing.
    pub generation: u64,
    /// Steps in chronological order.
    pub steps: Vec<ExplanationStep>,
}

/// State of a deferred request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeferredState {
    /// Queued for execution.
    Waiting,
    /// Being executed by a node.
    Running,
    /// Finished; the response can be fetched.
    Done,
    /// Ended without a response.
    Failed,
}

/// Status of one deferred request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeferredStatus {
    /// Id of the request.
    pub request: RequestId,
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Requested model, or the model at which the requested cascade starts.
    pub model: Option<ModelName>,
    /// Current state.
    pub state: DeferredState,
    /// Admission time, in milliseconds since the Unix epoch.
    pub admitted_unix_ms: u64,
    /// Deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// Number of execution attempts.
    pub attempts: u32,
}
