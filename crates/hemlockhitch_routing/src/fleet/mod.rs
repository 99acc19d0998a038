//! The endpoints known to a node.

mod circuit_breaker;
mod departure;
mod endpoint;
mod entry;
mod load;
mod retired;
mod statement;
pub mod work_time;

pub use circuit_breaker::{CircuitBreaker, Sign};
pub use endpoint::Endpoint;
pub use entry::EndpointEntry;
pub use load::{Load, Outstanding};
pub use work_time::{StatedWorkTime, WorkTimeEstimate};

use std::collections::{BTreeMap, HashMap, HashSet};

use departure::Departures;
use retired::RetiredEndpoints;

use hemlockhitch_model::{DataCentreName, EndpointKey, EndpointName, Key, Now, ServiceName};

use crate::limits::{Brittleness, RateLimiter, Statements};

/// All known endpoints, by keys that are never reused.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    key_by_name: HashMap<EndpointName, EndpointKey>,
    keys_by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    evacuated: HashSet<DataCentreName>,
    departures: Departures,
    retired: RetiredEndpoints,
    /// Request rates that endpoints take from all nodes together.
    pub named_rates: Statements,
    /// Services whose endpoints end if they refuse more than a few requests.
    pub brittleness: Brittleness,
    /// Rate limiter for this node's probes of work times.
    pub probe_limiter: RateLimiter,
    next_index: usize,
}

impl Fleet {
    /// Adds or updates an endpoint from its registration.
    ///
    /// An endpoint that restarted under the same name, or moved, gets a new key and no
    /// history; its former key is returned as the second value. One that was removed and
    /// did not restart keeps both.
    pub fn upsert(&mut self, entry: EndpointEntry, now: Now) -> (EndpointKey, Option<EndpointKey>) {
        if let Some(key) = self.key_by_name.get(&entry.name).copied() {
            if let Some(endpoint) = self.endpoints.get_mut(&key)
                && endpoint.entry.is_same_instance(&entry)
            {
                endpoint.update_entry(entry, now);
                return (key, None);
            }
            self.remove_key(key);
            return (self.insert(entry, now), Some(key));
        }
        (self.insert(entry, now), None)
    }

    /// Removes an endpoint; returns its former key.
    pub fn remove(&mut self, name: &EndpointName, now: Now) -> Option<EndpointKey> {
        let key = self.key_by_name.get(name).copied()?;
        if let Some(endpoint) = self.remove_key(key) {
            self.departures
                .record_removed(endpoint.instance_hash, 0, now);
            self.retired.retire(key, endpoint, now);
        }
        Some(key)
    }

    /// Returns whether a registration that the store restored from a copy is older than
    /// what is known: its instance was removed or replaced.
    #[must_use]
    pub fn is_outdated(&self, restored: &EndpointEntry, now: Now) -> bool {
        let known = self.key_by_name.get(&restored.name);
        let known = known.and_then(|key| self.endpoints.get(key));
        let was_replaced =
            known.is_some_and(|known| known.entry.started_unix_ms > restored.started_unix_ms);
        was_replaced || self.departures.was_removed(restored, now)
    }

    /// Returns the instances that were removed recently and are not registered again, by
    /// their hashes, with the time since their removal in milliseconds.
    #[must_use]
    pub fn removed(&self, now: Now) -> Vec<(u64, u64)> {
        let mut removed: HashMap<u64, u64> = self.departures.removed(now).collect();
        if !removed.is_empty() {
            for endpoint in self.endpoints.values() {
                removed.remove(&endpoint.instance_hash);
            }
        }
        removed.into_iter().collect()
    }

    /// Records the instances that another node knows to have been removed, as
    /// [`removed`](Self::removed) returns them.
    pub fn merge_removed(&mut self, removed: impl IntoIterator<Item = (u64, u64)>, now: Now) {
        for (instance_hash, age_ms) in removed {
            self.departures.record_removed(instance_hash, age_ms, now);
        }
    }

    /// Records that an endpoint has stated that it is leaving; returns whether that was
    /// not known. It gets no new requests until another instance takes its place.
    pub fn record_leaving(&mut self, key: EndpointKey, now: Now) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return false;
        };
        endpoint.set_leaving();
        self.departures.record_leaving(endpoint.instance_hash, now)
    }

    /// Records the instances that other nodes know to be leaving, by their hashes.
    pub fn merge_leaving(&mut self, instance_hashes: impl IntoIterator<Item = u64>, now: Now) {
        let mut has_new = false;
        for instance_hash in instance_hashes {
            has_new |= self.departures.record_leaving(instance_hash, now);
        }
        if !has_new {
            return;
        }
        for endpoint in self.endpoints.values_mut() {
            if self.departures.is_leaving(endpoint.instance_hash) {
                endpoint.set_leaving();
            }
        }
    }

    /// Iterates over the hashes of the leaving instances whose registrations do not say
    /// so.
    pub fn leaving(&self) -> impl Iterator<Item = u64> {
        let leaving = self.endpoints.values();
        let leaving = leaving.filter(|endpoint| endpoint.is_leaving() && !endpoint.entry.draining);
        leaving.map(|endpoint| endpoint.instance_hash)
    }

    /// Starts or ends the evacuation of a data centre. Its endpoints get no new
    /// requests during the evacuation.
    pub fn set_evacuated(&mut self, data_centre: DataCentreName, evacuated: bool) {
        if evacuated {
            self.evacuated.insert(data_centre);
        } else {
            self.evacuated.remove(&data_centre);
        }
    }

    /// Returns an endpoint, or `None` if it was removed.
    #[must_use]
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(&key)
    }

    /// Returns an endpoint for modification, or `None` if it was removed long ago. What its
    /// last requests show still counts if it is registered again.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        let retired = &mut self.retired;
        self.endpoints
            .get_mut(&key)
            .or_else(|| retired.get_mut(key))
    }

    /// Iterates over all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Iterates over all endpoints of a service, including those that get no new
    /// requests.
    pub fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = self.keys_by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.endpoints.get(key)?)))
    }

    /// Iterates over the endpoints of a service that may get new requests: those that
    /// are neither draining, leaving nor in an evacuated data centre.
    pub fn eligible<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> {
        self.of_service(service).filter(|(_, endpoint)| {
            !endpoint.entry.draining
                && !endpoint.is_leaving()
                && !self.evacuated.contains(&endpoint.entry.data_centre)
        })
    }

    /// Returns this node's outstanding requests at the endpoints of a data centre, by
    /// the hash of the endpoint's name.
    pub fn outstanding(
        &self,
        data_centre: &DataCentreName,
        now: Now,
    ) -> impl Iterator<Item = (u64, Outstanding)> {
        let endpoints = self.endpoints.values();
        let local = endpoints.filter(move |endpoint| endpoint.entry.data_centre == *data_centre);
        let outstanding =
            local.map(move |endpoint| (endpoint.name_hash, endpoint.outstanding(now)));
        outstanding.filter(|(_, outstanding)| *outstanding != Outstanding::default())
    }

    /// Records the outstanding requests of the other nodes at the endpoints of a data
    /// centre. `peer_requests` is called with the hash of the endpoint's name.
    pub fn record_peer_requests(
        &mut self,
        data_centre: &DataCentreName,
        peer_requests: impl Fn(u64) -> Outstanding,
        now: Now,
    ) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.entry.data_centre == *data_centre {
                endpoint.record_peer_requests(peer_requests(endpoint.name_hash), now);
            }
        }
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoints are known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn insert(&mut self, entry: EndpointEntry, now: Now) -> EndpointKey {
        let returned = self.retired.take_back(&entry, now);
        let key = returned.as_ref().map_or_else(
            || {
                self.next_index += 1;
                EndpointKey::from_index(self.next_index - 1)
            },
            |(key, _)| *key,
        );
        self.key_by_name.insert(entry.name.clone(), key);
        let service_keys = self
            .keys_by_service
            .entry(entry.service.clone())
            .or_default();
        service_keys.push(key);
        let mut endpoint = match returned {
            Some((_, mut endpoint)) => {
                endpoint.update_entry(entry, now);
                endpoint
            }
            None => Endpoint::new(entry, now),
        };
        if self.departures.is_leaving(endpoint.instance_hash) {
            endpoint.set_leaving();
        }
        self.endpoints.insert(key, endpoint);
        key
    }

    fn remove_key(&mut self, key: EndpointKey) -> Option<Endpoint> {
        let endpoint = self.endpoints.remove(&key)?;
        self.key_by_name.remove(&endpoint.entry.name);
        if let Some(keys) = self.keys_by_service.get_mut(&endpoint.entry.service) {
            keys.retain(|other| *other != key);
        }
        Some(endpoint)
    }
}
