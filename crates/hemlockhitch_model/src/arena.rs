//! Typed arenas whose entries are addressed by small `Copy` keys.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

use serde::{Deserialize, Serialize};

/// A typed index of one entry of an [`Arena`].
pub trait Key: Copy {
    /// Creates the key of the entry at `index`.
    fn from_index(index: usize) -> Self;

    /// Returns the index of the entry.
    fn index(self) -> usize;
}

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u32);

        impl Key for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).unwrap_or(u32::MAX))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

key!(
    /// Key of an organisation.
    OrganisationKey
);
key!(
    /// Key of a model.
    ModelKey
);
key!(
    /// Key of one version of a model.
    VersionKey
);
key!(
    /// Key of an endpoint.
    EndpointKey
);
key!(
    /// Key of a data centre.
    DataCentreKey
);
key!(
    /// Key of a route.
    RouteKey
);
key!(
    /// Key of a plain service.
    ServiceKey
);

/// A table that only grows, with entries addressed by keys of type `K`.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    entries: Vec<T>,
    key: PhantomData<K>,
}

impl<K: Key, T> Arena<K, T> {
    /// Creates an empty arena.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: Vec::new(),
            key: PhantomData,
        }
    }

    /// Adds an entry and returns its key.
    pub fn push(&mut self, entry: T) -> K {
        let key = K::from_index(self.entries.len());
        self.entries.push(entry);
        key
    }

    /// Returns the entry of `key`, or `None` if the arena has no such entry.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&T> {
        self.entries.get(key.index())
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the arena has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the keys and entries in insertion order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(index, entry)| (K::from_index(index), entry))
    }
}

impl<K: Key, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Key, T> Index<K> for Arena<K, T> {
    type Output = T;

    fn index(&self, key: K) -> &T {
        &self.entries[key.index()]
    }
}

impl<K: Key, T> IndexMut<K> for Arena<K, T> {
    fn index_mut(&mut self, key: K) -> &mut T {
        &mut self.entries[key.index()]
    }
}
