//! The keys of deferred work in the key-value service.

use hemlockhitch_model::{OrganisationName, RequestId};

use super::{Job, OpenJob};
use crate::shard::hash_text;

/// The prefix of the jobs that have not ended, in order of deadline.
pub(super) const OPEN_PREFIX: &str = "deferred/open/";

/// The prefix of the jobs that a node works on.
pub(super) const CLAIM_PREFIX: &str = "deferred/claim/";

/// The prefix of the jobs that have ended, in order of time.
pub(super) const ENDED_PREFIX: &str = "deferred/ended/";

/// The key of a job's content.
pub(super) fn job(organisation: &OrganisationName, id: RequestId) -> String {
    let organisation = hash_text(organisation.as_str());
    format!("deferred/job/{organisation:016x}/{id}")
}

/// The key of a job's result.
pub(super) fn result(organisation: &OrganisationName, id: RequestId) -> String {
    let organisation = hash_text(organisation.as_str());
    format!("deferred/result/{organisation:016x}/{id}")
}

/// The key by which a job that has not ended is found.
pub(super) fn open(job: &OpenJob) -> String {
    format!(
        "{OPEN_PREFIX}{:013}/{}",
        job.deadline_unix_ms, job.request_id
    )
}

/// The key by which a node holds a job.
pub(super) fn claim(id: RequestId) -> String {
    format!("{CLAIM_PREFIX}{id}")
}

/// The key by which a job that has ended is found.
pub(super) fn ended(ended_unix_ms: u64, id: RequestId) -> String {
    format!("{ENDED_PREFIX}{ended_unix_ms:013}/{id}")
}

/// Returns the entry by which `job` is found while it has not ended.
pub(super) fn open_job(job: &Job) -> OpenJob {
    OpenJob {
        request_id: job.request_id,
        organisation: job.organisation.clone(),
        class: job.class,
        deadline_unix_ms: job.deadline_unix_ms,
    }
}
