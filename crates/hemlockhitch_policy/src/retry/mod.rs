//! Decides whether and when a failed request is retried.
//!
//! A request is retried only if running it again is safe, the retry budget
//! (a tenth of the requests) is not exhausted, and the backoff ends before the
//! caller's deadline.

mod backoff;
mod budget;

pub use backoff::backoff_ms;
pub use budget::RetryBudget;

use fastrand::Rng;

/// The state of a request after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Number of failed attempts before this one.
    pub earlier_failures: u32,
    /// Whether the endpoint is known not to have run the request.
    pub not_run: bool,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// How much of the response was relayed to the caller.
    pub relayed: Relayed,
    /// Time until the caller's deadline, in milliseconds.
    pub time_left_ms: u64,
}

/// The part of a response that was relayed to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relayed {
    /// No part of the response.
    Nothing,
    /// A partial response that another endpoint can resume.
    Resumable,
    /// A partial response that cannot be resumed.
    NotResumable,
}

/// Whether to retry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after a backoff.
    Retry {
        /// Backoff before the retry, in milliseconds.
        after_ms: u64,
    },
    /// Do not retry; return the failure to the caller.
    GiveUp(GiveUpReason),
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request may have run and is not idempotent.
    MayHaveRun,
    /// The caller has a partial response that cannot be resumed.
    PartlyRelayed,
    /// The request already used its [`MAX_RETRIES`].
    TooManyAttempts,
    /// The backoff would end at or after the caller's deadline.
    TooLate,
    /// The retry budget is exhausted.
    OverBudget,
}

/// Maximum number of retries of one request.
pub const MAX_RETRIES: u32 = 3;

/// Decides whether to retry after a failed attempt; a retry takes one token from
/// `budget`.
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
    if let Some(reason) = not_retryable_reason(attempt) {
        return RetryDecision::GiveUp(reason);
    }
    let after_ms = backoff_ms(attempt.earlier_failures, rng);
    if after_ms >= attempt.time_left_ms {
        return RetryDecision::GiveUp(GiveUpReason::TooLate);
    }
    if !budget.try_take() {
        return RetryDecision::GiveUp(GiveUpReason::OverBudget);
    }
    RetryDecision::Retry { after_ms }
}

/// Returns why the request must not be retried, regardless of budget and
/// deadline.
fn not_retryable_reason(attempt: FailedAttempt) -> Option<GiveUpReason> {
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
