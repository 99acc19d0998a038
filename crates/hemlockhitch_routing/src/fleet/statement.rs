//! What endpoints state that limits the requests to them.

use hemlockhitch_model::{EndpointKey, Now, ServiceName, hash_bytes};

use super::{Endpoint, Fleet};
use crate::limits::{NamedRate, NodeShares};

impl Fleet {
    /// Returns the time after which the first endpoint of a service may get requests of
    /// this node, in milliseconds, if all have asked for a pause or take a limited rate;
    /// otherwise `None`.
    #[must_use]
    pub fn earliest_resumption_ms(
        &self,
        service: &ServiceName,
        nodes: NodeShares<'_>,
        now: Now,
    ) -> Option<u64> {
        let endpoints = self.eligible(service);
        let waits = endpoints.filter_map(|(_, endpoint)| {
            let rate_wait_ms = self.rate_wait_ms(endpoint, nodes, now)?;
            Some(endpoint.pause_remaining_ms(now).max(rate_wait_ms))
        });
        waits.min().filter(|remaining_ms| *remaining_ms > 0)
    }

    /// Returns the time until this node may send a request within the rate that an endpoint
    /// takes, in milliseconds; `None` if other nodes use the rate.
    #[must_use]
    pub fn rate_wait_ms(
        &self,
        endpoint: &Endpoint,
        nodes: NodeShares<'_>,
        now: Now,
    ) -> Option<u64> {
        match self.named_rates.get(endpoint.instance_hash, now) {
            Some(stated) => endpoint.rate_wait_ms(NamedRate::from(stated), nodes, now),
            None => Some(0),
        }
    }

    /// Records the rate that a response states its endpoint takes from all nodes together;
    /// returns whether it changed.
    pub fn record_rate(&mut self, key: EndpointKey, per_s: Option<f64>, now: Now) -> bool {
        let Some(endpoint) = self.endpoints.get(&key) else {
            return false;
        };
        self.named_rates.record(endpoint.instance_hash, per_s, now)
    }

    /// Records what a response states about the refusals in a second that the endpoints of
    /// its service survive; returns whether that changed.
    pub fn record_brittle(
        &mut self,
        key: EndpointKey,
        refusals_per_s: Option<f64>,
        now: Now,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get(&key) else {
            return false;
        };
        let service_hash = hash_bytes(endpoint.entry.service.as_str());
        self.brittleness.record(service_hash, refusals_per_s, now)
    }

    /// Returns whether the endpoints of a service end if they refuse more than a few
    /// requests.
    #[must_use]
    pub fn is_brittle(&self, service: &ServiceName, now: Now) -> bool {
        let service_hash = hash_bytes(service.as_str());
        self.brittleness.is_brittle(service_hash, now)
    }

    /// Returns how many requests this node may have at all endpoints of a brittle service.
    #[must_use]
    pub fn own_slots(&self, service: &ServiceName, nodes: NodeShares<'_>) -> u32 {
        let shares = nodes.slot_shares();
        let endpoints = self.eligible(service);
        endpoints
            .map(|(_, endpoint)| shares.slots(endpoint.entry.slots, endpoint.name_hash))
            .sum()
    }

    /// Returns whether this node has fewer requests at an endpoint of a brittle service than
    /// it may.
    #[must_use]
    pub fn has_free_slot(&self, service: &ServiceName, nodes: NodeShares<'_>) -> bool {
        let shares = nodes.slot_shares();
        let mut endpoints = self.eligible(service);
        endpoints.any(|(_, endpoint)| {
            endpoint.in_flight < shares.slots(endpoint.entry.slots, endpoint.name_hash)
        })
    }
}
