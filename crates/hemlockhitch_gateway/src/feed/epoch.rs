//! What a node does when the store returns from an older copy.
//!
//! The store has then lost its latest writes. What the node knows beyond the copy is
//! kept where taking it back would be wrong: the newest configuration, endpoints that
//! are draining or gone, and the stages of roll-outs. Keys that the copy lacks are kept
//! until their owners had time to write them again.

use hemlockhitch_model::{Clock, Now, StorePosition};
use hemlockhitch_ports::key_value::{Entry, WatchBatch};

use super::apply;
use crate::dialect::{Dialect, StoredValue, Subject};
use crate::state::NodeContext;

/// How long orders, evacuations and nodes that a restored copy lacks are kept, in
/// milliseconds: the time within which nodes must agree on a change.
const RESTORATION_GRACE_MS: u64 = 4_000;

/// Returns whether a batch begins a new epoch for a node at a position.
pub(super) fn begins(position: StorePosition, batch: &WatchBatch) -> bool {
    position.revision != 0 && batch.epoch > position.epoch
}

/// Replaces the configuration of a restored copy if the node knows a newer one, so that
/// the nodes which follow this one learn of it too.
pub(super) fn keep_newer_configuration<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    batch: &mut WatchBatch,
) {
    let version_of = |entry: &Entry| {
        let value = node_context
            .dialect()
            .parse_value(&Subject::Catalogue, &entry.value);
        match value {
            Ok(StoredValue::Catalogue(catalogue)) => Some(catalogue.version()),
            // An unreadable configuration is never newer; applying it logs the error.
            _ => None,
        }
    };
    let is_catalogue = |key: &str| node_context.dialect().parse_key(key) == Subject::Catalogue;
    let known = node_context.mirror().entries();
    let Some(known) = known.into_iter().find(|entry| is_catalogue(&entry.key)) else {
        return;
    };
    let known = Entry {
        version: batch.revision,
        ..known
    };
    batch.deleted.retain(|key| *key != known.key);
    let restored = batch.written.iter_mut();
    let restored = restored.into_iter().find(|entry| entry.key == known.key);
    match restored {
        Some(restored) if version_of(restored) < version_of(&known) => *restored = known,
        Some(_) => {}
        None if batch.complete => batch.written.push(known),
        None => {}
    }
}

/// Forgets what depends on the earlier epoch, and marks for writing what this node had
/// written in it.
pub(super) fn begin<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    before: StorePosition,
    now: Now,
) {
    let position = node_context.mirror().position();
    let mut state = node_context.state();
    let age_ms = state.freshness.age_ms(now);
    tracing::warn!(
        event = "HH1216",
        ?before,
        ?position,
        ?age_ms,
        "store returned from an older copy"
    );
    state.begin_epoch();
}

/// Returns how long the deletion of a key that a restored copy lacks is deferred, in
/// milliseconds.
pub(super) fn deletion_grace_ms<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    key: &str,
) -> u64 {
    if apply::may_reappear(node_context, key) {
        node_context.settings().deletion_grace_ms
    } else {
        RESTORATION_GRACE_MS
    }
}
