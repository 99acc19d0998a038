//! Whether and when a failed request is sent again.
//!
//! A retry must be safe, must fit the budget that keeps retries to a tenth of
//! the load, and must still be in time.

mod backoff;
mod budget;

pub use backoff::backoff_ms;
pub use budget::RetryBudget;

use fastrand::Rng;

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How many attempts failed before this one.
    pub earlier_failures: u32,
    /// Whether the request certainly did not run.
    pub not_run: bool,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// What the caller has of the answer.
    pub relayed: Relayed,
    /// How much time the caller has left, in milliseconds.
    pub time_left_ms: u64,
}

/// What a caller has of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relayed {
    /// Nothing.
    Nothing,
    /// A part from which another endpoint can go on.
    Resumable,
    /// A part from which no endpoint can go on.
    NotResumable,
}

/// Whether to send a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it after a pause.
    Retry {
        /// The pause.
        after_ms: u64,
    },
    /// Give the caller its final answer.
    GiveUp(GiveUpReason),
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It may have run and must not run twice.
    MayHaveRun,
    /// The caller has a part that cannot be continued.
    PartlyRelayed,
    /// It failed too often.
    TooManyAttempts,
    /// The pause would outlast the caller's time.
    TooLate,
    /// Retries are already a tenth of the load.
    OverBudget,
}

/// The most retries of one request.
pub const MAX_RETRIES: u32 = 3;

/// Decides on a failed attempt, and takes the retry from the budget.
///
/// ```
/// use hemlockhitch_policy::retry::{FailedAttempt, Relayed, RetryBudget, RetryDecision};
///
/// let failed = FailedAttempt {
///     earlier_failures: 0,
///     not_run: false,
///     idempotent: true,
///     relayed: Relayed::Nothing,
///     time_left_ms: 10_000,
/// };
/// let mut budget = RetryBudget::new();
/// let mut rng = fastrand::Rng::with_seed(1);
/// let decision = hemlockhitch_policy::retry::decide(failed, &mut budget, &mut rng);
/// assert!(matches!(decision, RetryDecision::Retry { .. }));
/// ```
pub fn decide(attempt: FailedAttempt, budget: &mut RetryBudget, rng: &mut Rng) -> RetryDecision {
    if let Some(reason) = forbidden(attempt) {
        return RetryDecision::GiveUp(reason);
    }
    let after_ms = backoff_ms(attempt.earlier_failures, rng);
    if after_ms >= attempt.time_left_ms {
        return RetryDecision::GiveUp(GiveUpReason::TooLate);
    }
    if !budget.take() {
        return RetryDecision::GiveUp(GiveUpReason::OverBudget);
    }
    RetryDecision::Retry { after_ms }
}

fn forbidden(attempt: FailedAttempt) -> Option<GiveUpReason> {
    if !attempt.not_run && !attempt.idempotent {
        return Some(GiveUpReason::MayHaveRun);
    }
    if attempt.relayed == Relayed::NotResumable {
        return Some(GiveUpReason::PartlyRelayed);
    }
    if attempt.earlier_failures >= MAX_RETRIES {
        return Some(GiveUpReason::TooManyAttempts);
    }
    None
}
