//! Endpoints whose registration was removed although they may still run.
//!
//! A registration is removed when the endpoint does not reach the store, and written again
//! when it does. What this node knows of the instance, such as the pause that it asked for,
//! holds all the while.

use std::collections::BTreeMap;

use hemlockhitch_model::{EndpointKey, Now};

use super::{Endpoint, EndpointEntry};

/// How long a removed endpoint is remembered, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// Number of remembered endpoints at which the oldest is dropped.
const MAX_RETIRED: usize = 1_024;

/// Endpoints that were removed recently.
#[derive(Clone, Debug, Default)]
pub(super) struct RetiredEndpoints {
    endpoints: BTreeMap<EndpointKey, (Endpoint, u64)>,
}

impl RetiredEndpoints {
    /// Remembers an endpoint that was removed.
    pub(super) fn retire(&mut self, key: EndpointKey, endpoint: Endpoint, now: Now) {
        self.endpoints
            .retain(|_, (_, at_mono_ms)| now.mono_ms < *at_mono_ms + RETENTION_MS);
        if self.endpoints.len() >= MAX_RETIRED {
            let oldest = self.endpoints.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.endpoints.remove(&oldest);
            }
        }
        self.endpoints.insert(key, (endpoint, now.mono_ms));
    }

    /// Removes and returns the endpoint that a registration belongs to, if it was removed
    /// recently and has not restarted since.
    pub(super) fn take_back(
        &mut self,
        entry: &EndpointEntry,
        now: Now,
    ) -> Option<(EndpointKey, Endpoint)> {
        let is_same = |endpoint: &Endpoint| endpoint.entry.is_same_instance(entry);
        let key = self.endpoints.iter().find_map(|(key, (endpoint, at))| {
            let is_recent = now.mono_ms < at + RETENTION_MS;
            (is_recent && is_same(endpoint)).then_some(*key)
        })?;
        let (endpoint, _) = self.endpoints.remove(&key)?;
        Some((key, endpoint))
    }

    pub(super) fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&key).map(|(endpoint, _)| endpoint)
    }
}
