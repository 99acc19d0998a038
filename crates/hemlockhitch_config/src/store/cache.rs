//! Client-side cache of the newest configuration.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use hemlockhitch_model::ChangeId;

use super::tail::Tail;
use crate::change::Change;
use crate::configuration::{Configuration, RETAINED_GENERATIONS};

/// The newest configuration that was read, shared by the clones of a client. Its
/// generation never decreases.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfigCache {
    state: Arc<Mutex<CacheState>>,
}

#[derive(Clone, Debug, Default)]
struct CacheState {
    configuration: Arc<Configuration>,
    /// Ids of the newest changes, oldest first; the last one created `configuration`.
    recent_ids: VecDeque<ChangeId>,
    /// Lower bound of the generation of the stored snapshot.
    snapshot_generation: u64,
}

impl ConfigCache {
    /// Returns the newest configuration.
    pub(super) fn configuration(&self) -> Arc<Configuration> {
        self.with_state(|state| Arc::clone(&state.configuration))
    }

    /// Applies a snapshot, unless a newer configuration is cached.
    pub(super) fn apply_snapshot(&self, configuration: Configuration) {
        self.with_state(|state| {
            let generation = configuration.generation;
            state.snapshot_generation = state.snapshot_generation.max(generation);
            if generation > state.configuration.generation {
                state.configuration = Arc::new(configuration);
                state.recent_ids.clear();
            }
        });
    }

    /// Applies the changes of the tail that follow the cached configuration.
    pub(super) fn apply_tail(&self, tail: &Tail) {
        self.with_state(|state| {
            for numbered in &tail.changes {
                state.apply_next(&numbered.change, numbered.generation);
            }
        });
    }

    /// Applies a change that was written as `generation`, if that is the next generation.
    pub(super) fn apply_written(&self, change: &Change, generation: u64) {
        self.with_state(|state| state.apply_next(change, generation));
    }

    /// Returns the generation created by the change with this id, if the id is cached.
    pub(super) fn generation_of(&self, id: ChangeId) -> Option<u64> {
        self.with_state(|state| {
            let newer_changes = state
                .recent_ids
                .iter()
                .rev()
                .position(|recent_id| *recent_id == id)?;
            Some(state.configuration.generation - newer_changes as u64)
        })
    }

    /// Returns the generation after which the ids of all changes are cached.
    pub(super) fn ids_known_after(&self) -> u64 {
        self.with_state(|state| state.configuration.generation - state.recent_ids.len() as u64)
    }

    /// Returns a lower bound of the generation of the stored snapshot.
    pub(super) fn snapshot_generation(&self) -> u64 {
        self.with_state(|state| state.snapshot_generation)
    }

    /// Records that the stored snapshot has reached a generation.
    pub(super) fn record_snapshot(&self, generation: u64) {
        self.with_state(|state| {
            state.snapshot_generation = state.snapshot_generation.max(generation);
        });
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut CacheState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut state)
    }
}

impl CacheState {
    fn apply_next(&mut self, change: &Change, generation: u64) {
        if generation != self.configuration.generation + 1 {
            return;
        }
        Arc::make_mut(&mut self.configuration).apply(change);
        self.recent_ids.push_back(change.id);
        if self.recent_ids.len() as u64 > RETAINED_GENERATIONS {
            self.recent_ids.pop_front();
        }
    }
}
