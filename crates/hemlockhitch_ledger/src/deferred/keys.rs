//! Keys of deferred jobs in the key-value service.

use hemlockhitch_model::{OrganisationName, RequestId};

use super::{Job, OpenJob};
use crate::shard::stable_hash;

/// Prefix of the index of open jobs, ordered by deadline.
pub(super) const OPEN_PREFIX: &str = "deferred/open/";

/// Prefix of the claims of running jobs.
pub(super) const CLAIM_PREFIX: &str = "deferred/claim/";

/// Prefix of the index of ended jobs, ordered by end time.
pub(super) const ENDED_PREFIX: &str = "deferred/ended/";

/// Returns the key of a job.
pub(super) fn job(organisation: &OrganisationName, id: RequestId) -> String {
    let organisation = stable_hash(organisation.as_str());
    format!("deferred/job/{organisation:016x}/{id}")
}

/// Returns the key of a job's result.
pub(super) fn result(organisation: &OrganisationName, id: RequestId) -> String {
    let organisation = stable_hash(organisation.as_str());
    format!("deferred/result/{organisation:016x}/{id}")
}

/// Returns the key of a job in the index of open jobs.
pub(super) fn open(job: &OpenJob) -> String {
    format!(
        "{OPEN_PREFIX}{:013}/{}",
        job.deadline_unix_ms, job.request_id
    )
}

/// Returns the key of the claim on a job.
pub(super) fn claim(id: RequestId) -> String {
    format!("{CLAIM_PREFIX}{id}")
}

/// Returns the key of a job in the index of ended jobs.
pub(super) fn ended(ended_unix_ms: u64, id: RequestId) -> String {
    format!("{ENDED_PREFIX}{ended_unix_ms:013}/{id}")
}

/// Returns the entry of `job` in the index of open jobs.
pub(super) fn open_job(job: &Job) -> OpenJob {
    OpenJob {
        request_id: job.request_id,
        organisation: job.organisation.clone(),
        class: job.class,
        deadline_unix_ms: job.deadline_unix_ms,
    }
}
