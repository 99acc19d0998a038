//! Compares a new version with its baseline and stops it when it is worse.
//!
//! Each of errors, ratings and slow answers is a loss between 0 and 1. The guard
//! pairs losses of the new version with losses of its baseline and bets against
//! the hypothesis that the new version loses at most a tolerance more. The
//! wealth of such a bet is a test martingale, so the chance that a version which
//! is no worse is ever stopped stays below the false-alarm ratio, however often
//! the guard looks.

mod observation;
mod pairing;
mod settings;
mod wealth;

pub use observation::{Exposure, GuardStop, GuardVerdict, Metric, Observation};
pub use settings::GuardSettings;
pub use wealth::Evidence;

use std::collections::HashMap;

use hemlockhitch_model::{NodeName, Now, VersionName};

use observation::Loss;
use pairing::Pairing;
use wealth::Wealth;

/// Watches the roll-outs that a node takes part in.
///
/// ```
/// use hemlockhitch_model::{Clock, ManualClock, VersionName};
/// use hemlockhitch_policy::guard::{Guard, GuardSettings, GuardVerdict, Observation};
///
/// let now = ManualClock::new().now();
/// let (old, new) = (VersionName::from("m@1"), VersionName::from("m@2"));
/// let mut guard = Guard::new(GuardSettings::new());
/// guard.watch(new.clone(), old.clone());
/// guard.observe(&old, Observation::Served { first_token_ms: 90 }, now);
/// let verdict = guard.observe(&new, Observation::Failed, now);
/// assert_eq!(verdict, GuardVerdict::Continue);
/// ```
#[derive(Clone, Debug)]
pub struct Guard {
    settings: GuardSettings,
    watches: Vec<Watch>,
}

/// One roll-out.
#[derive(Clone, Debug)]
struct Watch {
    candidate: VersionName,
    baseline: VersionName,
    tests: [MetricTest; Metric::ALL.len()],
    outstanding: u32,
    peers: HashMap<NodeName, Evidence>,
    stop: Option<GuardStop>,
}

/// The test of one metric.
#[derive(Clone, Debug, Default)]
struct MetricTest {
    pairing: Pairing,
    wealth: Wealth,
}

impl Guard {
    /// Creates a guard that watches nothing.
    #[must_use]
    pub fn new(settings: GuardSettings) -> Self {
        Self {
            settings,
            watches: Vec::new(),
        }
    }

    /// Sets the most requests of a watched version that run on the node at once,
    /// so that a fleet can divide what it exposes over its live nodes.
    pub fn set_outstanding_limit(&mut self, limit: impl Into<u32>) {
        self.settings.outstanding_limit = limit.into();
    }

    /// Starts to watch a roll-out, from scratch if it was stopped; one that is
    /// watched already goes on.
    pub fn watch(&mut self, candidate: VersionName, baseline: VersionName) {
        let known = self.watches.iter().any(|watch| {
            watch.candidate == candidate && watch.baseline == baseline && watch.stop.is_none()
        });
        if known {
            return;
        }
        self.unwatch(&candidate);
        self.watches.push(Watch {
            candidate,
            baseline,
            tests: Default::default(),
            outstanding: 0,
            peers: HashMap::new(),
            stop: None,
        });
    }

    /// Ends the watch of a roll-out.
    pub fn unwatch(&mut self, candidate: &VersionName) {
        self.watches.retain(|watch| watch.candidate != *candidate);
    }

    /// Asks whether a request of a new session may go to a version; counts it
    /// when it may.
    pub fn start(&mut self, version: &VersionName) -> Exposure {
        let limit = self.settings.outstanding_limit;
        let Some(watch) = self.watch_of(version) else {
            return Exposure::Allowed;
        };
        if watch.stop.is_some() {
            return Exposure::Stopped;
        }
        if watch.outstanding >= limit {
            return Exposure::Wait;
        }
        watch.outstanding += 1;
        Exposure::Allowed
    }

    /// Returns whether a version was stopped.
    #[must_use]
    pub fn is_stopped(&self, version: &VersionName) -> bool {
        let mut watches = self.watches.iter();
        watches.any(|watch| watch.candidate == *version && watch.stop.is_some())
    }

    /// Takes in what was seen of a version.
    pub fn observe(
        &mut self,
        version: &VersionName,
        observation: Observation,
        now: Now,
    ) -> GuardVerdict {
        let mut verdict = GuardVerdict::Continue;
        for watch in &mut self.watches {
            let stop = watch.observe(&self.settings, version, observation, now);
            verdict = stop.map_or(verdict, GuardVerdict::Stop);
        }
        verdict
    }

    /// Returns this node's evidence on a roll-out, for its peers.
    #[must_use]
    pub fn evidence(&self, candidate: &VersionName) -> Option<Evidence> {
        let mut watches = self.watches.iter();
        let watch = watches.find(|watch| watch.candidate == *candidate)?;
        Some(Evidence::of(
            watch.tests.each_ref().map(|test| &test.wealth),
        ))
    }

    /// Takes in a peer's evidence in place of its earlier one.
    pub fn merge(
        &mut self,
        candidate: &VersionName,
        peer: NodeName,
        evidence: Evidence,
    ) -> GuardVerdict {
        let settings = self.settings.clone();
        let Some(watch) = self.watch_of(candidate) else {
            return GuardVerdict::Continue;
        };
        watch.peers.insert(peer, evidence);
        watch.judge(&settings);
        watch
            .stop
            .map_or(GuardVerdict::Continue, GuardVerdict::Stop)
    }

    fn watch_of(&mut self, candidate: &VersionName) -> Option<&mut Watch> {
        let mut watches = self.watches.iter_mut();
        watches.find(|watch| watch.candidate == *candidate)
    }
}

impl Watch {
    /// Returns the stop if the observation is the candidate's or caused it.
    fn observe(
        &mut self,
        settings: &GuardSettings,
        version: &VersionName,
        observation: Observation,
        now: Now,
    ) -> Option<GuardStop> {
        let is_candidate = *version == self.candidate;
        if !is_candidate && *version != self.baseline {
            return None;
        }
        if is_candidate && observation.ends_request() {
            self.outstanding = self.outstanding.saturating_sub(1);
        }
        let was_stopped = self.stop.is_some();
        for loss in observation
            .losses(settings.slow_after_ms)
            .into_iter()
            .flatten()
        {
            self.take_loss(settings, loss, is_candidate, now);
        }
        self.judge(settings);
        self.stop.filter(|_| is_candidate || !was_stopped)
    }

    fn take_loss(&mut self, settings: &GuardSettings, loss: Loss, is_candidate: bool, now: Now) {
        let test = &mut self.tests[loss.metric.index()];
        let gap = if is_candidate {
            test.pairing.add_candidate(loss.loss_ratio, now)
        } else {
            test.pairing.add_baseline(loss.loss_ratio, now)
        };
        if let Some(gap_ratio) = gap {
            let tolerance_ratio = settings.tolerance_ratio(loss.metric);
            test.wealth.bet(gap_ratio, tolerance_ratio);
        }
    }

    /// Stops the candidate when the joint wealth of all nodes is high enough.
    fn judge(&mut self, settings: &GuardSettings) {
        let least_log = settings.log_threshold();
        for metric in Metric::ALL {
            let peers = self.peers.values().map(|peer| peer.wealth(metric));
            let joint = peers.fold(self.tests[metric.index()].wealth, Wealth::times);
            if self.stop.is_none() && joint.log_value() >= least_log {
                let pairs = joint.pairs();
                self.stop = Some(GuardStop { metric, pairs });
            }
        }
    }
}
