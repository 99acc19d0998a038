//! What an owner has granted at its endpoints.

use std::collections::HashMap;

use hemlockhitch_model::{EndpointName, Now};
use hemlockhitch_policy::bearing::{Bearing, SlotSign};

use super::{Grant, GrantAnswer, SlotRequest};
use crate::member::NodeId;
use crate::ownership::Bucket;

/// The most slots of one lot.
const MAX_LOT: u32 = 4;

/// A lot takes at most this part of the free slots, as a divisor.
const LOT_DIVISOR: u32 = 2;

/// The grants of one owner, by endpoint.
#[derive(Debug)]
pub struct GrantBook {
    grant_ttl_ms: u64,
    endpoint_buckets: u16,
    endpoints: HashMap<EndpointName, EndpointGrants>,
    /// Until when buckets grant nothing, on the monotonic clock.
    closed_until_ms: HashMap<Bucket, u64>,
}

#[derive(Debug, Default)]
struct EndpointGrants {
    grants: HashMap<(NodeId, u64), Grant>,
    /// Known once a slot was asked for.
    bearing: Option<Bearing>,
}

impl GrantBook {
    /// Creates an empty book of grants that end `grant_ttl_ms` after their last
    /// renewal.
    #[must_use]
    pub fn new(grant_ttl_ms: u64, endpoint_buckets: u16) -> Self {
        Self {
            grant_ttl_ms,
            endpoint_buckets,
            endpoints: HashMap::new(),
            closed_until_ms: HashMap::new(),
        }
    }

    /// Grants a slot to a node, or a lot of slots while the endpoint is warm
    /// and has many free; the same grant id counts once.
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
        let repeated = entry.grants.get(&key).map(|known| known.slots);
        let slots = repeated.unwrap_or_else(|| entry.lot(request, now));
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

    /// Ends `slots` slots of a grant.
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

    /// Takes in a sign of what an endpoint bears; returns whether the endpoint
    /// turned cold by it.
    pub fn observe(&mut self, endpoint: &EndpointName, sign: SlotSign, now: Now) -> bool {
        let entry = self.entry(endpoint);
        let was_cold = entry.is_cold(now);
        if let Some(bearing) = &mut entry.bearing {
            bearing.observe(sign, now);
        }
        !was_cold && entry.is_cold(now)
    }

    /// Returns whether an endpoint counts as cold.
    #[must_use]
    pub fn is_cold(&self, endpoint: &EndpointName, now: Now) -> bool {
        self.endpoints
            .get(endpoint)
            .is_none_or(|entry| entry.is_cold(now))
    }

    /// Takes in grants that their holders still use; they count even when they
    /// exceed the limit.
    pub fn import(&mut self, grants: impl IntoIterator<Item = Grant>, now: Now) {
        let longest_ms = now.mono_ms + self.grant_ttl_ms;
        for mut grant in grants {
            grant.expires_mono_ms = grant.expires_mono_ms.min(longest_ms);
            let entry = self.entry(&grant.endpoint);
            let key = (grant.node, grant.grant_id);
            let known_ms = entry
                .grants
                .get(&key)
                .map_or(0, |known| known.expires_mono_ms);
            grant.expires_mono_ms = grant.expires_mono_ms.max(known_ms);
            entry.grants.insert(key, grant);
        }
    }

    /// Lists the grants of a bucket.
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

    /// Lists the nodes that hold slots of an endpoint.
    #[must_use]
    pub fn holders(&self, endpoint: &EndpointName) -> Vec<NodeId> {
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

    /// Starts a bucket afresh: it grants nothing until the grants of a former
    /// owner must have ended, or until [`GrantBook::open`].
    pub fn close(&mut self, bucket: Bucket, now: Now) {
        self.forget(bucket);
        let until_ms = now.mono_ms + self.grant_ttl_ms;
        self.closed_until_ms.insert(bucket, until_ms);
    }

    /// Grants again in a bucket whose grants are all known.
    pub fn open(&mut self, bucket: Bucket) {
        self.closed_until_ms.remove(&bucket);
    }

    /// Grants again in a bucket after `closed_for_ms`.
    pub fn open_after(&mut self, bucket: Bucket, closed_for_ms: u64, now: Now) {
        let until_ms = now.mono_ms + closed_for_ms.min(self.grant_ttl_ms);
        self.closed_until_ms.insert(bucket, until_ms);
    }

    /// Returns for how long a bucket will grant nothing yet, in milliseconds.
    #[must_use]
    pub fn closed_for_ms(&self, bucket: Bucket, now: Now) -> u64 {
        let until_ms = self.closed_until_ms.get(&bucket).copied();
        until_ms.unwrap_or_default().saturating_sub(now.mono_ms)
    }

    /// Forgets a bucket that another node owns now.
    pub fn forget(&mut self, bucket: Bucket) {
        let count = self.endpoint_buckets;
        self.endpoints
            .retain(|endpoint, _| Bucket::of_endpoint(endpoint, count) != bucket);
        self.closed_until_ms.remove(&bucket);
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
        self.bearing
            .get_or_insert_with(|| Bearing::new(request.cold_limit, request.warm_limit))
            .set_limits(request.cold_limit, request.warm_limit);
    }

    fn is_cold(&self, now: Now) -> bool {
        let bearing = self.bearing.as_ref();
        bearing.is_none_or(|bearing| bearing.is_cold(now))
    }

    /// Returns how many slots one more grant may have.
    fn lot(&self, request: &SlotRequest, now: Now) -> u32 {
        let room = self.room(request, now);
        if self.is_cold(now) {
            return room.min(1);
        }
        let lot = (room / LOT_DIVISOR).clamp(1, MAX_LOT);
        room.min(lot)
    }

    fn room(&self, request: &SlotRequest, now: Now) -> u32 {
        let granted = self.slots(|grant| !grant.share);
        let in_use = self.slots(|_| true);
        let limit = self
            .bearing
            .as_ref()
            .map_or(0, |bearing| bearing.limit(now));
        let bearable = limit.saturating_sub(in_use);
        let grantable = request.owner_limit().saturating_sub(granted);
        bearable.min(grantable)
    }

    fn slots(&self, counts: impl Fn(&Grant) -> bool) -> u32 {
        self.grants
            .values()
            .filter(|grant| counts(grant))
            .map(|grant| grant.slots)
            .sum()
    }
}
