//! Finds a job by its id, and stores a job once for each id.

use hemlockhitch_model::{OrganisationName, RequestId};
use hemlockhitch_ports::key_value::KeyValue;

use super::{Job, Queue, keys, records};
use crate::{LedgerError, LedgerErrorKind};

impl<K: KeyValue> Queue<K> {
    /// Returns a job, whether it has ended or not.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or the record cannot be read.
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

    /// Stores `job`, or returns the job that has its id already.
    ///
    /// # Errors
    ///
    /// Fails as [`Queue::put`] does; a lost answer is resolved by reading back.
    pub async fn put_or_find(&self, job: Job) -> Result<Job, LedgerError> {
        let Err(error) = self.put(&job).await else {
            return Ok(job);
        };
        let Some(standing) = self.find(&job.organisation, job.request_id).await? else {
            return Err(error);
        };
        let is_other = error.kind() == LedgerErrorKind::Mismatch;
        if is_other && standing.deadline_unix_ms != job.deadline_unix_ms {
            // The entry of this try would end the other job at the wrong time.
            records::delete(&self.kv, keys::open(&keys::open_job(&job))).await?;
        }
        Ok(standing)
    }
}
