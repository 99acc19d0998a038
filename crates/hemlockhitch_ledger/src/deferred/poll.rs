//! Polls for unclaimed jobs with a bounded number of store reads.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::{NodeName, Now, RequestId};
use hemlockhitch_ports::key_value::KeyValue;

use super::active::ActiveJobs;
use super::records::JobClaim;
use super::{OpenJob, keys, records};
use crate::LedgerError;

/// Number of entries that one list call reads.
const PAGE_ENTRIES: usize = 256;

/// Maximum number of pages that one poll reads from each index.
const MAX_PAGES: usize = 8;

/// Maximum number of jobs that one poll caches for later calls of `Queue::take`.
const MAX_CACHED_JOBS: usize = 32;

/// Identifies stale claims of this node: those of jobs that it no longer runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnClaims<'a> {
    pub(super) node: &'a NodeName,
    pub(super) active: &'a ActiveJobs,
}

impl OwnClaims<'_> {
    pub(super) fn is_stale(&self, claim: &JobClaim) -> bool {
        claim.node == *self.node && !self.active.contains(claim.job)
    }
}

/// Caches the unclaimed jobs found by the last poll, and limits how often the
/// store is polled.
#[derive(Clone, Debug)]
pub(super) struct Poller {
    state: Arc<Mutex<PollState>>,
    interval_ms: u64,
}

#[derive(Debug, Default)]
struct PollState {
    jobs: VecDeque<OpenJob>,
    next_poll_mono_ms: u64,
}

impl Poller {
    pub(super) fn new(interval_ms: u64) -> Self {
        Self {
            state: Arc::default(),
            interval_ms,
        }
    }

    /// Returns the next job that appears unclaimed. Polls the store only if the
    /// cache is empty and the interval has elapsed.
    pub(super) async fn next<K: KeyValue>(
        &self,
        kv: &K,
        own_claims: &OwnClaims<'_>,
        now: Now,
    ) -> Result<Option<OpenJob>, LedgerError> {
        if let Some(job) = self.state().jobs.pop_front() {
            return Ok(Some(job));
        }
        if !self.start_if_due(now) {
            return Ok(None);
        }
        let jobs = list_unclaimed(kv, own_claims).await?;
        let mut state = self.state();
        state.jobs = jobs;
        Ok(state.jobs.pop_front())
    }

    /// Returns whether a poll is due, and if so schedules the next one.
    fn start_if_due(&self, now: Now) -> bool {
        let mut state = self.state();
        if now.mono_ms < state.next_poll_mono_ms {
            return false;
        }
        state.next_poll_mono_ms = now.mono_ms + self.interval_ms;
        true
    }

    fn state(&self) -> MutexGuard<'_, PollState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lists unclaimed jobs with the nearest deadlines.
async fn list_unclaimed<K: KeyValue>(
    kv: &K,
    own_claims: &OwnClaims<'_>,
) -> Result<VecDeque<OpenJob>, LedgerError> {
    let claimed = list_claimed(kv, own_claims).await?;
    let mut unclaimed = VecDeque::new();
    let mut after: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let listing = kv
            .list(keys::OPEN_PREFIX, after.as_deref(), PAGE_ENTRIES)
            .await?;
        for entry in &listing.entries {
            let job: OpenJob = records::decode(entry)?;
            if !claimed.contains(&job.request_id) {
                unclaimed.push_back(job);
            }
        }
        if !listing.more || unclaimed.len() >= MAX_CACHED_JOBS {
            break;
        }
        after = listing.entries.last().map(|entry| entry.key.clone());
    }
    unclaimed.truncate(MAX_CACHED_JOBS);
    // Other nodes find the same jobs; a random order reduces claim conflicts.
    fastrand::shuffle(unclaimed.make_contiguous());
    Ok(unclaimed)
}

async fn list_claimed<K: KeyValue>(
    kv: &K,
    own_claims: &OwnClaims<'_>,
) -> Result<HashSet<RequestId>, LedgerError> {
    let mut claimed = HashSet::new();
    let mut after: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let listing = kv
            .list(keys::CLAIM_PREFIX, after.as_deref(), PAGE_ENTRIES)
            .await?;
        for entry in &listing.entries {
            let claim: JobClaim = records::decode(entry)?;
            if !own_claims.is_stale(&claim) {
                claimed.insert(claim.job);
            }
        }
        if !listing.more {
            break;
        }
        after = listing.entries.last().map(|entry| entry.key.clone());
    }
    Ok(claimed)
}
