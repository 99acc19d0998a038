//! Roll-outs of a new version of a service, step by step.
//!
//! A small part of the sessions tries the new version first. It grows only after
//! good answers; failures or slowness beyond those of the other versions take the
//! version back at once.

mod evidence;
mod share;
mod stage;

pub use evidence::{Evidence, Observation};
pub use stage::Stage;

use std::collections::HashSet;

use hemlockhitch_model::{Now, VersionName};

use crate::place::Wanted;
use hemlockhitch_model::{hash_bytes, mix};
use share::Share;

/// Percent of the sessions on trial. With the requests from [`ALL_AFTER`] on they are
/// below the part of all requests that a bad version may get (15 percent), so that a
/// version whose badness no node can see stays within it too.
const TRIAL_PERCENT: u64 = 6;

/// How long a trial waits for the other nodes to tell which sessions are under way,
/// in milliseconds: several times a write to the store and the watch of it.
const PIN_WAIT_MS: u64 = 400;

/// Part of the time after which all sessions move.
const ALL_AFTER: f64 = 0.92;

/// Part of the time after which the roll-out is completed once the other versions
/// are idle.
const COMPLETE_AFTER: f64 = 0.94;

/// The time that is left when all sessions move at the latest, in milliseconds: the
/// news reaches every node before the last moment of a short order too.
const LEFT_FOR_ALL_MS: f64 = 1_200.0;

/// The time that is left when it is completed at any rate, in milliseconds: some turns
/// of nodes and two writes to the store, also to one that answers late.
const LEFT_AT_LATEST_MS: f64 = 800.0;

/// Good answers that one node must have seen before the version gets more.
const GOOD_LEAST: u32 = 3;

/// The time that is left when the version gets more without that, in milliseconds: too
/// few requests reach the service to show it.
const LEFT_UNPROVED_MS: f64 = 1_000.0;

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The version to move to.
    pub target: VersionName,
    /// The time from the order in which to do it, in milliseconds.
    pub finish_ms: u64,
}

/// A roll-out as one node sees it.
#[derive(Clone, Debug)]
pub struct RollOut {
    order: Order,
    ordered_mono_ms: u64,
    stage: Stage,
    evidence: Evidence,
    /// Sessions that were under way at the order and keep their version.
    pinned: HashSet<u64>,
    share: Share,
}

impl RollOut {
    /// Starts to follow an order that was seen at `now`.
    #[must_use]
    pub fn new(order: Order, now: Now) -> Self {
        Self {
            order,
            ordered_mono_ms: now.mono_ms,
            stage: Stage::Trial,
            evidence: Evidence::default(),
            pinned: HashSet::new(),
            share: Share::default(),
        }
    }

    /// Starts with what was seen of the service's versions before the order.
    #[must_use]
    pub fn seen_before(mut self, evidence: Evidence) -> Self {
        self.evidence = evidence;
        self
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Moves to a later stage; an earlier one is ignored, as it was read late.
    pub fn advance(&mut self, stage: Stage) {
        self.stage = self.stage.max(stage);
        if self.stage >= Stage::All {
            self.evidence.leave_others();
        }
    }

    /// Returns what was seen of the versions.
    pub fn evidence(&mut self) -> &mut Evidence {
        &mut self.evidence
    }

    /// Returns whether a session tries the new version unless it is under way.
    #[must_use]
    pub fn is_on_trial(&self, session: u64) -> bool {
        self.place_of(session) < TRIAL_PERCENT
    }

    /// Keeps sessions on their version until the trial is over.
    pub fn pin(&mut self, sessions: impl IntoIterator<Item = u64>) {
        self.pinned.extend(sessions);
    }

    /// Counts a request and the version that it goes to.
    pub fn count(&mut self, version: &VersionName, now: Now) {
        self.share.count(version == &self.order.target, now);
    }

    /// Returns which versions a request may go to; `served_by` is the version that
    /// its session was on lately.
    #[must_use]
    pub fn wanted(&self, session: u64, served_by: Option<&VersionName>, now: Now) -> Wanted<'_> {
        let target = &self.order.target;
        let percent = match self.stage {
            Stage::All if served_by != Some(target) && !self.is_within_share(now) => {
                return Wanted::Not(target);
            }
            Stage::All | Stage::Completed => return Wanted::Only(target),
            Stage::RolledBack => return Wanted::Not(target),
            Stage::Trial if now.mono_ms < self.ordered_mono_ms + PIN_WAIT_MS => 0,
            Stage::Trial => TRIAL_PERCENT,
        };
        let moves = match served_by {
            Some(version) => version == target,
            None => !self.pinned.contains(&session) && self.place_of(session) < percent,
        };
        if moves {
            Wanted::Only(target)
        } else {
            Wanted::Not(target)
        }
    }

    /// Returns whether the new version stays within its part of all requests if it
    /// gets all of them from now on. Otherwise many came at the end of its time, and
    /// the others keep theirs up to the last moment.
    fn is_within_share(&self, now: Now) -> bool {
        let end_mono_ms = self.ordered_mono_ms + self.order.finish_ms;
        self.share.allows_all(end_mono_ms, now)
    }

    /// Returns the place of a session among a hundred, the same on every node.
    fn place_of(&self, session: u64) -> u64 {
        mix(session, hash_bytes(self.order.target.as_str())) % 100
    }

    /// Decides whether the roll-out moves to another stage; `others_idle` says that
    /// no request runs at endpoints of other versions.
    #[must_use]
    pub fn next_stage(&self, others_idle: bool, now: Now) -> Option<Stage> {
        if self.stage.is_final() {
            return None;
        }
        if self.evidence.is_bad() {
            return Some(Stage::RolledBack);
        }
        #[allow(clippy::cast_precision_loss)]
        let finish_ms = self.order.finish_ms.max(1) as f64;
        #[allow(clippy::cast_precision_loss)]
        let passed_ms = now.mono_ms.saturating_sub(self.ordered_mono_ms) as f64;
        let passed = passed_ms / finish_ms;
        let left_ms = finish_ms - passed_ms;
        let is_last_moment = left_ms <= LEFT_AT_LATEST_MS;
        let is_time_for_all = passed >= ALL_AFTER || left_ms <= LEFT_FOR_ALL_MS;
        let proved = self.evidence.good() >= GOOD_LEAST || left_ms <= LEFT_UNPROVED_MS;
        let proved = proved && !self.evidence.is_doubtful();
        match self.stage {
            // The operator gets an answer in time; the old version is the safe one.
            Stage::Trial | Stage::All if is_last_moment && self.evidence.is_doubtful() => {
                Some(Stage::RolledBack)
            }
            Stage::Trial if is_time_for_all && proved => Some(Stage::All),
            Stage::All if passed >= COMPLETE_AFTER && others_idle && self.is_within_share(now) => {
                Some(Stage::Completed)
            }
            Stage::All if is_last_moment => Some(Stage::Completed),
            _ => None,
        }
    }
}
