//! What an owner has granted at its endpoints.

use std::collections::HashMap;

use hemlockhitch_model::{EndpointName, Now};

use super::limit::Limit;
use super::{SlotReport, SlotRequest};
use crate::member::NodeId;
use crate::ownership::Bucket;

/// Slots that a node holds at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The node that holds them.
    pub node: NodeId,
    /// Drawn by the node, so that a repeated request counts once.
    pub grant_id: u64,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// How many.
    pub slots: u32,
    /// When the grant ends by itself, on the monotonic clock of whoever keeps it.
    pub expires_mono_ms: u64,
    /// Whether the node took them from its fixed share, without an owner.
    pub share: bool,
}

/// The owner's answer to a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantAnswer {
    /// The slots are granted.
    Granted {
        /// How many.
        slots: u32,
        /// Whether the owner takes the endpoint for warm.
        warm: bool,
    },
    /// The endpoint bears no more.
    Full,
    /// The owner does not know yet what the former owner granted.
    Closed,
}

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
    limit: Limit,
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

    /// Grants a slot to a node; the same grant id counts once.
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
        let entry = self.endpoints.entry(request.endpoint.clone()).or_default();
        entry.drop_expired(now);
        let repeated = entry.grants.contains_key(&(node, grant_id));
        if !repeated && !entry.has_room(request) {
            return GrantAnswer::Full;
        }
        let grant = Grant {
            node,
            grant_id,
            endpoint: request.endpoint.clone(),
            slots: 1,
            expires_mono_ms,
            share: false,
        };
        entry.grants.insert((node, grant_id), grant);
        GrantAnswer::Granted {
            slots: 1,
            warm: entry.limit.is_warm(request),
        }
    }

    /// Ends a grant and takes in what its request showed.
    pub fn release(
        &mut self,
        node: NodeId,
        grant_id: u64,
        endpoint: &EndpointName,
        report: Option<SlotReport>,
    ) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        entry.grants.remove(&(node, grant_id));
        if let Some(report) = report {
            entry.limit.record(report);
        }
    }

    /// Takes in grants that their holders still use; they count even when they
    /// exceed the limit.
    pub fn import(&mut self, grants: impl IntoIterator<Item = Grant>, now: Now) {
        let longest_ms = now.mono_ms + self.grant_ttl_ms;
        for mut grant in grants {
            grant.expires_mono_ms = grant.expires_mono_ms.min(longest_ms);
            let entry = self.endpoints.entry(grant.endpoint.clone()).or_default();
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

    /// Returns how many slots of an endpoint are granted.
    #[must_use]
    pub fn in_use(&self, endpoint: &EndpointName, now: Now) -> u32 {
        let Some(entry) = self.endpoints.get(endpoint) else {
            return 0;
        };
        entry
            .grants
            .values()
            .filter(|grant| grant.expires_mono_ms > now.mono_ms)
            .map(|grant| grant.slots)
            .sum()
    }

    fn is_closed(&self, endpoint: &EndpointName, now: Now) -> bool {
        self.closed_for_ms(self.bucket_of(endpoint), now) > 0
    }

    fn bucket_of(&self, endpoint: &EndpointName) -> Bucket {
        Bucket::of_endpoint(endpoint, self.endpoint_buckets)
    }
}

impl EndpointGrants {
    fn drop_expired(&mut self, now: Now) {
        self.grants
            .retain(|_, grant| grant.expires_mono_ms > now.mono_ms);
    }

    fn has_room(&self, request: &SlotRequest) -> bool {
        let owned = self.slots(|grant| !grant.share);
        let total = self.slots(|_| true);
        total < self.limit.get(request) && owned < request.owner_limit()
    }

    fn slots(&self, counts: impl Fn(&Grant) -> bool) -> u32 {
        self.grants
            .values()
            .filter(|grant| counts(grant))
            .map(|grant| grant.slots)
            .sum()
    }
}
