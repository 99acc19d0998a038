//! Follows the store and keeps the node's state up to date.
//!
//! The nodes of a data centre follow one of them, the hub; the hubs follow the first of
//! them, which watches the store. [`SourceSelector`] selects what a node asks next.

mod apply;
mod backoff;
mod bootstrap;
mod epoch;
mod follower;

pub(crate) use backoff::store_backoff;

use std::time::Duration;

use follower::Follower;
use hemlockhitch_model::{Clock, Now};
use hemlockhitch_ports::key_value::KeyValue;
use hemlockhitch_routing::source::{Source, SourceSelector};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::peer::{FeedClients, loads_to_wire};
use crate::state::NodeContext;
use crate::{telemetry, wire};

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
            self.selector
                .select(state.followable(), state.freshness.age_ms(sent), sent)
        };
        match source {
            Source::Store => self.ask_store(sent).await,
            Source::Peer {
                address,
                is_local,
                is_immediate,
            } => {
                self.ask_peer(&address, is_local, is_immediate, sent).await;
            }
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
                    .apply_batch(&self.node_context, batch, None, sent, 0);
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

    async fn ask_peer(&mut self, address: &str, is_local: bool, is_immediate: bool, sent: Now) {
        let position = self.node_context.mirror().position();
        let settings = self.node_context.settings();
        let watch_ms = match (self.selector.is_searching(), is_local) {
            _ if is_immediate => 0,
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
            demand: self.node_context.due_demand_report(),
        };
        let reply = match self.clients.follow(address, request).await {
            Ok(reply) => reply,
            Err(error) => {
                let now = self.node_context.now();
                let age_ms = self.node_context.state().freshness.age_ms(now);
                let (took_ms, received_bytes) = (error.took_ms, error.received_bytes);
                tracing::info!(event = "HH1261", %error, took_ms, received_bytes, ?age_ms, "failed to follow a peer");
                telemetry::count_failed_feed_call(received_bytes);
                let has_knowledge = position.revision > 0;
                if error.is_overloaded && has_knowledge {
                    self.selector.record_overloaded(now);
                } else {
                    self.selector
                        .record_unreachable(address, has_knowledge, now);
                }
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
        let now = self.node_context.now();
        self.node_context
            .state()
            .fleet
            .merge_removed(reply.removed, now);
        self.node_context.record_demand(reply.demand);
        self.store.observe_epoch(reply.batch.epoch);
        self.follower.apply_batch(
            &self.node_context,
            reply.batch,
            Some(position),
            sent,
            reply.age_ms,
        );
    }
}
