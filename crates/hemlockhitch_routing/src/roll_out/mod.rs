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
use share::{ShareLimit, TargetShare};

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

/// Time before the final decision from which a version counts as proven without
/// [`MIN_GOOD_RESPONSES`], in milliseconds: the service gets too few requests.
const WAIVER_MS: f64 = 500.0;

/// Remaining time at which a roll-out ends in any case if calls to the store take no time, in
/// milliseconds: several polls of the nodes, the time in which an order reaches them, and the
/// delays of nodes that stand in for the first one at each step.
const FINAL_DECISION_REMAINING_MS: f64 = 800.0;

/// Calls to the store in sequence by which a roll-out ends: the last two stages and the
/// status.
const FINAL_CALLS: f64 = 3.0;

/// Longest duration of a call to the store that is provided for, in milliseconds. If calls
/// take longer, the bounds of the platform are stretched.
const MAX_STORE_CALL_MS: u64 = 500;

/// Longest time between an order and its receipt that is provided for besides, in
/// milliseconds: a watch of the store. More would leave the requests of the other versions too
/// little time to end.
const MAX_ORDER_DELAY_MS: u64 = 300;

/// Good responses of the new version that one node must have seen before the version
/// gets more requests.
const MIN_GOOD_RESPONSES: u32 = 3;

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
    /// Upper bound of the time between the order and its receipt.
    order_delay_ms: u64,
}

/// What the next step of a roll-out depends on besides the roll-out itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepConditions {
    /// Whether the endpoints of the other versions run no requests.
    pub others_idle: bool,
    /// Number of nodes, any of which may take the step.
    pub node_count: u32,
    /// How long calls to the store take at present, in milliseconds.
    pub store_call_ms: u64,
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
            order_delay_ms: 0,
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

    /// Sets an upper bound of the time between the order and its receipt, in milliseconds.
    #[must_use]
    pub fn with_order_delay_ms(mut self, order_delay_ms: u64) -> Self {
        self.order_delay_ms = order_delay_ms.min(MAX_ORDER_DELAY_MS);
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

    /// Returns whether canary sessions use the new version. Before, the nodes exchange the
    /// sessions that keep the old one.
    #[must_use]
    pub fn has_trial_begun(&self, now: Now) -> bool {
        now.mono_ms >= self.ordered_mono_ms + PIN_PROPAGATION_MS
    }

    /// Returns which versions may serve a request. `served_by` is the version that
    /// served the session recently.
    ///
    /// From stage [`Stage::All`] on, the answer depends on the stage alone. Nodes that counted
    /// by themselves how many requests the new version may get would send sessions back that
    /// other nodes have moved.
    #[must_use]
    pub fn version_filter(
        &self,
        session: u64,
        served_by: Option<&VersionName>,
        now: Now,
    ) -> VersionFilter<'_> {
        let target = &self.order.target;
        let percent = match self.stage {
            Stage::All | Stage::Completed => return VersionFilter::Only(target),
            Stage::RolledBack => return VersionFilter::Except(target),
            Stage::Trial if !self.has_trial_begun(now) => 0,
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
    fn fits_share(&self, node_count: u32, now: Now) -> bool {
        self.share.can_take_all(self.share_limit(node_count), now)
    }

    /// Returns the same for requests that arrive evenly, without the requests counted.
    fn fits_planned_share(&self, now: Now) -> bool {
        TargetShare::default().can_take_all(self.share_limit(1), now)
    }

    fn share_limit(&self, node_count: u32) -> ShareLimit {
        #[allow(clippy::cast_precision_loss)]
        let trial_share = TRIAL_PERCENT as f64 / 100.0;
        ShareLimit {
            max_share: self.exposure_share,
            trial_share,
            ordered_mono_ms: self.ordered_mono_ms,
            end_mono_ms: self.ordered_mono_ms + self.order.duration_ms,
            node_count,
        }
    }

    /// Maps a session to one of a hundred buckets, the same on every node.
    fn bucket_of(&self, session: u64) -> u64 {
        mix(session, hash_bytes(self.order.target.as_str())) % 100
    }

    /// Returns the next stage if the roll-out is due to change.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn next_stage(&self, conditions: StepConditions, now: Now) -> Option<Stage> {
        if self.stage.is_final() {
            return None;
        }
        if self.evidence.is_regression() {
            return Some(Stage::RolledBack);
        }
        let duration_ms = self.order.duration_ms.max(1) as f64;
        let elapsed_ms = now.mono_ms.saturating_sub(self.ordered_mono_ms) as f64;
        // The order's time may have begun earlier than this node knows.
        let remaining_ms = duration_ms - elapsed_ms - self.order_delay_ms as f64;
        let store_call_ms = conditions.store_call_ms.min(MAX_STORE_CALL_MS) as f64;
        let final_remaining_ms = FINAL_DECISION_REMAINING_MS + FINAL_CALLS * store_call_ms;
        let is_final_decision_due = remaining_ms <= final_remaining_ms;
        let is_proven = self.evidence.good_responses() >= MIN_GOOD_RESPONSES
            || remaining_ms <= final_remaining_ms + WAIVER_MS;
        match self.stage {
            // An inconclusive roll-out is rolled back: the operator gets a result in
            // time, and the old version is the safe one.
            Stage::Trial | Stage::All
                if is_final_decision_due && self.evidence.is_suspected_regression() =>
            {
                Some(Stage::RolledBack)
            }
            Stage::Trial if is_proven && !self.evidence.is_suspected_regression() => {
                let is_due = elapsed_ms >= ALL_AFTER_RATIO * duration_ms
                    && self.fits_share(conditions.node_count, now);
                // A slow store makes the end late rather than the share too large.
                let is_last_moment = is_final_decision_due && self.fits_planned_share(now)
                    || elapsed_ms >= duration_ms - FINAL_DECISION_REMAINING_MS;
                (is_due || is_last_moment).then_some(Stage::All)
            }
            Stage::All
                if elapsed_ms >= COMPLETE_AFTER_RATIO * duration_ms && conditions.others_idle =>
            {
                Some(Stage::Completed)
            }
            Stage::All if is_final_decision_due => Some(Stage::Completed),
            _ => None,
        }
    }
}
