//! Endpoint instances that are leaving or have left.
//!
//! Both are facts about one instance, so they end with it and not after a time. They
//! outlive the registration, which may be deleted and reappear.

use std::collections::HashMap;

use hemlockhitch_model::Now;

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
    removed_mono_ms: HashMap<u64, u64>,
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

    /// Records that the registration of an instance was removed `age_ms` ago.
    pub(super) fn record_removed(&mut self, instance_hash: u64, age_ms: u64, now: Now) {
        let at_mono_ms = now.mono_ms.saturating_sub(age_ms);
        let known = self.removed_mono_ms.get(&instance_hash).copied();
        if known.is_none() {
            drop_oldest(&mut self.removed_mono_ms, |at| *at);
        }
        let latest = known.map_or(at_mono_ms, |known| known.max(at_mono_ms));
        self.removed_mono_ms.insert(instance_hash, latest);
    }

    /// Returns whether a registration that the store restored belongs to an instance
    /// that was removed recently.
    pub(super) fn was_removed(&self, entry: &EndpointEntry, now: Now) -> bool {
        let removed = self.removed_mono_ms.get(&entry.instance_hash());
        removed.is_some_and(|at| now.mono_ms < at + RESTORED_IGNORED_MS)
    }

    /// Returns the instances whose restored registrations are ignored, by their hashes, with
    /// the time since their removal in milliseconds.
    pub(super) fn removed(&self, now: Now) -> impl Iterator<Item = (u64, u64)> {
        let removed = self.removed_mono_ms.iter();
        let removed = removed.map(move |(hash, at)| (*hash, now.mono_ms.saturating_sub(*at)));
        removed.filter(|(_, age_ms)| *age_ms < RESTORED_IGNORED_MS)
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
