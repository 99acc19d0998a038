//! Roll-outs of versions, watched by a guard that stops a worse version.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hemlockhitch_config::configuration::{RollOut, RollOutState};
use hemlockhitch_config::{Configuration, Row};
use hemlockhitch_model::{Now, VersionName};
use hemlockhitch_policy::guard::{
    Exposure, Guard, GuardSettings, GuardStop, GuardVerdict, Observation,
};
use tokio::sync::mpsc;

/// A version whose roll-out was stopped by the guard of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoppedVersion {
    /// The version that was being rolled out.
    pub version: VersionName,
    /// Why the guard stopped the version.
    pub stop: GuardStop,
}

/// Which version should serve a new session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VersionRoute {
    /// The version that was chosen.
    Chosen,
    /// The baseline if it is usable, because the chosen version already has enough
    /// outstanding requests; otherwise the chosen version.
    PreferBaseline {
        /// The version that the chosen one replaces.
        baseline: VersionName,
    },
    /// Only the baseline, because the roll-out of the chosen version was stopped.
    RequireBaseline {
        /// The version that the chosen one replaces.
        baseline: VersionName,
    },
}

/// The watched roll-outs of a node; clones share their state.
#[derive(Clone, Debug)]
pub struct RollOuts {
    state: Arc<Mutex<State>>,
    stop_sender: mpsc::UnboundedSender<StoppedVersion>,
}

#[derive(Debug)]
struct State {
    guard: Guard,
    /// Baseline of each version in roll-out.
    baselines: HashMap<VersionName, VersionName>,
    /// Versions that get no new sessions on this node.
    stopped: HashSet<VersionName>,
    /// Versions whose roll-out the configuration records as stopped.
    recorded_stops: HashSet<VersionName>,
}

impl RollOuts {
    /// Creates a set without roll-outs; versions that the guard stops are sent to
    /// `stop_sender`.
    #[must_use]
    pub fn new(
        settings: GuardSettings,
        stop_sender: mpsc::UnboundedSender<StoppedVersion>,
    ) -> Self {
        let state = State {
            guard: Guard::new(settings),
            baselines: HashMap::new(),
            stopped: HashSet::new(),
            recorded_stops: HashSet::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            stop_sender,
        }
    }

    /// Applies the roll-out rows of a configuration.
    pub fn apply_configuration(&self, configuration: &Configuration) {
        let mut state = self.lock();
        for (_, row) in configuration.existing_rows() {
            if let Row::RollOut(row) = row {
                state.apply_row(row);
            }
        }
    }

    /// Stops a version on this node after the guard of a peer stopped it.
    pub fn stop(&self, version: VersionName) {
        self.lock().stopped.insert(version);
    }

    /// Decides whether `version` or its baseline serves a new session.
    pub(crate) fn route_new_session(&self, version: &VersionName) -> VersionRoute {
        let mut state = self.lock();
        let Some(baseline) = state.baselines.get(version).cloned() else {
            return VersionRoute::Chosen;
        };
        if state.stopped.contains(version) {
            return VersionRoute::RequireBaseline { baseline };
        }
        match state.guard.try_start_request(version) {
            Exposure::Allowed => VersionRoute::Chosen,
            Exposure::AtLimit => VersionRoute::PreferBaseline { baseline },
            Exposure::Stopped => VersionRoute::RequireBaseline { baseline },
        }
    }

    /// Passes an observation of a version to the guard and reports the versions that
    /// it stops.
    pub(crate) fn observe(&self, version: &VersionName, observation: Observation, now: Now) {
        let mut state = self.lock();
        let GuardVerdict::Stop(stop) = state.guard.observe(version, observation, now) else {
            return;
        };
        for version in state.take_newly_stopped() {
            tracing::error!(event = "HH0707", %version, ?stop, "roll-out stopped by guard");
            // Sending fails only when the node has stopped and nothing is left to record
            // the stop.
            let _ = self.stop_sender.send(StoppedVersion { version, stop });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply_row(&mut self, row: &RollOut) {
        match row.state {
            RollOutState::Running => self.watch_running(row),
            RollOutState::Stopped => {
                self.recorded_stops.insert(row.to.clone());
                self.stopped.insert(row.to.clone());
            }
            RollOutState::Held => {}
        }
    }

    /// Watches a running roll-out; one that an operator resumed starts without
    /// evidence.
    fn watch_running(&mut self, row: &RollOut) {
        if self.recorded_stops.remove(&row.to) {
            self.stopped.remove(&row.to);
            self.guard.unwatch(&row.to);
        }
        self.guard.watch(row.to.clone(), row.from.clone());
        self.baselines.insert(row.to.clone(), row.from.clone());
    }

    /// Marks the versions that the guard has stopped since the last call as stopped
    /// and returns them.
    fn take_newly_stopped(&mut self) -> Vec<VersionName> {
        let guard = &self.guard;
        let stopped = self.baselines.keys().filter(|name| guard.is_stopped(name));
        let newly_stopped: Vec<VersionName> = stopped
            .filter(|name| !self.stopped.contains(*name))
            .cloned()
            .collect();
        self.stopped.extend(newly_stopped.iter().cloned());
        newly_stopped
    }
}
