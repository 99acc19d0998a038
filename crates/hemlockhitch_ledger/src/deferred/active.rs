//! The jobs that this process works on.

use std::collections::HashSet;
use std::ops::Deref;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::RequestId;

use super::Job;

/// The ids of the jobs that this process works on.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds {
    ids: Arc<Mutex<HashSet<RequestId>>>,
}

impl Holds {
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.ids().contains(&id)
    }

    /// Notes that this process works on `job`, held by a key of this version.
    pub(super) fn hold(&self, job: Job, claim_version: u64) -> TakenJob {
        self.ids().insert(job.request_id);
        TakenJob {
            job,
            claim_version,
            holds: self.clone(),
        }
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<RequestId>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A job that this process works on.
///
/// If it is dropped before the job has ended, a later poll of this node takes
/// the job again.
#[derive(Debug)]
pub struct TakenJob {
    job: Job,
    pub(super) claim_version: u64,
    holds: Holds,
}

impl Deref for TakenJob {
    type Target = Job;

    fn deref(&self) -> &Job {
        &self.job
    }
}

impl Drop for TakenJob {
    fn drop(&mut self) {
        self.holds.ids().remove(&self.job.request_id);
    }
}
