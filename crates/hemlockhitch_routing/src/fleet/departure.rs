//! Endpoint instances that are leaving or have left.
//!
//! Both are facts about one instance, so they end with it and not after a time. They
//! outlive the registration, which may be deleted and reappear.

use std::collections::HashMap;

use hemlockhitch_model::{EndpointName, Now};

use super::EndpointEntry;

/// Number of remembered instances at which the oldest is dropped.
const MAX_REMEMBERED: usize = 1_024;

/// How long a registration that the store restored is ignored after its removal, in
/// milliseconds. By then the store has deleted it again unless the endpoint is alive.
const RESTORED_IGNORED_MS: u64 = 30_000;

/// Instances that stated that they are leaving, and registrations that were removed.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    leaving_since_mono_ms: HashMap<u64, u64>,
    removed: HashMap<EndpointName, (u64, u64)>,
}

impl Departures {
    /// Records that an instance is leaving; returns whether that was not known.
    pub(super) fn record_leaving(&mut self, instance_hash: u64, now: Now) -> bool {
        let is_new = !self.leaving_since_mono_ms.contains_key(&instance_hash);
        if is_new {
            drop_oldest(&mut self.leaving_since_mono_ms, |since| *since);
            self.leaving_since_mono_ms
                .insert(instance_hash, now.mono_ms);
        }
        is_new
    }

    /// Returns whether an instance is leaving.
    pub(super) fn is_leaving(&self, instance_hash: u64) -> bool {
        self.leaving_since_mono_ms.contains_key(&instance_hash)
    }

    /// Records that the registration of an instance was removed.
    pub(super) fn record_removed(&mut self, entry: &EndpointEntry, now: Now) {
        drop_oldest(&mut self.removed, |(_, at)| *at);
        let removed = (entry.instance_hash(), now.mono_ms);
        self.removed.insert(entry.name.clone(), removed);
    }

    /// Returns whether a registration that the store restored belongs to an instance
    /// that was removed recently.
    pub(super) fn was_removed(&self, entry: &EndpointEntry, now: Now) -> bool {
        self.removed.get(&entry.name).is_some_and(|(hash, at)| {
            *hash == entry.instance_hash() && now.mono_ms < at + RESTORED_IGNORED_MS
        })
    }
}

fn drop_oldest<K: Clone + Eq + std::hash::Hash, V>(
    remembered: &mut HashMap<K, V>,
    mono_ms: impl Fn(&V) -> u64,
) {
    if remembered.len() < MAX_REMEMBERED {
        return;
    }
    let oldest = remembered.iter().min_by_key(|(_, value)| mono_ms(value));
    if let Some(key) = oldest.map(|(key, _)| key.clone()) {
        remembered.remove(&key);
    }
}
