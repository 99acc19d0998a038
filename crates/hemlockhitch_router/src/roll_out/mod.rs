//! Roll-outs under the guard.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_config::configuration::{RollOut, RollOutState};
use hemlockhitch_config::{Configuration, Row};
use hemlockhitch_model::{Now, VersionName};
use hemlockhitch_policy::guard::{
    Exposure, Guard, GuardSettings, GuardStop, GuardVerdict, Observation,
};
use tokio::sync::mpsc;

/// A roll-out that this node's guard stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoppedVersion {
    /// The version that was coming.
    pub version: VersionName,
    /// What showed that it is worse.
    pub stop: GuardStop,
}

/// Which version should serve a new session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Diversion {
    /// The version that was chosen.
    Keep,
    /// Its baseline, if that can: enough requests of the chosen version run.
    Spare {
        /// The version that the chosen one replaces.
        baseline: VersionName,
    },
    /// Its baseline alone: the chosen version was stopped.
    Stopped {
        /// The version that the chosen one replaces.
        baseline: VersionName,
    },
}

/// Guards the roll-outs of a node; clones share the state.
#[derive(Clone, Debug)]
pub struct RollOuts {
    state: Arc<Mutex<State>>,
    stops: mpsc::UnboundedSender<StoppedVersion>,
}

#[derive(Debug)]
struct State {
    guard: Guard,
    /// The version that each watched version replaces.
    baselines: HashMap<VersionName, VersionName>,
    /// Versions that get no new session on this node.
    stopped: HashSet<VersionName>,
    /// Stops that the configuration records.
    recorded: HashSet<VersionName>,
}

impl RollOuts {
    /// Creates the state; what the guard stops is sent to `stops`.
    #[must_use]
    pub fn new(settings: GuardSettings, stops: mpsc::UnboundedSender<StoppedVersion>) -> Self {
        let state = State {
            guard: Guard::new(settings),
            baselines: HashMap::new(),
            stopped: HashSet::new(),
            recorded: HashSet::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            stops,
        }
    }

    /// Watches the roll-outs that run in a configuration.
    pub fn follow(&self, configuration: &Configuration) {
        let mut state = self.lock();
        for (_, row) in configuration.present_rows() {
            if let Row::RollOut(row) = row {
                state.follow(row);
            }
        }
    }

    /// Stops a version on this node, as a peer's guard has.
    pub fn stop(&self, version: VersionName) {
        self.lock().stopped.insert(version);
    }

    /// Says whether another version should serve a new session than `version`.
    pub(crate) fn divert(&self, version: &VersionName) -> Diversion {
        let mut state = self.lock();
        let Some(baseline) = state.baselines.get(version).cloned() else {
            return Diversion::Keep;
        };
        if state.stopped.contains(version) {
            return Diversion::Stopped { baseline };
        }
        match state.guard.start(version) {
            Exposure::Allowed => Diversion::Keep,
            Exposure::Wait => Diversion::Spare { baseline },
            Exposure::Stopped => Diversion::Stopped { baseline },
        }
    }

    /// Takes in what was seen of a version.
    pub(crate) fn observe(&self, version: &VersionName, observation: Observation, now: Now) {
        let mut state = self.lock();
        let GuardVerdict::Stop(stop) = state.guard.observe(version, observation, now) else {
            return;
        };
        for version in state.newly_stopped() {
            tracing::error!(event = "HH0707", %version, ?stop, "roll-out stopped by its guard");
            // The node has stopped when nobody records the stop.
            let _ = self.stops.send(StoppedVersion { version, stop });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn follow(&mut self, row: &RollOut) {
        match row.state {
            RollOutState::Running => self.run(row),
            RollOutState::Stopped => {
                self.recorded.insert(row.to.clone());
                self.stopped.insert(row.to.clone());
            }
            RollOutState::Held => {}
        }
    }

    /// Watches a roll-out; one that an operator resumed is watched from scratch.
    fn run(&mut self, row: &RollOut) {
        if self.recorded.remove(&row.to) {
            self.stopped.remove(&row.to);
            self.guard.unwatch(&row.to);
        }
        self.guard.watch(row.to.clone(), row.from.clone());
        self.baselines.insert(row.to.clone(), row.from.clone());
    }

    /// Marks the versions that the guard has stopped since the last call.
    fn newly_stopped(&mut self) -> Vec<VersionName> {
        let guard = &self.guard;
        let stopped = self.baselines.keys().filter(|name| guard.is_stopped(name));
        let newly: Vec<VersionName> = stopped
            .filter(|name| !self.stopped.contains(*name))
            .cloned()
            .collect();
        self.stopped.extend(newly.iter().cloned());
        newly
    }
}
