//! Follows the store and keeps the node's state up to date.
//!
//! The nodes of a data centre follow one of them, the hub; the hubs follow the first of
//! them, which watches the store. [`SourceSelector`] selects what a node asks next.

mod apply;
mod backoff;
mod bootstrap;
mod epoch;

pub(crate) use backoff::store_backoff;

use std::time::Duration;

use apply::Provenance;
use hemlockhitch_model::{Clock, Now, StorePosition};
use hemlockhitch_ports::key_value::{Entry, KeyValue, WatchBatch};
use hemlockhitch_routing::source::{Source, SourceSelector};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::peer::{Applied, FeedClients, loads_to_wire};
use crate::state::NodeContext;
use crate::wire;

/// Prefix of every key: a single watch covers all that a node follows.
const ALL_KEYS: &str = "";

/// Prefix of the keys that nodes write themselves.
const NODE_KEYS_PREFIX: &str = "hemlockhitch/";

/// Maximum age of a peer's state at which it is followed, in milliseconds: more than
/// two of its watches, and two of the hub's that it follows.
const MAX_PEER_AGE_MS: u64 = 1_400;

/// The same for a node of another data centre, which follows the store itself. Its
/// followers replace it before their own followers would replace them.
const MAX_REMOTE_AGE_MS: u64 = 1_000;

/// Delay before the store is watched again after a change: each call has a cost, and
/// changes come in groups.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// How long a call to a node of another data centre waits, in milliseconds: knowledge
/// that passes through two nodes must not be older than that through one.
const REMOTE_WATCH_MS: u64 = 200;

/// Follows the store until the task is cancelled.
pub async fn follow_store<D: Dialect, C: Clock>(
    node_context: NodeContext<D, C>,
    store: impl KeyValue,
) {
    bootstrap::load_nodes(&node_context, &store).await;
    let now = node_context.now();
    let own = node_context.settings().followable();
    let mut feed = FeedTask {
        selector: SourceSelector::new(own, now),
        node_context: node_context.clone(),
        store,
        follower: Follower::default(),
        clients: FeedClients::default(),
    };
    loop {
        feed.run_once().await;
    }
}

struct FeedTask<D, C, S> {
    node_context: NodeContext<D, C>,
    store: S,
    follower: Follower,
    clients: FeedClients,
    selector: SourceSelector,
}

impl<D: Dialect, C: Clock, S: KeyValue> FeedTask<D, C, S> {
    /// Asks one source, and applies what it returns.
    async fn run_once(&mut self) {
        let sent = self.node_context.now();
        let source = {
            let state = self.node_context.state();
            let nodes = state.nodes.iter();
            let nodes = nodes.filter_map(|(name, record)| record.followable(name));
            self.selector
                .select(nodes, state.freshness.age_ms(sent), sent)
        };
        match source {
            Source::Store => self.ask_store(sent).await,
            Source::Peer { address, is_local } => self.ask_peer(&address, is_local, sent).await,
            Source::Wait(wait_ms) => sleep(Duration::from_millis(wait_ms)).await,
        }
    }

    async fn ask_store(&mut self, sent: Now) {
        let position = self.node_context.mirror().position();
        let is_of_earlier_epoch = self.store.epoch() > position.epoch;
        let revision = if is_of_earlier_epoch {
            0
        } else {
            position.revision
        };
        let watch_ms = self.node_context.settings().watch_ms;
        match self.store.watch(ALL_KEYS, revision, watch_ms).await {
            Ok(batch) => {
                self.selector.record_store_success();
                let changed = !batch.written.is_empty() || !batch.deleted.is_empty();
                let applied = self
                    .follower
                    .apply_batch(&self.node_context, batch, None, sent);
                // Otherwise the store is listed at once, as its epoch is now known.
                if changed && applied {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(error) => {
                self.follower
                    .record_store_loss(&self.node_context, &error.to_string());
                self.selector.record_store_failure(self.node_context.now());
            }
        }
    }

    async fn ask_peer(&mut self, address: &str, is_local: bool, sent: Now) {
        let position = self.node_context.mirror().position();
        let settings = self.node_context.settings();
        let watch_ms = match (self.selector.is_searching(), is_local) {
            (true, _) if position.revision > 0 => 0,
            (_, true) => settings.peer_watch_ms,
            (_, false) => REMOTE_WATCH_MS,
        };
        let own_loads = if is_local {
            loads_to_wire(&self.node_context.own_loads())
        } else {
            Vec::new()
        };
        let request = wire::FollowRequest {
            revision: position.revision,
            epoch: position.epoch,
            wait_ms: watch_ms,
            node: settings.node.to_string(),
            loads: own_loads,
            leaving: self.node_context.leaving(),
        };
        let reply = match self.clients.follow(address, request).await {
            Ok(reply) => reply,
            Err(error) => {
                tracing::debug!(event = "HH1261", %error, "failed to follow a peer");
                let now = self.node_context.now();
                let has_knowledge = position.revision > 0;
                self.selector
                    .record_unreachable(address, has_knowledge, now);
                return;
            }
        };
        if reply.batch.epoch < position.epoch {
            self.selector.record_stale(address, self.node_context.now());
            return;
        }
        let max_age_ms = if is_local {
            MAX_PEER_AGE_MS
        } else {
            MAX_REMOTE_AGE_MS
        };
        if reply.age_ms > max_age_ms {
            self.selector.record_stale(address, self.node_context.now());
        } else {
            self.selector.record_success(address);
        }
        if is_local {
            self.node_context.set_peer_loads(&reply.loads);
        }
        self.node_context.merge_leaving(&reply.leaving);
        let confirmed = Now {
            mono_ms: sent.mono_ms.saturating_sub(reply.age_ms),
            ..sent
        };
        self.follower
            .apply_batch(&self.node_context, reply.batch, Some(position), confirmed);
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
    /// Applies a batch that was current at `confirmed` or later; a peer's batch holds the
    /// changes since a position. Returns whether it could be applied.
    fn apply_batch<D: Dialect, C: Clock>(
        &mut self,
        node_context: &NodeContext<D, C>,
        batch: WatchBatch,
        since: Option<StorePosition>,
        confirmed: Now,
    ) -> bool {
        let now = node_context.now();
        let mut batch = batch;
        let before = node_context.mirror().position();
        if epoch::begins(before, &batch) {
            epoch::keep_newer_configuration(node_context, &mut batch);
        }
        let applied = node_context.mirror().apply(&batch, since);
        let Applied::Changed {
            deleted,
            began_epoch,
        } = applied
        else {
            tracing::info!(event = "HH1218", ?applied, epoch = batch.epoch, known = ?before, "changes of another epoch not applied");
            return false;
        };
        if self.store_lost {
            self.store_lost = false;
            self.reconnected_mono_ms = Some(now.mono_ms);
            tracing::info!(
                event = "HH1202",
                revision = batch.revision,
                "store reachable again"
            );
        }
        let provenance = match (began_epoch, before.revision) {
            (true, _) => Provenance::Restored,
            (false, 0) => Provenance::BeforeStart,
            (false, _) => Provenance::Live,
        };
        if began_epoch {
            epoch::begin(node_context, before, now);
            batch.written = node_context.mirror().entries();
        }
        for key in deleted {
            if began_epoch && apply::may_be_restored(node_context, &key) {
                let grace_ms = epoch::deletion_grace_ms(node_context, &key);
                self.deferred_deletions.push((key, now.mono_ms + grace_ms));
            } else {
                self.delete(node_context, key, now);
            }
        }
        // Entries that nodes write refer to orders, which must be known first.
        let (node_entries, platform_entries): (Vec<Entry>, Vec<Entry>) = batch
            .written
            .into_iter()
            .partition(|entry| entry.key.starts_with(NODE_KEYS_PREFIX));
        for entry in platform_entries.into_iter().chain(node_entries) {
            self.deferred_deletions.retain(|(key, _)| *key != entry.key);
            apply::write(node_context, &entry, provenance, now);
        }
        self.apply_deferred_deletions(node_context, now);
        node_context.state().freshness.confirm(confirmed);
        node_context.publish_position();
        true
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
