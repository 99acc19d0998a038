//! The configuration in force on this node, and its sources.

mod source;
mod sync;

pub use source::{ConfigurationSource, SourceError};
pub(crate) use sync::{ConfigurationSync, follow_store};

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use hemlockhitch_config::{Configuration, NumberedChange};
use tokio::sync::watch;

use crate::error::{PeerError, PeerErrorKind};

/// Number of recent changes kept for peers that lag behind.
const MAX_RECENT_CHANGES: usize = 256;

/// The configuration in force, whose generation only increases. Clones share it.
#[derive(Clone, Debug)]
pub struct ConfigurationFeed {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    current: watch::Sender<Arc<Configuration>>,
    recent: Mutex<VecDeque<NumberedChange>>,
}

/// The part of the configuration that a peer lacks.
pub(crate) enum MissingConfiguration {
    Changes(Vec<NumberedChange>),
    Full(Arc<Configuration>),
}

impl ConfigurationFeed {
    pub(crate) fn new() -> Self {
        let (current, _) = watch::channel(Arc::default());
        let shared = Shared {
            current,
            recent: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Arc<Configuration> {
        self.shared.current.borrow().clone()
    }

    /// Returns the generation in force.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.shared.current.borrow().generation
    }

    /// Returns a receiver of the configuration in force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.shared.current.subscribe()
    }

    /// Replaces the configuration if the new one has a higher generation; returns
    /// whether it does.
    pub(crate) fn replace(&self, configuration: Configuration) -> bool {
        let mut recent = self.lock_recent();
        let newer = self.shared.current.send_if_modified(|current| {
            let newer = configuration.generation > current.generation;
            if newer {
                *current = Arc::new(configuration);
            }
            newer
        });
        if newer {
            recent.clear();
        }
        newer
    }

    /// Applies the changes that follow the current generation; returns whether the
    /// last of them is in force afterwards.
    pub(crate) fn apply(&self, changes: &[NumberedChange]) -> bool {
        let mut recent = self.lock_recent();
        let mut current = self.current();
        let before = current.generation;
        for numbered in changes {
            if numbered.generation == current.generation + 1 {
                Arc::make_mut(&mut current).apply(&numbered.change);
                recent.push_back(numbered.clone());
            }
        }
        while recent.len() > MAX_RECENT_CHANGES {
            recent.pop_front();
        }
        let reached = current.generation;
        if reached > before {
            self.shared.current.send_replace(current);
        }
        changes.last().is_none_or(|last| last.generation <= reached)
    }

    /// Returns the changes after `generation`, or the full configuration if some of
    /// them are no longer kept.
    pub(crate) fn missing_since(&self, generation: u64) -> MissingConfiguration {
        let recent = self.lock_recent();
        let complete = recent
            .front()
            .is_some_and(|first| first.generation <= generation + 1);
        if complete || generation >= self.generation() {
            let changes = recent
                .iter()
                .filter(|numbered| numbered.generation > generation)
                .cloned()
                .collect();
            return MissingConfiguration::Changes(changes);
        }
        MissingConfiguration::Full(self.current())
    }

    fn lock_recent(&self) -> std::sync::MutexGuard<'_, VecDeque<NumberedChange>> {
        self.shared
            .recent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

pub(crate) fn encode_changes(changes: &[NumberedChange]) -> Vec<u8> {
    serde_json::to_vec(changes).unwrap_or_default()
}

pub(crate) fn decode_changes(json: &[u8]) -> Result<Vec<NumberedChange>, PeerError> {
    serde_json::from_slice(json)
        .map_err(|error| PeerError::new(PeerErrorKind::BadMessage, format!("changes: {error}")))
}

pub(crate) fn decode_configuration(json: &[u8]) -> Result<Configuration, PeerError> {
    serde_json::from_slice(json).map_err(|error| {
        PeerError::new(PeerErrorKind::BadMessage, format!("configuration: {error}"))
    })
}
