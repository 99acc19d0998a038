//! Lookup of jobs by id, and idempotent insertion.

use hemlockhitch_model::{OrganisationName, RequestId};
use hemlockhitch_ports::key_value::KeyValue;

use super::{Job, Queue, keys, records};
use crate::{LedgerError, LedgerErrorKind};

impl<K: KeyValue> Queue<K> {
    /// Returns the job with this id, whether or not it has ended.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or the record cannot be decoded.
    pub async fn find(
        &self,
        organisation: &OrganisationName,
        id: RequestId,
    ) -> Result<Option<Job>, LedgerError> {
        let Some(entry) = self.kv.get(&keys::job(organisation, id)).await? else {
            return Ok(None);
        };
        let job: Job = records::decode(&entry)?;
        Ok((job.organisation == *organisation).then_some(job))
    }

    /// Stores `job`, or returns the existing job with the same id.
    ///
    /// # Errors
    ///
    /// Fails like [`Queue::put`], unless reading back after the error finds the job.
    pub async fn get_or_insert(&self, job: Job) -> Result<Job, LedgerError> {
        let Err(error) = self.put(&job).await else {
            return Ok(job);
        };
        let Some(existing) = self.find(&job.organisation, job.request_id).await? else {
            return Err(error);
        };
        let is_other_job = error.kind() == LedgerErrorKind::Mismatch;
        if is_other_job && existing.deadline_unix_ms != job.deadline_unix_ms {
            // `put` has added an open entry with this job's deadline, which would
            // end the existing job at the wrong time.
            records::delete(&self.kv, keys::open(&keys::open_job(&job))).await?;
        }
        Ok(existing)
    }
}
