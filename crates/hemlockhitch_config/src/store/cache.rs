//! What a store client has read so far.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use hemlockhitch_model::ChangeId;

use super::tail::Tail;
use crate::change::Change;
use crate::configuration::{Configuration, RETAINED_GENERATIONS};

/// The newest configuration that was read; it only moves up in generation.
#[derive(Clone, Debug, Default)]
pub(super) struct Known {
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Debug, Default)]
struct State {
    configuration: Arc<Configuration>,
    /// The ids of the newest changes; the last one led to `configuration`.
    recent: VecDeque<ChangeId>,
    /// A generation that a stored snapshot is known to have reached.
    snapshot_generation: u64,
}

impl Known {
    /// Returns the newest configuration.
    pub(super) fn configuration(&self) -> Arc<Configuration> {
        self.with(|state| Arc::clone(&state.configuration))
    }

    /// Takes a snapshot in, unless a newer configuration is known.
    pub(super) fn take_snapshot(&self, configuration: Configuration) {
        self.with(|state| {
            let generation = configuration.generation;
            state.snapshot_generation = state.snapshot_generation.max(generation);
            if generation > state.configuration.generation {
                state.configuration = Arc::new(configuration);
                state.recent.clear();
            }
        });
    }

    /// Applies the changes that follow the newest configuration.
    pub(super) fn take_tail(&self, tail: &Tail) {
        self.with(|state| {
            for numbered in &tail.changes {
                state.take(&numbered.change, numbered.generation);
            }
        });
    }

    /// Applies a change that was written as `generation`, if it comes next.
    pub(super) fn take_written(&self, change: &Change, generation: u64) {
        self.with(|state| state.take(change, generation));
    }

    /// Returns the generation that a change of this id became, if it is one of
    /// the changes whose ids are known.
    pub(super) fn generation_of(&self, id: ChangeId) -> Option<u64> {
        self.with(|state| {
            let newer = state.recent.iter().rev().position(|recent| *recent == id)?;
            Some(state.configuration.generation - newer as u64)
        })
    }

    /// Returns the generation after which every id is known.
    pub(super) fn ids_after(&self) -> u64 {
        self.with(|state| state.configuration.generation - state.recent.len() as u64)
    }

    /// Returns a generation that a stored snapshot is known to have reached.
    pub(super) fn snapshot_generation(&self) -> u64 {
        self.with(|state| state.snapshot_generation)
    }

    /// Notes that a stored snapshot has reached a generation.
    pub(super) fn note_snapshot(&self, generation: u64) {
        self.with(|state| {
            state.snapshot_generation = state.snapshot_generation.max(generation);
        });
    }

    fn with<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut state)
    }
}

impl State {
    fn take(&mut self, change: &Change, generation: u64) {
        if generation != self.configuration.generation + 1 {
            return;
        }
        Arc::make_mut(&mut self.configuration).apply(change);
        self.recent.push_back(change.id);
        if self.recent.len() as u64 > RETAINED_GENERATIONS {
            self.recent.pop_front();
        }
    }
}
