//! Queue of deferred jobs: stored requests that run before a deadline.

mod active;
mod find;
mod keys;
mod poll;
mod queue;
mod records;

pub use active::ClaimedJob;
pub use queue::{Finished, Queue, QueueSettings};

use hemlockhitch_model::{Class, OrganisationName, RequestId};
use serde::{Deserialize, Serialize};

/// A deferred request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Job {
    /// The request id, which is also the job id.
    pub request_id: RequestId,
    /// The organisation that sent the request.
    pub organisation: OrganisationName,
    /// The class of the request.
    pub class: Class,
    /// The JSON body of the chat completion request.
    pub body: String,
    /// When the request was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// The deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
}

/// The state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job is waiting to run.
    Queued,
    /// A node is running the job.
    Running,
    /// The job ended with an answer.
    Done {
        /// The JSON body of the answer.
        answer: String,
    },
    /// The job ended without an answer.
    Failed {
        /// What failed and what to do.
        reason: String,
    },
}

/// An entry of the index of open jobs, which have not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OpenJob {
    /// The request id, which is also the job id.
    pub request_id: RequestId,
    /// The organisation that sent the request.
    pub organisation: OrganisationName,
    /// The class of the request.
    pub class: Class,
    /// The deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
}
