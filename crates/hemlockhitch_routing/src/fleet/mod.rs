//! The endpoints known to a node.

mod circuit_breaker;
mod endpoint;
mod entry;

pub use circuit_breaker::{CircuitBreaker, Sign};
pub use endpoint::{Endpoint, Load, Outstanding};
pub use entry::EndpointEntry;

use std::collections::{BTreeMap, HashMap, HashSet};

use hemlockhitch_model::{DataCentreName, EndpointKey, EndpointName, Key, Now, ServiceName};

/// All known endpoints, by keys that are never reused.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    key_by_name: HashMap<EndpointName, EndpointKey>,
    keys_by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    evacuated: HashSet<DataCentreName>,
    next_index: usize,
}

impl Fleet {
    /// Adds or updates an endpoint from its registration.
    ///
    /// An endpoint that restarted under the same name, or moved, gets a new key and no
    /// history; its former key is returned as the second value.
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
    pub fn remove(&mut self, name: &EndpointName) -> Option<EndpointKey> {
        let key = self.key_by_name.get(name).copied()?;
        self.remove_key(key);
        Some(key)
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

    /// Returns an endpoint for modification, or `None` if it was removed.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&key)
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
    /// are neither draining nor in an evacuated data centre.
    pub fn eligible<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> {
        self.of_service(service).filter(|(_, endpoint)| {
            !endpoint.entry.draining && !self.evacuated.contains(&endpoint.entry.data_centre)
        })
    }

    /// Returns this node's outstanding requests at the endpoints of a data centre, by
    /// the hash of the endpoint's name.
    pub fn outstanding(
        &self,
        data_centre: &DataCentreName,
    ) -> impl Iterator<Item = (u64, Outstanding)> {
        let endpoints = self.endpoints.values();
        let busy = endpoints.filter(move |endpoint| {
            endpoint.in_flight > 0 && endpoint.entry.data_centre == *data_centre
        });
        busy.map(|endpoint| (endpoint.name_hash, endpoint.outstanding()))
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
        let key = EndpointKey::from_index(self.next_index);
        self.next_index += 1;
        self.key_by_name.insert(entry.name.clone(), key);
        let service_keys = self
            .keys_by_service
            .entry(entry.service.clone())
            .or_default();
        service_keys.push(key);
        self.endpoints.insert(key, Endpoint::new(entry, now));
        key
    }

    fn remove_key(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.remove(&key) else {
            return;
        };
        self.key_by_name.remove(&endpoint.entry.name);
        if let Some(keys) = self.keys_by_service.get_mut(&endpoint.entry.service) {
            keys.retain(|other| *other != key);
        }
    }
}
