//! Compares a candidate version with its baseline and stops it if it is worse.
//!
//! Errors, ratings and slow responses are each measured as a loss between 0 and 1.
//! The guard pairs losses of the candidate with losses of its baseline and tests
//! the null hypothesis that the candidate's mean loss exceeds the baseline's by at
//! most a tolerance. The test is sequential: its wealth is a test martingale, so
//! the probability that a candidate which is no worse is ever stopped stays below
//! the false-alarm ratio, however often the guard evaluates it.

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

/// Watches the roll-outs of a node and stops those whose candidate is worse than
/// its baseline.
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
    roll_outs: Vec<WatchedRollOut>,
}

/// The state of a watched roll-out.
#[derive(Clone, Debug)]
struct WatchedRollOut {
    candidate: VersionName,
    baseline: VersionName,
    tests: [MetricTest; Metric::ALL.len()],
    /// Candidate requests that were started and have no outcome yet.
    outstanding: u32,
    /// The latest evidence of each peer.
    peer_evidence: HashMap<NodeName, Evidence>,
    stop: Option<GuardStop>,
}

/// The sequential test of one metric.
#[derive(Clone, Debug, Default)]
struct MetricTest {
    pairing: Pairing,
    wealth: Wealth,
}

impl Guard {
    /// Creates a guard without roll-outs.
    #[must_use]
    pub fn new(settings: GuardSettings) -> Self {
        Self {
            settings,
            roll_outs: Vec::new(),
        }
    }

    /// Sets the maximum number of outstanding requests of a watched version on the
    /// node, so that a fleet can divide its exposure over the live nodes.
    pub fn set_outstanding_limit(&mut self, limit: impl Into<u32>) {
        self.settings.outstanding_limit = limit.into();
    }

    /// Starts to watch a roll-out. One that is already watched with the same baseline
    /// continues; one that was stopped starts over.
    pub fn watch(&mut self, candidate: VersionName, baseline: VersionName) {
        let is_watched = self.roll_outs.iter().any(|roll_out| {
            roll_out.candidate == candidate
                && roll_out.baseline == baseline
                && roll_out.stop.is_none()
        });
        if is_watched {
            return;
        }
        self.unwatch(&candidate);
        self.roll_outs.push(WatchedRollOut {
            candidate,
            baseline,
            tests: Default::default(),
            outstanding: 0,
            peer_evidence: HashMap::new(),
            stop: None,
        });
    }

    /// Stops watching a roll-out and discards its evidence.
    pub fn unwatch(&mut self, candidate: &VersionName) {
        self.roll_outs
            .retain(|roll_out| roll_out.candidate != *candidate);
    }

    /// Returns whether a request of a new session may go to a version, and counts
    /// it as outstanding if so. Versions that are not watched are always allowed.
    pub fn try_start_request(&mut self, version: &VersionName) -> Exposure {
        let limit = self.settings.outstanding_limit;
        let Some(roll_out) = self.roll_out_mut(version) else {
            return Exposure::Allowed;
        };
        if roll_out.stop.is_some() {
            return Exposure::Stopped;
        }
        if roll_out.outstanding >= limit {
            return Exposure::AtLimit;
        }
        roll_out.outstanding += 1;
        Exposure::Allowed
    }

    /// Returns whether the guard has stopped a version.
    #[must_use]
    pub fn is_stopped(&self, version: &VersionName) -> bool {
        let mut roll_outs = self.roll_outs.iter();
        roll_outs.any(|roll_out| roll_out.candidate == *version && roll_out.stop.is_some())
    }

    /// Records an observation of a version, which may be a candidate or a baseline.
    pub fn observe(
        &mut self,
        version: &VersionName,
        observation: Observation,
        now: Now,
    ) -> GuardVerdict {
        let mut verdict = GuardVerdict::Continue;
        for roll_out in &mut self.roll_outs {
            let stop = roll_out.observe(&self.settings, version, observation, now);
            verdict = stop.map_or(verdict, GuardVerdict::Stop);
        }
        verdict
    }

    /// Returns this node's evidence about a roll-out, to be sent to its peers.
    #[must_use]
    pub fn evidence(&self, candidate: &VersionName) -> Option<Evidence> {
        let mut roll_outs = self.roll_outs.iter();
        let roll_out = roll_outs.find(|roll_out| roll_out.candidate == *candidate)?;
        Some(Evidence::from_wealth(
            roll_out.tests.each_ref().map(|test| &test.wealth),
        ))
    }

    /// Replaces the evidence of a peer, and evaluates the roll-out again.
    pub fn merge(
        &mut self,
        candidate: &VersionName,
        peer: NodeName,
        evidence: Evidence,
    ) -> GuardVerdict {
        let settings = self.settings.clone();
        let Some(roll_out) = self.roll_out_mut(candidate) else {
            return GuardVerdict::Continue;
        };
        roll_out.peer_evidence.insert(peer, evidence);
        roll_out.evaluate(&settings);
        roll_out
            .stop
            .map_or(GuardVerdict::Continue, GuardVerdict::Stop)
    }

    fn roll_out_mut(&mut self, candidate: &VersionName) -> Option<&mut WatchedRollOut> {
        let mut roll_outs = self.roll_outs.iter_mut();
        roll_outs.find(|roll_out| roll_out.candidate == *candidate)
    }
}

impl WatchedRollOut {
    /// Records an observation. Returns the stop if the observation caused it, or if
    /// it is of a candidate that was already stopped.
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
            self.record_loss(settings, loss, is_candidate, now);
        }
        self.evaluate(settings);
        self.stop.filter(|_| is_candidate || !was_stopped)
    }

    /// Adds a loss to the test of its metric, and bets when a pair is complete.
    fn record_loss(&mut self, settings: &GuardSettings, loss: Loss, is_candidate: bool, now: Now) {
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

    /// Stops the candidate if the combined wealth of all nodes in any metric reaches
    /// the threshold.
    fn evaluate(&mut self, settings: &GuardSettings) {
        let log_threshold = settings.log_threshold();
        for metric in Metric::ALL {
            let peer_wealth = self
                .peer_evidence
                .values()
                .map(|evidence| evidence.wealth(metric));
            let combined = peer_wealth.fold(self.tests[metric.index()].wealth, Wealth::multiply);
            if self.stop.is_none() && combined.log_wealth() >= log_threshold {
                let pairs = combined.pairs();
                self.stop = Some(GuardStop { metric, pairs });
            }
        }
    }
}
