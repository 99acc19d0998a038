//! Ties the steps of roll-outs to an epoch of the store.

use hemlockhitch_ports::key_value::EpochFence;

use crate::peer::Mirror;

/// Key prefix of the markers of epochs; the epoch follows.
const EPOCH_PREFIX: &str = "hemlockhitch/epoch/";

/// Returns the fence of the epoch that a node knows.
pub(super) fn current(mirror: &Mirror) -> EpochFence {
    let marker = format!("{EPOCH_PREFIX}{}", mirror.position().epoch);
    let markers = mirror.with_prefix(EPOCH_PREFIX);
    let outdated_markers = markers.map(|entry| entry.key.clone());
    EpochFence {
        version: mirror.get(&marker).map(|entry| entry.version),
        outdated_markers: outdated_markers.filter(|key| *key != marker).collect(),
        marker,
    }
}
