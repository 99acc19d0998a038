//! Staged roll-outs of a new version of a service.
//!
//! A small share of the sessions uses the new version first, as a canary. The share
//! grows only after good responses. If the new version fails or is slow more often than
//! the other versions, it is rolled back immediately.

mod evidence;
mod share;
mod stage;

pub use evidence::{Evidence, EvidenceSummary, Observation};
pub use stage::Stage;

use std::collections::HashSet;

use hemlockhitch_model::{Now, VersionName};

use crate::selection::VersionFilter;
use hemlockhitch_model::{hash_bytes, mix};
use share::TargetShare;

/// Percentage of sessions that use the new version during the trial. It leaves room for
/// the requests after the trial in the share of all requests that a bad version may get,
/// also if no node can detect that the version is bad.
const TRIAL_PERCENT: u64 = 6;

/// Share of a service's requests that a bad version may get, unless another one is set.
const DEFAULT_EXPOSURE_SHARE: f64 = 0.15;

/// Time for which a trial waits for the other nodes to publish their active sessions,
/// in milliseconds: several times the duration of a write to the store and its watch
/// notification.
const PIN_PROPAGATION_MS: u64 = 400;

/// Fraction of the order's duration after which all sessions move to the new version.
const ALL_AFTER_RATIO: f64 = 0.92;

/// Fraction of the order's duration after which the roll-out completes once the other
/// versions are idle.
const COMPLETE_AFTER_RATIO: f64 = 0.94;

/// Remaining time at which all sessions move at the latest, in milliseconds, so that
/// the stage reaches every node before the final decision of a short order too.
const ALL_REMAINING_MS: f64 = 1_200.0;

/// Remaining time at which the roll-out ends in any case, in milliseconds. It covers
/// several rounds of the nodes and two writes to the store, also if the store responds
/// late.
const FINAL_DECISION_REMAINING_MS: f64 = 800.0;

/// Good responses of the new version that one node must have seen before the version
/// gets more requests.
const MIN_GOOD_RESPONSES: u32 = 3;

/// Remaining time at which [`MIN_GOOD_RESPONSES`] is waived, in milliseconds: the
/// service gets too few requests to reach it.
const WAIVER_REMAINING_MS: f64 = 1_000.0;

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Version to move to.
    pub target: VersionName,
    /// Time allowed for the roll-out, in milliseconds from the order.
    pub duration_ms: u64,
}

/// One node's state of a roll-out.
#[derive(Clone, Debug)]
pub struct RollOut {
    order: Order,
    ordered_mono_ms: u64,
    stage: Stage,
    evidence: Evidence,
    /// Sessions that were active at the order and keep their version.
    pinned: HashSet<u64>,
    share: TargetShare,
    exposure_share: f64,
}

impl RollOut {
    /// Starts a roll-out for an order that was received at `now`.
    #[must_use]
    pub fn new(order: Order, now: Now) -> Self {
        Self {
            order,
            ordered_mono_ms: now.mono_ms,
            stage: Stage::Trial,
            evidence: Evidence::default(),
            pinned: HashSet::new(),
            share: TargetShare::default(),
            exposure_share: DEFAULT_EXPOSURE_SHARE,
        }
    }

    /// Sets the share of the service's requests, from 0 to 1, that a bad version may get
    /// during the roll-out.
    #[must_use]
    pub fn with_exposure_share(mut self, exposure_share: f64) -> Self {
        self.exposure_share = exposure_share;
        self
    }

    /// Sets the baseline, the evidence gathered on the service's versions before the
    /// order.
    #[must_use]
    pub fn with_baseline(mut self, evidence: Evidence) -> Self {
        self.evidence = evidence;
        self
    }

    /// Returns the operator's order.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Moves to a later stage. An earlier one is ignored, because it is an outdated
    /// read.
    pub fn advance(&mut self, stage: Stage) {
        self.stage = self.stage.max(stage);
        if self.stage >= Stage::All {
            self.evidence.set_all_traffic();
        }
    }

    /// Returns the evidence on the versions, to be extended or shared.
    pub fn evidence(&mut self) -> &mut Evidence {
        &mut self.evidence
    }

    /// Returns whether a session is a canary, that is, uses the new version during the
    /// trial unless it is pinned to another one.
    #[must_use]
    pub fn is_canary_session(&self, session: u64) -> bool {
        self.bucket_of(session) < TRIAL_PERCENT
    }

    /// Pins sessions to their current version for the duration of the trial.
    pub fn pin(&mut self, sessions: impl IntoIterator<Item = u64>) {
        self.pinned.extend(sessions);
    }

    /// Records a request and the version that it is sent to.
    pub fn record_request(&mut self, version: &VersionName, now: Now) {
        self.share
            .record_request(version == &self.order.target, now);
    }

    /// Returns which versions may serve a request. `served_by` is the version that
    /// served the session recently.
    #[must_use]
    pub fn version_filter(
        &self,
        session: u64,
        served_by: Option<&VersionName>,
        now: Now,
    ) -> VersionFilter<'_> {
        let target = &self.order.target;
        let percent = match self.stage {
            Stage::All if served_by != Some(target) && !self.fits_share(now) => {
                return VersionFilter::Except(target);
            }
            Stage::All | Stage::Completed => return VersionFilter::Only(target),
            Stage::RolledBack => return VersionFilter::Except(target),
            Stage::Trial if now.mono_ms < self.ordered_mono_ms + PIN_PROPAGATION_MS => 0,
            Stage::Trial => TRIAL_PERCENT,
        };
        let uses_target = match served_by {
            Some(version) => version == target,
            None => !self.pinned.contains(&session) && self.bucket_of(session) < percent,
        };
        if uses_target {
            VersionFilter::Only(target)
        } else {
            VersionFilter::Except(target)
        }
    }

    /// Returns whether the new version stays within its share of requests if it gets
    /// all of them from now on. It does not if many requests arrive late in the
    /// roll-out; the other versions then keep theirs until the final decision.
    fn fits_share(&self, now: Now) -> bool {
        let end_mono_ms = self.ordered_mono_ms + self.order.duration_ms;
        self.share
            .can_take_all(self.exposure_share, end_mono_ms, now)
    }

    /// Maps a session to one of a hundred buckets, the same on every node.
    fn bucket_of(&self, session: u64) -> u64 {
        mix(session, hash_bytes(self.order.target.as_str())) % 100
    }

    /// Returns the next stage if the roll-out is due to change. `others_idle` is
    /// whether the endpoints of the other versions run no requests.
    #[must_use]
    pub fn next_stage(&self, others_idle: bool, now: Now) -> Option<Stage> {
        if self.stage.is_final() {
            return None;
        }
        if self.evidence.is_regression() {
            return Some(Stage::RolledBack);
        }
        #[allow(clippy::cast_precision_loss)]
        let duration_ms = self.order.duration_ms.max(1) as f64;
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = now.mono_ms.saturating_sub(self.ordered_mono_ms) as f64;
        let elapsed_ratio = elapsed_ms / duration_ms;
        let remaining_ms = duration_ms - elapsed_ms;
        let is_final_decision_due = remaining_ms <= FINAL_DECISION_REMAINING_MS;
        let is_all_due = elapsed_ratio >= ALL_AFTER_RATIO || remaining_ms <= ALL_REMAINING_MS;
        let is_proven = self.evidence.good_responses() >= MIN_GOOD_RESPONSES
            || remaining_ms <= WAIVER_REMAINING_MS;
        let is_proven = is_proven && !self.evidence.is_suspected_regression();
        match self.stage {
            // An inconclusive roll-out is rolled back: the operator gets a result in
            // time, and the old version is the safe one.
            Stage::Trial | Stage::All
                if is_final_decision_due && self.evidence.is_suspected_regression() =>
            {
                Some(Stage::RolledBack)
            }
            Stage::Trial if is_all_due && is_proven => Some(Stage::All),
            Stage::All
                if elapsed_ratio >= COMPLETE_AFTER_RATIO && others_idle && self.fits_share(now) =>
            {
                Some(Stage::Completed)
            }
            Stage::All if is_final_decision_due => Some(Stage::Completed),
            _ => None,
        }
    }
}
