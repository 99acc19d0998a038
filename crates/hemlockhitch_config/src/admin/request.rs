//! Messages about requests of callers.

use hemlockhitch_model::{
    Class, EndpointName, ModelName, NodeName, OrganisationName, RequestId, VersionName,
};
use serde::{Deserialize, Serialize};

/// The stages that a request passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A node took the request in.
    Admitted,
    /// A node refused the request; it was not run.
    Refused,
    /// The request waited in a queue.
    Queued,
    /// A cascade chose a model.
    ModelChosen,
    /// A version was chosen, or the session's was kept.
    VersionChosen,
    /// A claim was written for a non-idempotent request.
    Claimed,
    /// The request was sent to an endpoint.
    Dispatched,
    /// An endpoint failed or refused the request.
    EndpointFailed,
    /// An answer was rated.
    Rated,
    /// A cascade moved on to its next model.
    Escalated,
    /// The answer was relayed whole.
    Finished,
    /// The request ended without a whole answer.
    Failed,
    /// The request was billed.
    Billed,
}

/// One step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplanationStep {
    /// Time of the step, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The stage that the request passed.
    pub stage: Stage,
    /// The version concerned.
    pub version: Option<VersionName>,
    /// The endpoint concerned.
    pub endpoint: Option<EndpointName>,
    /// Why, in words for operators; never text of the request.
    pub reason: String,
}

/// What happened to one request, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// The request.
    pub request: RequestId,
    /// The node that relayed it.
    pub node: NodeName,
    /// The organisation that sent it.
    pub organisation: OrganisationName,
    /// Its class.
    pub class: Class,
    /// The generation of the configuration that decided.
    pub generation: u64,
    /// The steps in order of time.
    pub steps: Vec<ExplanationStep>,
}

/// The state of a deferred request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeferredState {
    /// It waits to be run.
    Waiting,
    /// A node runs it.
    Running,
    /// Its answer is ready to be fetched.
    Done,
    /// It ended without an answer.
    Failed,
}

/// One deferred request, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeferredStatus {
    /// The request.
    pub request: RequestId,
    /// The organisation that sent it.
    pub organisation: OrganisationName,
    /// The model or cascade start that it asks for.
    pub model: Option<ModelName>,
    /// Its state.
    pub state: DeferredState,
    /// When it was taken in, in milliseconds since the Unix epoch.
    pub admitted_unix_ms: u64,
    /// When it must be finished, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// How often it was tried.
    pub attempts: u32,
}
