//! Follows the store and keeps the node's state up to date.

mod apply;
mod backoff;

pub(crate) use backoff::Backoff;

use std::collections::HashSet;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::key_value::{Entry, KeyValue, WatchBatch};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::state::Shared;

/// Every key: one watch for all that a node follows.
const EVERYTHING: &str = "";

/// Follows the store until the task is ended.
pub async fn follow<D: Dialect, C: Clock>(shared: Shared<D, C>, store: impl KeyValue) {
    let mut follower = Follower::default();
    let mut backoff = Backoff::new();
    let watch_ms = shared.settings().watch_ms;
    loop {
        let sent = shared.now();
        match store.watch(EVERYTHING, follower.revision, watch_ms).await {
            Ok(batch) => {
                backoff.reset();
                follower.take(&shared, batch, sent);
            }
            Err(error) => {
                follower.lose(&shared, &error.to_string());
                sleep(backoff.next()).await;
            }
        }
    }
}

/// Where nodes keep their own notes in the store.
const NOTES_PREFIX: &str = "hemlockhitch/";

/// What the follower knows of the store.
#[derive(Debug, Default)]
struct Follower {
    revision: u64,
    known: HashSet<String>,
    lost: bool,
    /// Keys that vanished while the store was away, and until when they stay.
    vanished: Vec<(String, u64)>,
    regained_mono_ms: Option<u64>,
}

impl Follower {
    fn take<D: Dialect, C: Clock>(&mut self, shared: &Shared<D, C>, batch: WatchBatch, sent: Now) {
        let now = shared.now();
        if self.lost {
            self.lost = false;
            self.regained_mono_ms = Some(now.mono_ms);
            tracing::info!(
                event = "HH1202",
                revision = batch.revision,
                "store reached again"
            );
        }
        let mut deleted = batch.deleted;
        if batch.complete {
            let listed: HashSet<&str> = batch
                .written
                .iter()
                .map(|entry| entry.key.as_str())
                .collect();
            let gone = self
                .known
                .iter()
                .filter(|key| !listed.contains(key.as_str()));
            deleted.extend(gone.cloned());
        }
        for key in deleted {
            self.known.remove(&key);
            self.delete(shared, key, now);
        }
        // Nodes' own notes are about orders, which must be known first.
        let is_live = self.revision != 0;
        let (notes, platform): (Vec<Entry>, Vec<Entry>) = batch
            .written
            .into_iter()
            .partition(|entry| entry.key.starts_with(NOTES_PREFIX));
        for entry in platform.into_iter().chain(notes) {
            self.vanished.retain(|(key, _)| *key != entry.key);
            apply::write(shared, &entry, is_live, now);
            self.known.insert(entry.key);
        }
        self.revision = self.revision.max(batch.revision);
        self.drop_vanished(shared, now);
        shared.state().freshness.confirm(sent);
    }

    /// Deletes a key, later if the store was away a moment ago: an entry may have
    /// lapsed only because its owner could not renew it.
    fn delete<D: Dialect, C: Clock>(&mut self, shared: &Shared<D, C>, key: String, now: Now) {
        let until_mono_ms = self
            .regained_mono_ms
            .map_or(0, |at| at + shared.settings().vanished_ms);
        if now.mono_ms < until_mono_ms && apply::may_come_back(shared, &key) {
            self.vanished.push((key, until_mono_ms));
        } else {
            apply::delete(shared, &key, now);
        }
    }

    fn drop_vanished<D: Dialect, C: Clock>(&mut self, shared: &Shared<D, C>, now: Now) {
        let (over, left) = std::mem::take(&mut self.vanished)
            .into_iter()
            .partition(|(_, until_mono_ms)| now.mono_ms >= *until_mono_ms);
        self.vanished = left;
        let over: Vec<(String, u64)> = over;
        for (key, _) in over {
            apply::delete(shared, &key, now);
        }
    }

    fn lose<D: Dialect, C: Clock>(&mut self, shared: &Shared<D, C>, error: &str) {
        if self.lost {
            return;
        }
        self.lost = true;
        let age_ms = shared.state().freshness.age_ms(shared.now());
        tracing::warn!(event = "HH1203", error, ?age_ms, "store cannot be followed");
    }
}
