//! What the guard sees and says.

use serde::{Deserialize, Serialize};

/// What was seen of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The version failed the request.
    Failed,
    /// The version served the request.
    Served {
        /// Milliseconds to the first token.
        first_token_ms: u64,
    },
    /// The rating service rated an answer, perhaps long after it was served.
    Rated {
        /// Between 0 and 1; higher is better.
        rating_ratio: f64,
    },
    /// The caller left, or the endpoint failed for reasons of its own.
    Abandoned,
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Failed requests.
    Errors,
    /// One minus the rating.
    Ratings,
    /// Served requests whose first token came late.
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
    /// The metric in which it is worse than its baseline.
    pub metric: Metric,
    /// Comparisons that showed it, over all nodes.
    pub pairs: u64,
}

/// What the guard says after an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardVerdict {
    /// Nothing speaks against the version.
    Continue,
    /// The version must get no new session.
    Stop(GuardStop),
}

/// Whether a new session may go to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exposure {
    /// It may.
    Allowed,
    /// Too many requests are not judged yet; use the baseline for this one.
    Wait,
    /// The version was stopped; use the baseline.
    Stopped,
}

impl Metric {
    /// Every metric.
    pub const ALL: [Self; 3] = [Self::Errors, Self::Ratings, Self::Slow];

    /// Returns the position of the metric in [`Metric::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl Observation {
    pub(super) fn ends_request(self) -> bool {
        !matches!(self, Self::Rated { .. })
    }

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
    fn new(metric: Metric, loss_ratio: f64) -> Option<Self> {
        loss_ratio
            .is_finite()
            .then_some(Self { metric, loss_ratio })
    }
}
