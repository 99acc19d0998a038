//! Selects the source that a node follows.

use std::collections::{BTreeMap, HashMap};

use hemlockhitch_model::Now;
use hemlockhitch_routing::{hash_bytes, mix};

use crate::membership::NodeRecord;
use crate::settings::GatewaySettings;

/// How long a failed peer is not followed, in milliseconds: until a short disruption is
/// over.
const PEER_COOLDOWN_MS: u64 = 3_000;

/// How long the store is followed after a peer failed, in milliseconds: the next peer
/// may have failed with it, and trying one after the other takes too long.
const STORE_FALLBACK_MS: u64 = 1_000;

/// The source that a node follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The store itself.
    Store,
    /// Another node, at this address.
    Peer(String),
}

/// Selects the source and excludes peers that failed recently.
#[derive(Debug, Default)]
pub(super) struct SourceSelector {
    cooldown_until_mono_ms: HashMap<String, u64>,
    store_until_mono_ms: u64,
}

impl SourceSelector {
    /// Selects the node of the data centre with the greatest capacity for other nodes;
    /// hashes that are the same on all nodes break ties. The selected node itself
    /// follows the store.
    pub(super) fn select(
        &self,
        nodes: &BTreeMap<String, NodeRecord>,
        settings: &GatewaySettings,
        now: Now,
    ) -> Source {
        if now.mono_ms < self.store_until_mono_ms {
            return Source::Store;
        }
        let data_centre = settings.data_centre.as_str();
        let tie_break = |name: &str| mix(hash_bytes(name), hash_bytes(data_centre));
        let preferred = nodes
            .iter()
            .filter(|(name, record)| {
                record.data_centre == data_centre
                    && (*name == settings.node.as_str()
                        || !self.is_cooling_down(&record.address, now))
            })
            .max_by_key(|(name, record)| (record.bearing, tie_break(name)));
        match preferred {
            Some((name, record)) if name != settings.node.as_str() => {
                Source::Peer(record.address.clone())
            }
            _ => Source::Store,
        }
    }

    /// Makes the node follow the store for a while, and then a source other than this
    /// address for a while.
    pub(super) fn mark_failed(&mut self, address: &str, now: Now) {
        self.store_until_mono_ms = now.mono_ms + STORE_FALLBACK_MS;
        self.cooldown_until_mono_ms
            .retain(|_, until| now.mono_ms < *until);
        self.cooldown_until_mono_ms
            .insert(address.to_owned(), now.mono_ms + PEER_COOLDOWN_MS);
    }

    fn is_cooling_down(&self, address: &str, now: Now) -> bool {
        let until_mono_ms = self.cooldown_until_mono_ms.get(address);
        until_mono_ms.is_some_and(|until| now.mono_ms < *until)
    }
}
