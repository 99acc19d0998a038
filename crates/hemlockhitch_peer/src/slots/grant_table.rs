//! The grants that a node has issued as the owner of endpoints.

use std::collections::HashMap;

use hemlockhitch_model::{EndpointName, Now};
use hemlockhitch_policy::concurrency_limit::{AdaptiveLimit, LimitSignal};

use super::{Grant, GrantAnswer, SlotRequest};
use crate::member::NodeId;
use crate::ownership::Bucket;

/// Maximum number of slots in one grant.
const MAX_SLOTS_PER_GRANT: u32 = 4;

/// A grant gets at most the number of free slots divided by this.
const FREE_SLOTS_DIVISOR: u32 = 2;

/// The grants that one owner has issued, by endpoint.
#[derive(Debug)]
pub struct GrantTable {
    grant_ttl_ms: u64,
    endpoint_buckets: u16,
    endpoints: HashMap<EndpointName, EndpointGrants>,
    /// Until when no slots are granted in a bucket, on the monotonic clock.
    closed_until_mono_ms: HashMap<Bucket, u64>,
}

#[derive(Debug, Default)]
struct EndpointGrants {
    grants: HashMap<(NodeId, u64), Grant>,
    /// Adaptive concurrency limit; set by the first request for a slot, which
    /// carries the configured limits.
    limiter: Option<AdaptiveLimit>,
}

impl GrantTable {
    /// Creates an empty table of grants that expire `grant_ttl_ms` after their last
    /// renewal.
    #[must_use]
    pub fn new(grant_ttl_ms: u64, endpoint_buckets: u16) -> Self {
        Self {
            grant_ttl_ms,
            endpoint_buckets,
            endpoints: HashMap::new(),
            closed_until_mono_ms: HashMap::new(),
        }
    }

    /// Grants one slot to a node, or several while the endpoint is warm and has
    /// enough free slots. Repeating a grant id renews the same grant.
    pub fn grant(
        &mut self,
        node: NodeId,
        grant_id: u64,
        request: &SlotRequest,
        now: Now,
    ) -> GrantAnswer {
        if self.is_closed(&request.endpoint, now) {
            return GrantAnswer::Closed;
        }
        let expires_mono_ms = now.mono_ms + self.grant_ttl_ms;
        let entry = self.entry(&request.endpoint);
        entry.drop_expired(now);
        entry.set_limits(request);
        let key = (node, grant_id);
        let existing_slots = entry.grants.get(&key).map(|existing| existing.slots);
        let slots = existing_slots.unwrap_or_else(|| entry.slots_per_grant(request, now));
        if slots == 0 {
            return GrantAnswer::Full;
        }
        let grant = Grant {
            node,
            grant_id,
            endpoint: request.endpoint.clone(),
            slots,
            expires_mono_ms,
            share: false,
        };
        entry.grants.insert(key, grant);
        GrantAnswer::Granted {
            slots,
            warm: !entry.is_cold(now),
        }
    }

    /// Takes `slots` slots back from a grant and removes it when none is left.
    pub fn release(&mut self, node: NodeId, grant_id: u64, endpoint: &EndpointName, slots: u32) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let key = (node, grant_id);
        if let Some(grant) = entry.grants.get_mut(&key) {
            grant.slots = grant.slots.saturating_sub(slots);
        }
        entry.grants.retain(|_, grant| grant.slots > 0);
    }

    /// Updates the concurrency limit of an endpoint from a signal; returns whether
    /// the endpoint became cold.
    pub fn observe(&mut self, endpoint: &EndpointName, signal: LimitSignal, now: Now) -> bool {
        let entry = self.entry(endpoint);
        let was_cold = entry.is_cold(now);
        if let Some(limiter) = &mut entry.limiter {
            limiter.observe(signal, now);
        }
        !was_cold && entry.is_cold(now)
    }

    /// Returns whether an endpoint counts as cold; an unknown endpoint does.
    #[must_use]
    pub fn is_cold(&self, endpoint: &EndpointName, now: Now) -> bool {
        self.endpoints
            .get(endpoint)
            .is_none_or(|entry| entry.is_cold(now))
    }

    /// Adds or renews grants that are still in use, even beyond the limit: their
    /// requests are already running.
    pub fn import(&mut self, grants: impl IntoIterator<Item = Grant>, now: Now) {
        let latest_mono_ms = now.mono_ms + self.grant_ttl_ms;
        for mut grant in grants {
            grant.expires_mono_ms = grant.expires_mono_ms.min(latest_mono_ms);
            let entry = self.entry(&grant.endpoint);
            let key = (grant.node, grant.grant_id);
            let existing_mono_ms = entry
                .grants
                .get(&key)
                .map_or(0, |existing| existing.expires_mono_ms);
            grant.expires_mono_ms = grant.expires_mono_ms.max(existing_mono_ms);
            entry.grants.insert(key, grant);
        }
    }

    /// Returns the grants of a bucket that have not expired.
    #[must_use]
    pub fn export(&self, bucket: Bucket, now: Now) -> Vec<Grant> {
        self.endpoints
            .iter()
            .filter(|(endpoint, _)| self.bucket_of(endpoint) == bucket)
            .flat_map(|(_, entry)| entry.grants.values())
            .filter(|grant| grant.expires_mono_ms > now.mono_ms)
            .cloned()
            .collect()
    }

    /// Returns the nodes that hold slots of an endpoint, sorted.
    #[must_use]
    pub fn granted_nodes(&self, endpoint: &EndpointName) -> Vec<NodeId> {
        let entry = self.endpoints.get(endpoint);
        let mut nodes: Vec<NodeId> = entry
            .into_iter()
            .flat_map(|entry| entry.grants.keys())
            .map(|(node, _)| *node)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Clears a bucket and blocks grants in it until all grants of a former owner
    /// must have expired, or until [`GrantTable::open`].
    pub fn close(&mut self, bucket: Bucket, now: Now) {
        self.remove_bucket(bucket);
        let until_mono_ms = now.mono_ms + self.grant_ttl_ms;
        self.closed_until_mono_ms.insert(bucket, until_mono_ms);
    }

    /// Allows grants in a bucket again, once all existing grants in it are known.
    pub fn open(&mut self, bucket: Bucket) {
        self.closed_until_mono_ms.remove(&bucket);
    }

    /// Blocks grants in a bucket for `closed_for_ms`, at most for the TTL of grants.
    pub fn open_after(&mut self, bucket: Bucket, closed_for_ms: u64, now: Now) {
        let until_mono_ms = now.mono_ms + closed_for_ms.min(self.grant_ttl_ms);
        self.closed_until_mono_ms.insert(bucket, until_mono_ms);
    }

    /// Returns for how much longer grants in a bucket are blocked, in milliseconds.
    #[must_use]
    pub fn closed_for_ms(&self, bucket: Bucket, now: Now) -> u64 {
        let until_mono_ms = self.closed_until_mono_ms.get(&bucket).copied();
        until_mono_ms
            .unwrap_or_default()
            .saturating_sub(now.mono_ms)
    }

    /// Removes all state of a bucket that another node owns now.
    pub fn remove_bucket(&mut self, bucket: Bucket) {
        let count = self.endpoint_buckets;
        self.endpoints
            .retain(|endpoint, _| Bucket::of_endpoint(endpoint, count) != bucket);
        self.closed_until_mono_ms.remove(&bucket);
    }

    fn is_closed(&self, endpoint: &EndpointName, now: Now) -> bool {
        self.closed_for_ms(self.bucket_of(endpoint), now) > 0
    }

    fn bucket_of(&self, endpoint: &EndpointName) -> Bucket {
        Bucket::of_endpoint(endpoint, self.endpoint_buckets)
    }

    fn entry(&mut self, endpoint: &EndpointName) -> &mut EndpointGrants {
        self.endpoints.entry(endpoint.clone()).or_default()
    }
}

impl EndpointGrants {
    fn drop_expired(&mut self, now: Now) {
        self.grants
            .retain(|_, grant| grant.expires_mono_ms > now.mono_ms);
    }

    fn set_limits(&mut self, request: &SlotRequest) {
        self.limiter
            .get_or_insert_with(|| AdaptiveLimit::new(request.cold_limit, request.warm_limit))
            .set_limits(request.cold_limit, request.warm_limit);
    }

    fn is_cold(&self, now: Now) -> bool {
        let limiter = self.limiter.as_ref();
        limiter.is_none_or(|limiter| limiter.is_cold(now))
    }

    /// Returns how many slots a new grant gets, zero if none is free.
    ///
    /// A cold endpoint gets one slot at a time.
    fn slots_per_grant(&self, request: &SlotRequest, now: Now) -> u32 {
        let free_slots = self.free_slots(request, now);
        if self.is_cold(now) {
            return free_slots.min(1);
        }
        let batch = (free_slots / FREE_SLOTS_DIVISOR).clamp(1, MAX_SLOTS_PER_GRANT);
        free_slots.min(batch)
    }

    /// Returns how many slots can still be granted.
    ///
    /// Slots of fixed shares use up the endpoint's limit but not the part of it
    /// that the owner may grant.
    fn free_slots(&self, request: &SlotRequest, now: Now) -> u32 {
        let granted = self.count_slots(|grant| !grant.share);
        let in_use = self.count_slots(|_| true);
        let limit = self
            .limiter
            .as_ref()
            .map_or(0, |limiter| limiter.limit(now));
        let within_endpoint_limit = limit.saturating_sub(in_use);
        let within_owner_limit = request.owner_limit().saturating_sub(granted);
        within_endpoint_limit.min(within_owner_limit)
    }

    fn count_slots(&self, predicate: impl Fn(&Grant) -> bool) -> u32 {
        self.grants
            .values()
            .filter(|grant| predicate(grant))
            .map(|grant| grant.slots)
            .sum()
    }
}
