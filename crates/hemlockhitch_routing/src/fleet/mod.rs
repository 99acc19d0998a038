//! What a node knows of the endpoints.

mod endpoint;
mod entry;
mod health;

pub use endpoint::{Endpoint, Load, Sent};
pub use entry::EndpointEntry;
pub use health::{Health, Sign};

use std::collections::{BTreeMap, HashMap, HashSet};

use hemlockhitch_model::{DataCentreName, EndpointKey, EndpointName, Key, Now, ServiceName};

/// The endpoints that are known, by keys that are never given twice.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    by_name: HashMap<EndpointName, EndpointKey>,
    by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    evacuated: HashSet<DataCentreName>,
    next_index: usize,
}

impl Fleet {
    /// Takes in what an endpoint says of itself.
    ///
    /// An endpoint that started again under its name, or moved, is a new one of
    /// which nothing is known; its key is returned as the second value.
    pub fn put(&mut self, entry: EndpointEntry, now: Now) -> (EndpointKey, Option<EndpointKey>) {
        if let Some(key) = self.by_name.get(&entry.name).copied() {
            if let Some(endpoint) = self.endpoints.get_mut(&key)
                && endpoint.entry.is_same_start(&entry)
            {
                endpoint.update(entry, now);
                return (key, None);
            }
            self.forget(key);
            return (self.add(entry, now), Some(key));
        }
        (self.add(entry, now), None)
    }

    /// Takes in that an endpoint is gone; returns the key that it had.
    pub fn remove(&mut self, name: &EndpointName) -> Option<EndpointKey> {
        let key = self.by_name.get(name).copied()?;
        self.forget(key);
        Some(key)
    }

    /// Keeps new work away from a data centre, or no longer.
    pub fn set_evacuated(&mut self, data_centre: DataCentreName, evacuated: bool) {
        if evacuated {
            self.evacuated.insert(data_centre);
        } else {
            self.evacuated.remove(&data_centre);
        }
    }

    /// Returns an endpoint, unless it is gone.
    #[must_use]
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(&key)
    }

    /// Returns an endpoint for a change, unless it is gone.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&key)
    }

    /// Iterates over all endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Iterates over the endpoints of a service, whatever their state.
    pub fn of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.endpoints.get(key)?)))
    }

    /// Iterates over the endpoints that may get new work of a service.
    pub fn usable<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> {
        self.of_service(service).filter(|(_, endpoint)| {
            !endpoint.entry.draining && !self.evacuated.contains(&endpoint.entry.data_centre)
        })
    }

    /// Returns what this node has at endpoints of a data centre, by a hash of their
    /// names.
    pub fn sent(&self, data_centre: &DataCentreName) -> impl Iterator<Item = (u64, Sent)> {
        let endpoints = self.endpoints.values();
        let used = endpoints.filter(move |endpoint| {
            endpoint.in_flight > 0 && endpoint.entry.data_centre == *data_centre
        });
        used.map(|endpoint| (endpoint.name_hash, endpoint.sent()))
    }

    /// Takes in what the other nodes have at the endpoints of a data centre, by a hash
    /// of their names.
    pub fn note_others(
        &mut self,
        data_centre: &DataCentreName,
        others: impl Fn(u64) -> Sent,
        now: Now,
    ) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.entry.data_centre == *data_centre {
                endpoint.note_others(others(endpoint.name_hash), now);
            }
        }
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn add(&mut self, entry: EndpointEntry, now: Now) -> EndpointKey {
        let key = EndpointKey::from_index(self.next_index);
        self.next_index += 1;
        self.by_name.insert(entry.name.clone(), key);
        let of_service = self.by_service.entry(entry.service.clone()).or_default();
        of_service.push(key);
        self.endpoints.insert(key, Endpoint::new(entry, now));
        key
    }

    fn forget(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.remove(&key) else {
            return;
        };
        self.by_name.remove(&endpoint.entry.name);
        if let Some(keys) = self.by_service.get_mut(&endpoint.entry.service) {
            keys.retain(|other| *other != key);
        }
    }
}
