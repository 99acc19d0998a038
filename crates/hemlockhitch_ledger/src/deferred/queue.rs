//! The queue of deferred work.

use hemlockhitch_model::{NodeName, Now, OrganisationName, RequestId};
use hemlockhitch_ports::key_value::{Entry, KeyValue, LeaseId, Swap};

use super::active::{Holds, TakenJob};
use super::poll::{OwnClaims, Poll};
use super::records::{self, Created, EndedJob, Holder, JobResult};
use super::{Job, JobState, OpenJob, keys};
use crate::{LedgerError, LedgerErrorKind};

/// Settings of a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// The shortest time between two polls of one node.
    pub poll_interval_ms: u64,
    /// How long the result of a job is kept.
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

/// How the result of a job was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finished {
    /// It is stored.
    Recorded,
    /// The job had ended before; the former result stands.
    EndedBefore(JobState),
}

/// Keeps jobs in the key-value service until they have run.
///
/// A node holds a job by a key that goes with the node's lease, so the job of a
/// lost VM becomes free when the lease lapses. A node that was paused may then
/// run a job a second time, and the first result stands. Clones share what the
/// last poll found.
///
/// A poll costs two to sixteen reads of the store. Let one or two nodes of each
/// data centre call [`Queue::take`], so that the cost grows with data centres
/// and not with nodes.
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
    poll: Poll,
    holds: Holds,
}

impl<K: KeyValue> Queue<K> {
    /// Creates a queue over `kv`.
    #[must_use]
    pub fn new(kv: K, settings: QueueSettings) -> Self {
        Self {
            kv,
            settings,
            poll: Poll::new(settings.poll_interval_ms),
            holds: Holds::default(),
        }
    }

    /// Stores a job; the same job may be stored again.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer, when the job is too large, or when
    /// another job has its id. The job may then run or not; store it again.
    pub async fn put(&self, job: &Job) -> Result<(), LedgerError> {
        let value = records::encode(job)?;
        let open = keys::open_job(job);
        // A job that cannot be found would never run, so this entry comes first.
        self.create_once(keys::open(&open), records::encode(&open)?)
            .await?;
        self.create_once(keys::job(&job.organisation, job.request_id), value)
            .await
    }

    /// Takes a job for `node`, which renews `lease` while it works.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or the lease has lapsed.
    pub async fn take(
        &self,
        node: &NodeName,
        lease: LeaseId,
        now: Now,
    ) -> Result<Option<TakenJob>, LedgerError> {
        let own = OwnClaims {
            node,
            holds: &self.holds,
        };
        while let Some(open) = self.poll.next(&self.kv, &own, now).await? {
            if now.unix_ms >= open.deadline_unix_ms {
                self.end(&open, deadline_passed(), now).await?;
                continue;
            }
            if let Some(job) = self.try_take(&open, &own, lease).await? {
                return Ok(Some(job));
            }
        }
        Ok(None)
    }

    /// Stores how a job ended; the first result stands.
    ///
    /// # Errors
    ///
    /// Fails when `state` is no end, when the store does not answer, or when
    /// the answer is too large. It may be called again.
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
        self.end(&keys::open_job(job), state, now).await
    }

    /// Gives a job back that cannot run at present.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer; the job is then free when this
    /// node polls again or its lease lapses.
    pub async fn release(&self, job: TakenJob) -> Result<(), LedgerError> {
        let key = keys::claim(job.request_id);
        self.kv.swap(Swap::delete(key, job.claim_version)).await?;
        Ok(())
    }

    /// Returns the state of a job, or `None` if it is not known.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or a record cannot be read.
    pub async fn get(
        &self,
        organisation: &OrganisationName,
        id: RequestId,
    ) -> Result<Option<JobState>, LedgerError> {
        if self.find(organisation, id).await?.is_none() {
            return Ok(None);
        }
        if let Some(result) = self.result(organisation, id).await? {
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

    /// Lists jobs that have not ended, the nearest deadline first.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or a record cannot be read.
    pub async fn list(&self, limit: usize) -> Result<Vec<OpenJob>, LedgerError> {
        let listing = self.kv.list(keys::OPEN_PREFIX, None, limit).await?;
        listing.entries.iter().map(records::decode).collect()
    }

    /// Deletes up to `limit` jobs whose results are kept no longer, and returns
    /// how many.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer; the rest is deleted another time.
    pub async fn expire(&self, limit: usize, now: Now) -> Result<usize, LedgerError> {
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

    /// Takes one job, unless another node works on it or it has ended.
    async fn try_take(
        &self,
        open: &OpenJob,
        own: &OwnClaims<'_>,
        lease: LeaseId,
    ) -> Result<Option<TakenJob>, LedgerError> {
        let job_key = keys::job(&open.organisation, open.request_id);
        let Some(entry) = self.kv.get(&job_key).await? else {
            // The job is still being stored.
            return Ok(None);
        };
        let job: Job = records::decode(&entry)?;
        let Some(claim_version) = self.claim(open, own, lease).await? else {
            return Ok(None);
        };
        if let Some(result) = self.result(&open.organisation, open.request_id).await? {
            self.clean_up(open, result.ended_unix_ms).await?;
            return Ok(None);
        }
        Ok(Some(self.holds.hold(job, claim_version)))
    }

    /// Holds a job by a key that goes with `lease`; returns its version.
    async fn claim(
        &self,
        open: &OpenJob,
        own: &OwnClaims<'_>,
        lease: LeaseId,
    ) -> Result<Option<u64>, LedgerError> {
        let key = keys::claim(open.request_id);
        let holder = Holder {
            job: open.request_id,
            node: own.node.clone(),
            token: RequestId::random(),
        };
        let value = records::encode(&holder)?;
        let swap = match self.kv.get(&key).await? {
            None => Swap::create(key, value),
            Some(entry) if own.is_stale(&records::decode(&entry)?) => {
                Swap::replace(key, entry.version, value)
            }
            Some(_) => return Ok(None),
        };
        Ok(match records::write(&self.kv, swap.lease(lease)).await? {
            Created::Ours(version) => Some(version),
            Created::Other(_) => None,
        })
    }

    /// Stores the result of a job unless it has one, then cleans up.
    async fn end(
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
        let standing = match records::write(&self.kv, swap).await? {
            Created::Ours(_) => None,
            Created::Other(entry) => entry,
        };
        let former: Option<JobResult> = standing.as_ref().map(records::decode).transpose()?;
        let ended_unix_ms = former
            .as_ref()
            .map_or(now.unix_ms, |former| former.ended_unix_ms);
        self.clean_up(open, ended_unix_ms).await?;
        Ok(match former {
            None => Finished::Recorded,
            Some(former) => Finished::EndedBefore(former.state),
        })
    }

    /// Lets a job that has a result no longer be found as open.
    async fn clean_up(&self, open: &OpenJob, ended_unix_ms: u64) -> Result<(), LedgerError> {
        let ended = EndedJob {
            request_id: open.request_id,
            organisation: open.organisation.clone(),
            ended_unix_ms,
        };
        let key = keys::ended(ended_unix_ms, open.request_id);
        self.create_once(key, records::encode(&ended)?).await?;
        records::delete(&self.kv, keys::open(open)).await?;
        records::delete(&self.kv, keys::claim(open.request_id)).await
    }

    async fn result(
        &self,
        organisation: &OrganisationName,
        id: RequestId,
    ) -> Result<Option<JobResult>, LedgerError> {
        let entry: Option<Entry> = self.kv.get(&keys::result(organisation, id)).await?;
        entry.as_ref().map(records::decode).transpose()
    }

    async fn create_once(&self, key: String, value: String) -> Result<(), LedgerError> {
        match records::write(&self.kv, Swap::create(key, value)).await? {
            Created::Ours(_) => Ok(()),
            Created::Other(_) => Err(LedgerError::new(
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
