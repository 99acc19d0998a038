//! Jobs that this process is running.

use std::collections::HashSet;
use std::ops::Deref;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::RequestId;

use super::Job;

/// Ids of the jobs that this process is running; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveJobs {
    ids: Arc<Mutex<HashSet<RequestId>>>,
}

impl ActiveJobs {
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.ids().contains(&id)
    }

    /// Marks `job` as running in this process. `claim_version` is the version of
    /// its claim key.
    pub(super) fn start(&self, job: Job, claim_version: u64) -> ClaimedJob {
        self.ids().insert(job.request_id);
        ClaimedJob {
            job,
            claim_version,
            active: self.clone(),
        }
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<RequestId>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A job that this process is running.
///
/// If it is dropped before the job has ended, a later poll of this node takes
/// the job again.
#[derive(Debug)]
pub struct ClaimedJob {
    job: Job,
    pub(super) claim_version: u64,
    active: ActiveJobs,
}

impl Deref for ClaimedJob {
    type Target = Job;

    fn deref(&self) -> &Job {
        &self.job
    }
}

impl Drop for ClaimedJob {
    fn drop(&mut self) {
        self.active.ids().remove(&self.job.request_id);
    }
}
