//! Applies batches of the store's changes to a node's state.

use hemlockhitch_model::{Clock, Now, StorePosition};
use hemlockhitch_ports::key_value::{Entry, WatchBatch};

use super::apply::{self, Provenance, Written};
use super::{NODE_KEYS_PREFIX, epoch};
use crate::dialect::Dialect;
use crate::peer::Applied;
use crate::state::NodeContext;

/// State that the follower keeps between batches.
#[derive(Debug, Default)]
pub(super) struct Follower {
    store_lost: bool,
    /// Keys that disappeared during an outage of the store, and the monotonic time in
    /// milliseconds until which their entries are kept.
    deferred_deletions: Vec<(String, u64)>,
    reconnected_mono_ms: Option<u64>,
}

impl Follower {
    /// Applies the batch of a call that was sent at `sent`, which was at most `age_ms` old
    /// then; a peer's batch holds the changes since a position. Returns whether it could be applied.
    pub(super) fn apply_batch<D: Dialect, C: Clock>(
        &mut self,
        node_context: &NodeContext<D, C>,
        batch: WatchBatch,
        since: Option<StorePosition>,
        sent: Now,
        age_ms: u64,
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
        // What the store held at the last confirmation did not include what is new. A peer's
        // batch may have been under way for longer, which the node that asks the store knows.
        let delay_ms = match (provenance, since) {
            (Provenance::Live, None) => node_context.state().freshness.age_ms(now),
            _ => None,
        };
        let written = Written {
            provenance,
            delay_ms: delay_ms.unwrap_or_default(),
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
            apply::write(node_context, &entry, written, now);
        }
        self.apply_deferred_deletions(node_context, now);
        node_context.state().freshness.confirm(sent, age_ms);
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

    pub(super) fn record_store_loss<D: Dialect, C: Clock>(
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
