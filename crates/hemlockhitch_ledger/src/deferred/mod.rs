//! Deferred work: requests that are kept in the store and run before a deadline.

mod active;
mod find;
mod keys;
mod poll;
mod queue;
mod records;

pub use active::TakenJob;
pub use queue::{Finished, Queue, QueueSettings};

use hemlockhitch_model::{Class, OrganisationName, RequestId};
use serde::{Deserialize, Serialize};

/// A request that waits in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The request; it is also the id of the job.
    pub request_id: RequestId,
    /// Who asked.
    pub organisation: OrganisationName,
    /// The class of the request.
    pub class: Class,
    /// The body of the chat completion, as JSON text.
    pub body: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// When it must be done, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
}

/// The state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum JobState {
    /// It waits.
    Queued,
    /// A node works on it.
    Running,
    /// It ended with this answer, as JSON text.
    Done {
        /// The answer.
        answer: String,
    },
    /// It ended without an answer.
    Failed {
        /// Why, and what to do.
        reason: String,
    },
}

/// What is listed of a job that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OpenJob {
    /// The request; it is also the id of the job.
    pub request_id: RequestId,
    /// Who asked.
    pub organisation: OrganisationName,
    /// The class of the request.
    pub class: Class,
    /// When it must be done, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
}
