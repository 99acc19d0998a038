//! Follows the store and keeps the node's state up to date.
//!
//! One node of each data centre watches the store; the others follow that one, and
//! the store itself whenever it fails them.

mod apply;
mod backoff;
mod source;

pub(crate) use backoff::store_backoff;

use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::key_value::{Entry, KeyValue, WatchBatch};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::peer::{FeedClients, write_loads};
use crate::state::Shared;
use crate::wire;
use source::{Source, Sources};

/// Every key: one watch for all that a node follows.
const EVERYTHING: &str = "";

/// Where nodes keep their own notes in the store.
const NOTES_PREFIX: &str = "hemlockhitch/";

/// The greatest age of another node's knowledge at which it is followed, in
/// milliseconds: more than two of its watches.
const PEER_AGE_MOST_MS: u64 = 1_400;

/// How long changes are gathered before the store is watched again: each call has a
/// price, and changes come in groups.
const GATHER: Duration = Duration::from_millis(150);

/// Follows the store until the task is ended.
pub async fn follow<D: Dialect, C: Clock>(shared: Shared<D, C>, store: impl KeyValue) {
    let mut follower = Follower::default();
    let mut clients = FeedClients::default();
    let mut sources = Sources::default();
    let mut backoff = store_backoff();
    let settings = shared.settings().clone();
    loop {
        let sent = shared.now();
        let revision = shared.mirror().revision();
        let source = sources.choose(&shared.state().nodes, &settings, sent);
        let (result, age_ms) = match &source {
            Source::Peer(address) if revision > 0 => {
                let request = wire::FollowRequest {
                    revision,
                    wait_ms: settings.peer_watch_ms,
                    node: settings.node.to_string(),
                    loads: write_loads(&shared.own_loads()),
                };
                match clients.follow(address, request).await {
                    Ok(answer) => {
                        shared.note_others(&answer.loads);
                        (Ok(answer.batch), answer.age_ms)
                    }
                    Err(error) => {
                        tracing::debug!(event = "HH1261", %error, "other node not followed");
                        sources.avoid(address, shared.now());
                        continue;
                    }
                }
            }
            Source::Peer(_) | Source::Store => {
                let watch = store.watch(EVERYTHING, revision, settings.watch_ms).await;
                (watch, 0)
            }
        };
        if let Source::Peer(address) = &source
            && age_ms > PEER_AGE_MOST_MS
        {
            sources.avoid(address, shared.now());
        }
        match result {
            Ok(batch) => {
                backoff.reset();
                let confirmed = Now {
                    mono_ms: sent.mono_ms.saturating_sub(age_ms),
                    ..sent
                };
                let changed = !batch.written.is_empty() || !batch.deleted.is_empty();
                follower.take(&shared, batch, confirmed);
                if changed && source == Source::Store {
                    sleep(GATHER).await;
                }
            }
            Err(error) => {
                follower.lose(&shared, &error.to_string());
                sleep(backoff.next_pause()).await;
            }
        }
    }
}

/// What the follower remembers between batches.
#[derive(Debug, Default)]
struct Follower {
    lost: bool,
    /// Keys that vanished while the store was away, and until when they stay.
    vanished: Vec<(String, u64)>,
    regained_mono_ms: Option<u64>,
}

impl Follower {
    /// Takes in a batch that was right at `confirmed` at least.
    fn take<D: Dialect, C: Clock>(
        &mut self,
        shared: &Shared<D, C>,
        batch: WatchBatch,
        confirmed: Now,
    ) {
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
        let is_live = shared.mirror().revision() != 0;
        let deleted = shared.mirror().take(&batch);
        for key in deleted {
            self.delete(shared, key, now);
        }
        // Nodes' own notes are about orders, which must be known first.
        let (notes, platform): (Vec<Entry>, Vec<Entry>) = batch
            .written
            .into_iter()
            .partition(|entry| entry.key.starts_with(NOTES_PREFIX));
        for entry in platform.into_iter().chain(notes) {
            self.vanished.retain(|(key, _)| *key != entry.key);
            apply::write(shared, &entry, is_live, now);
        }
        self.drop_vanished(shared, now);
        shared.state().freshness.confirm(confirmed);
        shared.publish_revision();
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
