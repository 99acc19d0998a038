//! Finds jobs that nobody works on, at a bounded cost.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_model::{NodeName, Now, RequestId};
use hemlockhitch_ports::key_value::KeyValue;

use super::active::Holds;
use super::records::Holder;
use super::{OpenJob, keys, records};
use crate::LedgerError;

/// Entries that one call reads.
const PAGE_ENTRIES: usize = 256;

/// Pages that one poll reads of each kind of entry.
const MAX_PAGES: usize = 8;

/// Jobs that one poll keeps for the next takes.
const MAX_FOUND: usize = 32;

/// Tells which claims of this node are left from work that has stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnClaims<'a> {
    pub(super) node: &'a NodeName,
    pub(super) holds: &'a Holds,
}

impl OwnClaims<'_> {
    pub(super) fn is_stale(&self, holder: &Holder) -> bool {
        holder.node == *self.node && !self.holds.contains(holder.job)
    }
}

/// The jobs that the last poll found free, and when the next poll is due.
#[derive(Clone, Debug)]
pub(super) struct Poll {
    shared: Arc<Mutex<Found>>,
    interval_ms: u64,
}

#[derive(Debug, Default)]
struct Found {
    jobs: VecDeque<OpenJob>,
    next_poll_mono_ms: u64,
}

impl Poll {
    pub(super) fn new(interval_ms: u64) -> Self {
        Self {
            shared: Arc::default(),
            interval_ms,
        }
    }

    /// Returns the next job that seems free; calls the store only when none is
    /// left and the interval is over.
    pub(super) async fn next<K: KeyValue>(
        &self,
        kv: &K,
        own: &OwnClaims<'_>,
        now: Now,
    ) -> Result<Option<OpenJob>, LedgerError> {
        if let Some(job) = self.found().jobs.pop_front() {
            return Ok(Some(job));
        }
        if !self.begin(now) {
            return Ok(None);
        }
        let jobs = find_free(kv, own).await?;
        let mut found = self.found();
        found.jobs = jobs;
        Ok(found.jobs.pop_front())
    }

    /// Notes that a poll starts, if one is due.
    fn begin(&self, now: Now) -> bool {
        let mut found = self.found();
        if now.mono_ms < found.next_poll_mono_ms {
            return false;
        }
        found.next_poll_mono_ms = now.mono_ms + self.interval_ms;
        true
    }

    fn found(&self) -> MutexGuard<'_, Found> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Lists the jobs of the nearest deadlines that nobody works on.
async fn find_free<K: KeyValue>(
    kv: &K,
    own: &OwnClaims<'_>,
) -> Result<VecDeque<OpenJob>, LedgerError> {
    let running = list_running(kv, own).await?;
    let mut free = VecDeque::new();
    let mut after: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let listing = kv
            .list(keys::OPEN_PREFIX, after.as_deref(), PAGE_ENTRIES)
            .await?;
        for entry in &listing.entries {
            let job: OpenJob = records::decode(entry)?;
            if !running.contains(&job.request_id) {
                free.push_back(job);
            }
        }
        if !listing.more || free.len() >= MAX_FOUND {
            break;
        }
        after = listing.entries.last().map(|entry| entry.key.clone());
    }
    free.truncate(MAX_FOUND);
    // Other nodes find the same jobs; another order makes fewer of them collide.
    fastrand::shuffle(free.make_contiguous());
    Ok(free)
}

async fn list_running<K: KeyValue>(
    kv: &K,
    own: &OwnClaims<'_>,
) -> Result<HashSet<RequestId>, LedgerError> {
    let mut running = HashSet::new();
    let mut after: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let listing = kv
            .list(keys::CLAIM_PREFIX, after.as_deref(), PAGE_ENTRIES)
            .await?;
        for entry in &listing.entries {
            let holder: Holder = records::decode(entry)?;
            if !own.is_stale(&holder) {
                running.insert(holder.job);
            }
        }
        if !listing.more {
            break;
        }
        after = listing.entries.last().map(|entry| entry.key.clone());
    }
    Ok(running)
}
