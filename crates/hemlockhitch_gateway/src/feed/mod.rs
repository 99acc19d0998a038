//! Follows the store and keeps the node's state up to date.
//!
//! One node of each data centre watches the store. The others follow that node, and
//! fall back to the store when it fails.

mod apply;
mod backoff;
mod source;

pub(crate) use backoff::store_backoff;

use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::key_value::{Entry, KeyValue, WatchBatch};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::peer::{FeedClients, loads_to_wire};
use crate::state::NodeContext;
use crate::wire;
use source::{Source, SourceSelector};

/// Prefix of every key: a single watch covers all that a node follows.
const ALL_KEYS: &str = "";

/// Prefix of the keys that nodes write themselves.
const NODE_KEYS_PREFIX: &str = "hemlockhitch/";

/// Maximum age of a peer's state at which it is followed, in milliseconds: more than
/// two of its watches.
const MAX_PEER_AGE_MS: u64 = 1_400;

/// Delay before the store is watched again after a change: each call has a cost, and
/// changes come in groups.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// Follows the store until the task is cancelled.
pub async fn follow_store<D: Dialect, C: Clock>(
    node_context: NodeContext<D, C>,
    store: impl KeyValue,
) {
    let mut follower = Follower::default();
    let mut clients = FeedClients::default();
    let mut selector = SourceSelector::default();
    let mut backoff = store_backoff();
    let settings = node_context.settings().clone();
    loop {
        let sent = node_context.now();
        let revision = node_context.mirror().revision();
        let source = selector.select(&node_context.state().nodes, &settings, sent);
        let (result, age_ms) = match &source {
            Source::Peer(address) if revision > 0 => {
                let request = wire::FollowRequest {
                    revision,
                    wait_ms: settings.peer_watch_ms,
                    node: settings.node.to_string(),
                    loads: loads_to_wire(&node_context.own_loads()),
                };
                match clients.follow(address, request).await {
                    Ok(reply) => {
                        node_context.set_peer_loads(&reply.loads);
                        (Ok(reply.batch), reply.age_ms)
                    }
                    Err(error) => {
                        tracing::debug!(event = "HH1261", %error, "failed to follow a peer");
                        selector.mark_failed(address, node_context.now());
                        continue;
                    }
                }
            }
            Source::Peer(_) | Source::Store => {
                let watch = store.watch(ALL_KEYS, revision, settings.watch_ms).await;
                (watch, 0)
            }
        };
        if let Source::Peer(address) = &source
            && age_ms > MAX_PEER_AGE_MS
        {
            selector.mark_failed(address, node_context.now());
        }
        match result {
            Ok(batch) => {
                backoff.reset();
                let confirmed = Now {
                    mono_ms: sent.mono_ms.saturating_sub(age_ms),
                    ..sent
                };
                let changed = !batch.written.is_empty() || !batch.deleted.is_empty();
                follower.apply_batch(&node_context, batch, confirmed);
                if changed && source == Source::Store {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(error) => {
                follower.record_store_loss(&node_context, &error.to_string());
                sleep(backoff.next_pause()).await;
            }
        }
    }
}

/// State that the follower keeps between batches.
#[derive(Debug, Default)]
struct Follower {
    store_lost: bool,
    /// Keys that disappeared during an outage of the store, and the monotonic time in
    /// milliseconds until which their entries are kept.
    deferred_deletions: Vec<(String, u64)>,
    reconnected_mono_ms: Option<u64>,
}

impl Follower {
    /// Applies a batch that was current at `confirmed` or later.
    fn apply_batch<D: Dialect, C: Clock>(
        &mut self,
        node_context: &NodeContext<D, C>,
        batch: WatchBatch,
        confirmed: Now,
    ) {
        let now = node_context.now();
        if self.store_lost {
            self.store_lost = false;
            self.reconnected_mono_ms = Some(now.mono_ms);
            tracing::info!(
                event = "HH1202",
                revision = batch.revision,
                "store reachable again"
            );
        }
        let is_live = node_context.mirror().revision() != 0;
        let deleted = node_context.mirror().apply(&batch);
        for key in deleted {
            self.delete(node_context, key, now);
        }
        // Entries that nodes write refer to orders, which must be known first.
        let (node_entries, platform_entries): (Vec<Entry>, Vec<Entry>) = batch
            .written
            .into_iter()
            .partition(|entry| entry.key.starts_with(NODE_KEYS_PREFIX));
        for entry in platform_entries.into_iter().chain(node_entries) {
            self.deferred_deletions.retain(|(key, _)| *key != entry.key);
            apply::write(node_context, &entry, is_live, now);
        }
        self.apply_deferred_deletions(node_context, now);
        node_context.state().freshness.confirm(confirmed);
        node_context.publish_revision();
    }

    /// Deletes a key. Shortly after an outage of the store the deletion is deferred: an
    /// entry may have expired only because its owner could not renew it.
    fn delete<D: Dialect, C: Clock>(
        &mut self,
        node_context: &NodeContext<D, C>,
        key: String,
        now: Now,
    ) {
        let until_mono_ms = self
            .reconnected_mono_ms
            .map_or(0, |at| at + node_context.settings().deletion_grace_ms);
        if now.mono_ms < until_mono_ms && apply::may_reappear(node_context, &key) {
            self.deferred_deletions.push((key, until_mono_ms));
        } else {
            apply::delete(node_context, &key, now);
        }
    }

    fn apply_deferred_deletions<D: Dialect, C: Clock>(
        &mut self,
        node_context: &NodeContext<D, C>,
        now: Now,
    ) {
        let (due, pending) = std::mem::take(&mut self.deferred_deletions)
            .into_iter()
            .partition(|(_, until_mono_ms)| now.mono_ms >= *until_mono_ms);
        self.deferred_deletions = pending;
        let due: Vec<(String, u64)> = due;
        for (key, _) in due {
            apply::delete(node_context, &key, now);
        }
    }

    fn record_store_loss<D: Dialect, C: Clock>(
        &mut self,
        node_context: &NodeContext<D, C>,
        error: &str,
    ) {
        if self.store_lost {
            return;
        }
        self.store_lost = true;
        let age_ms = node_context.state().freshness.age_ms(node_context.now());
        tracing::warn!(
            event = "HH1203",
            error,
            ?age_ms,
            "failed to follow the store"
        );
    }
}
