//! Inputs and outputs of the guard.

use serde::{Deserialize, Serialize};

/// An observation of one request to a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The version failed the request.
    Failed,
    /// The version served the request.
    Served {
        /// Time to the first token, in milliseconds.
        first_token_ms: u64,
    },
    /// The rating service rated a response, possibly long after it was served.
    Rated {
        /// Rating between 0 and 1; higher is better.
        rating_ratio: f64,
    },
    /// The request ended without a verdict on the version: the caller disconnected,
    /// or the endpoint failed for another reason.
    Abandoned,
}

/// A metric that the guard compares between two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Ratio of failed requests.
    Errors,
    /// Mean of one minus the rating.
    Ratings,
    /// Ratio of served requests with a slow first token.
    Slow,
}

/// A loss between 0 and 1 in one metric.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    pub(super) metric: Metric,
    pub(super) loss_ratio: f64,
}

/// Why a version was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GuardStop {
    /// The metric in which the version is worse than its baseline.
    pub metric: Metric,
    /// Number of pairs of mean losses that were compared, over all nodes.
    pub pairs: u64,
}

/// The decision of the guard after an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardVerdict {
    /// There is not enough evidence that the version is worse.
    Continue,
    /// The version is worse and must get no new sessions.
    Stop(GuardStop),
}

/// Whether a new session may go to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exposure {
    /// The session may use the version.
    Allowed,
    /// The version has too many outstanding requests; use the baseline for this
    /// session.
    AtLimit,
    /// The guard has stopped the version; use the baseline.
    Stopped,
}

impl Metric {
    /// All metrics, in the order of their discriminants.
    pub const ALL: [Self; 3] = [Self::Errors, Self::Ratings, Self::Slow];

    /// Returns the position of the metric in [`Metric::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl Observation {
    /// Returns whether the observation is the outcome of an outstanding request; a
    /// rating comes after it.
    pub(super) fn ends_request(self) -> bool {
        !matches!(self, Self::Rated { .. })
    }

    /// Returns the losses that the observation contributes. A first token later than
    /// `slow_after_ms` is slow.
    pub(super) fn losses(self, slow_after_ms: u64) -> [Option<Loss>; 2] {
        match self {
            Self::Failed => [Loss::new(Metric::Errors, 1.0), None],
            Self::Served { first_token_ms } => {
                let slow = first_token_ms > slow_after_ms;
                let slow_loss = if slow { 1.0 } else { 0.0 };
                [
                    Loss::new(Metric::Errors, 0.0),
                    Loss::new(Metric::Slow, slow_loss),
                ]
            }
            Self::Rated { rating_ratio } => {
                let loss_ratio = 1.0 - rating_ratio.clamp(0.0, 1.0);
                [Loss::new(Metric::Ratings, loss_ratio), None]
            }
            Self::Abandoned => [None, None],
        }
    }
}

impl Loss {
    /// Creates a loss; `None` if it is not finite.
    fn new(metric: Metric, loss_ratio: f64) -> Option<Self> {
        loss_ratio
            .is_finite()
            .then_some(Self { metric, loss_ratio })
    }
}
