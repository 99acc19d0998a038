//! Queue of deferred jobs.

use hemlockhitch_model::{NodeName, Now, OrganisationName, RequestId};
use hemlockhitch_ports::key_value::{Entry, KeyValue, LeaseId, Swap};

use super::active::{ActiveJobs, ClaimedJob};
use super::poll::{OwnClaims, Poller};
use super::records::{self, EndedJob, JobClaim, JobResult, WriteOutcome};
use super::{Job, JobState, OpenJob, keys};
use crate::{LedgerError, LedgerErrorKind};

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// Minimum interval between two polls of one node.
    pub poll_interval_ms: u64,
    /// How long the result of a job is retained after its end.
    pub retention_ms: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            poll_interval_ms: 5_000,
            retention_ms: 7 * 24 * 60 * 60 * 1_000,
        }
    }
}

/// Result of [`Queue::finish`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finished {
    /// The result was stored.
    Recorded,
    /// The job had already ended; the existing result is kept.
    AlreadyEnded(JobState),
}

/// Queue of deferred jobs in the key-value service.
///
/// A node claims a job with a key attached to the node's lease, so the job of a
/// lost VM becomes available again when the lease expires. If a paused node and
/// its successor both run a job, the first result is kept. Clones share the
/// cached result of the last poll.
///
/// A poll takes between 2 and 16 store reads. Only one or two nodes of each data
/// centre should call [`Queue::take`], so that the cost grows with the number of
/// data centres and not of nodes.
///
/// ```
/// use hemlockhitch_ledger::deferred::{Job, JobState, Queue, QueueSettings};
/// # use hemlockhitch_model::{Clock, SystemClock};
/// # use hemlockhitch_ports::key_value::{KeyValue, MemoryKeyValue};
///
/// # async fn example(job: Job) -> Result<(), Box<dyn std::error::Error>> {
/// # let now = SystemClock::new().now();
/// let kv = MemoryKeyValue::new();
/// let lease = kv.lease_grant(10_000).await?;
/// let queue = Queue::new(kv, QueueSettings::default());
/// queue.put(&job).await?;
/// if let Some(job) = queue.take(&"n-1".into(), lease, now).await? {
///     let answer = "{}".to_owned();
///     queue.finish(&job, JobState::Done { answer }, now).await?;
/// }
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Queue<K> {
    pub(super) kv: K,
    settings: QueueSettings,
    poller: Poller,
    active: ActiveJobs,
}

impl<K: KeyValue> Queue<K> {
    /// Creates a queue that is stored in `kv`.
    #[must_use]
    pub fn new(kv: K, settings: QueueSettings) -> Self {
        Self {
            kv,
            settings,
            poller: Poller::new(settings.poll_interval_ms),
            active: ActiveJobs::default(),
        }
    }

    /// Stores a job. The call is idempotent and may be retried with the same job.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable, the job is too large, or another job has
    /// its id. After an error the job may or may not run; store it again.
    pub async fn put(&self, job: &Job) -> Result<(), LedgerError> {
        let value = records::encode(job)?;
        let open = keys::open_job(job);
        // The index entry is written first: a job without one would never run.
        self.put_if_absent(keys::open(&open), records::encode(&open)?)
            .await?;
        self.put_if_absent(keys::job(&job.organisation, job.request_id), value)
            .await
    }

    /// Claims a job for `node`, which must renew `lease` while it runs the job.
    ///
    /// Open jobs past their deadline are ended as failed.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or the lease has expired.
    pub async fn take(
        &self,
        node: &NodeName,
        lease: LeaseId,
        now: Now,
    ) -> Result<Option<ClaimedJob>, LedgerError> {
        let own_claims = OwnClaims {
            node,
            active: &self.active,
        };
        while let Some(open) = self.poller.next(&self.kv, &own_claims, now).await? {
            if now.unix_ms >= open.deadline_unix_ms {
                self.store_result(&open, deadline_passed(), now).await?;
                continue;
            }
            if let Some(job) = self.try_take(&open, &own_claims, lease).await? {
                return Ok(Some(job));
            }
        }
        Ok(None)
    }

    /// Stores the result of a job, unless it already has one.
    ///
    /// # Errors
    ///
    /// Fails if `state` is not final, the store is unavailable, or the answer is
    /// too large. The call may be retried.
    pub async fn finish(
        &self,
        job: &Job,
        state: JobState,
        now: Now,
    ) -> Result<Finished, LedgerError> {
        if matches!(state, JobState::Queued | JobState::Running) {
            return Err(LedgerError::new(
                LedgerErrorKind::Mismatch,
                "a job ends as done or failed; give its answer or the reason",
            ));
        }
        self.store_result(&keys::open_job(job), state, now).await
    }

    /// Releases the claim on a job that cannot run at present.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable. The job then becomes available when this
    /// node polls again or its lease expires.
    pub async fn release(&self, job: ClaimedJob) -> Result<(), LedgerError> {
        let key = keys::claim(job.request_id);
        self.kv.swap(Swap::delete(key, job.claim_version)).await?;
        Ok(())
    }

    /// Returns the state of a job, or `None` if the job does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or a record cannot be decoded.
    pub async fn state(
        &self,
        organisation: &OrganisationName,
        id: RequestId,
    ) -> Result<Option<JobState>, LedgerError> {
        if self.find(organisation, id).await?.is_none() {
            return Ok(None);
        }
        if let Some(result) = self.read_result(organisation, id).await? {
            return Ok(Some(result.state));
        }
        let claim = self.kv.get(&keys::claim(id)).await?;
        let is_running = claim.is_some();
        Ok(Some(if is_running {
            JobState::Running
        } else {
            JobState::Queued
        }))
    }

    /// Lists up to `limit` open jobs, the nearest deadline first.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or a record cannot be decoded.
    pub async fn list_open(&self, limit: usize) -> Result<Vec<OpenJob>, LedgerError> {
        let listing = self.kv.list(keys::OPEN_PREFIX, None, limit).await?;
        listing.entries.iter().map(records::decode).collect()
    }

    /// Deletes up to `limit` ended jobs whose retention has elapsed, and returns the
    /// number of deleted jobs.
    ///
    /// # Errors
    ///
    /// Fails if the store is unavailable or a record cannot be decoded; a later
    /// call deletes the remaining jobs.
    pub async fn delete_expired(&self, limit: usize, now: Now) -> Result<usize, LedgerError> {
        let listing = self.kv.list(keys::ENDED_PREFIX, None, limit).await?;
        let mut count = 0;
        for entry in &listing.entries {
            let ended: EndedJob = records::decode(entry)?;
            if now.unix_ms < ended.ended_unix_ms + self.settings.retention_ms {
                break;
            }
            let job = keys::job(&ended.organisation, ended.request_id);
            records::delete(&self.kv, job).await?;
            let result = keys::result(&ended.organisation, ended.request_id);
            records::delete(&self.kv, result).await?;
            records::delete(&self.kv, entry.key.clone()).await?;
            count += 1;
        }
        Ok(count)
    }

    /// Claims one job; returns `None` if it is claimed by another node, has ended,
    /// or is not fully stored yet.
    async fn try_take(
        &self,
        open: &OpenJob,
        own_claims: &OwnClaims<'_>,
        lease: LeaseId,
    ) -> Result<Option<ClaimedJob>, LedgerError> {
        let job_key = keys::job(&open.organisation, open.request_id);
        let Some(entry) = self.kv.get(&job_key).await? else {
            // The index entry is written before the job itself.
            return Ok(None);
        };
        let job: Job = records::decode(&entry)?;
        let Some(claim_version) = self.claim(open, own_claims, lease).await? else {
            return Ok(None);
        };
        if let Some(result) = self
            .read_result(&open.organisation, open.request_id)
            .await?
        {
            self.index_as_ended(open, result.ended_unix_ms).await?;
            return Ok(None);
        }
        Ok(Some(self.active.start(job, claim_version)))
    }

    /// Claims a job with a key attached to `lease`; returns the version of the key,
    /// or `None` if another node holds the claim.
    async fn claim(
        &self,
        open: &OpenJob,
        own_claims: &OwnClaims<'_>,
        lease: LeaseId,
    ) -> Result<Option<u64>, LedgerError> {
        let key = keys::claim(open.request_id);
        let claim = JobClaim {
            job: open.request_id,
            node: own_claims.node.clone(),
            token: RequestId::random(),
        };
        let value = records::encode(&claim)?;
        let swap = match self.kv.get(&key).await? {
            None => Swap::create(key, value),
            Some(entry) if own_claims.is_stale(&records::decode(&entry)?) => {
                Swap::replace(key, entry.version, value)
            }
            Some(_) => return Ok(None),
        };
        Ok(match records::write(&self.kv, swap.lease(lease)).await? {
            WriteOutcome::Written(version) => Some(version),
            WriteOutcome::Conflict(_) => None,
        })
    }

    /// Stores the result of a job unless it already has one, then moves the job to
    /// the index of ended jobs.
    async fn store_result(
        &self,
        open: &OpenJob,
        state: JobState,
        now: Now,
    ) -> Result<Finished, LedgerError> {
        let result = JobResult {
            state,
            ended_unix_ms: now.unix_ms,
        };
        let key = keys::result(&open.organisation, open.request_id);
        let swap = Swap::create(key, records::encode(&result)?);
        let existing = match records::write(&self.kv, swap).await? {
            WriteOutcome::Written(_) => None,
            WriteOutcome::Conflict(entry) => entry,
        };
        let previous: Option<JobResult> = existing.as_ref().map(records::decode).transpose()?;
        let ended_unix_ms = previous
            .as_ref()
            .map_or(now.unix_ms, |previous| previous.ended_unix_ms);
        self.index_as_ended(open, ended_unix_ms).await?;
        Ok(match previous {
            None => Finished::Recorded,
            Some(previous) => Finished::AlreadyEnded(previous.state),
        })
    }

    /// Moves a job that has a result from the index of open jobs to that of ended
    /// jobs, and deletes its claim.
    async fn index_as_ended(&self, open: &OpenJob, ended_unix_ms: u64) -> Result<(), LedgerError> {
        let ended = EndedJob {
            request_id: open.request_id,
            organisation: open.organisation.clone(),
            ended_unix_ms,
        };
        let key = keys::ended(ended_unix_ms, open.request_id);
        self.put_if_absent(key, records::encode(&ended)?).await?;
        records::delete(&self.kv, keys::open(open)).await?;
        records::delete(&self.kv, keys::claim(open.request_id)).await
    }

    async fn read_result(
        &self,
        organisation: &OrganisationName,
        id: RequestId,
    ) -> Result<Option<JobResult>, LedgerError> {
        let entry: Option<Entry> = self.kv.get(&keys::result(organisation, id)).await?;
        entry.as_ref().map(records::decode).transpose()
    }

    async fn put_if_absent(&self, key: String, value: String) -> Result<(), LedgerError> {
        match records::write(&self.kv, Swap::create(key, value)).await? {
            WriteOutcome::Written(_) => Ok(()),
            WriteOutcome::Conflict(_) => Err(LedgerError::new(
                LedgerErrorKind::Mismatch,
                "another job has this id; draw a new one",
            )),
        }
    }
}

fn deadline_passed() -> JobState {
    JobState::Failed {
        reason: "the deadline passed before the job could run; send it again".to_owned(),
    }
}
