//! Whom a node follows.

use std::collections::{BTreeMap, HashMap};

use hemlockhitch_model::Now;
use hemlockhitch_routing::{hash_bytes, mix};

use crate::membership::NodeRecord;
use crate::settings::GatewaySettings;

/// How long a node that failed as a source is not followed, in milliseconds: until a
/// short disruption is over.
const AVOID_MS: u64 = 3_000;

/// How long the store is followed after another node failed, in milliseconds: the next
/// node may have failed with it, and asking one after the other takes too long.
const DIRECT_MS: u64 = 1_000;

/// Whom a node follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The store itself.
    Store,
    /// Another node, at this address.
    Peer(String),
}

/// The nodes that are not followed for a while.
#[derive(Debug, Default)]
pub(super) struct Sources {
    avoided_until_mono_ms: HashMap<String, u64>,
    direct_until_mono_ms: u64,
}

impl Sources {
    /// Chooses the node of the data centre that bears most, by the same hashes on all
    /// nodes if several do; that node follows the store.
    pub(super) fn choose(
        &self,
        nodes: &BTreeMap<String, NodeRecord>,
        settings: &GatewaySettings,
        now: Now,
    ) -> Source {
        if now.mono_ms < self.direct_until_mono_ms {
            return Source::Store;
        }
        let data_centre = settings.data_centre.as_str();
        let place = |name: &str| mix(hash_bytes(name), hash_bytes(data_centre));
        let first = nodes
            .iter()
            .filter(|(name, record)| {
                record.data_centre == data_centre
                    && (*name == settings.node.as_str() || !self.is_avoided(&record.address, now))
            })
            .max_by_key(|(name, record)| (record.bearing, place(name)));
        match first {
            Some((name, record)) if name != settings.node.as_str() => {
                Source::Peer(record.address.clone())
            }
            _ => Source::Store,
        }
    }

    /// Follows the store, and then another source than this address, for a while.
    pub(super) fn avoid(&mut self, address: &str, now: Now) {
        self.direct_until_mono_ms = now.mono_ms + DIRECT_MS;
        self.avoided_until_mono_ms
            .retain(|_, until| now.mono_ms < *until);
        self.avoided_until_mono_ms
            .insert(address.to_owned(), now.mono_ms + AVOID_MS);
    }

    fn is_avoided(&self, address: &str, now: Now) -> bool {
        let until_mono_ms = self.avoided_until_mono_ms.get(address);
        until_mono_ms.is_some_and(|until| now.mono_ms < *until)
    }
}
