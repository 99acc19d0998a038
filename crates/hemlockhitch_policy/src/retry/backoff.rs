//! Exponential backoff with full jitter.

use fastrand::Rng;

/// Upper bound of the backoff before the first retry, in milliseconds.
const BASE_BACKOFF_MS: u64 = 50;

/// Upper bound of the backoff before any retry, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Returns a random backoff before a retry, in milliseconds.
///
/// The backoff is uniform between 0 and a bound that doubles with each earlier
/// failure, so that requests which failed together are not retried together.
pub fn backoff_ms(earlier_failures: u32, rng: &mut Rng) -> u64 {
    let factor = 1_u64.checked_shl(earlier_failures).unwrap_or(u64::MAX);
    let bound_ms = BASE_BACKOFF_MS.saturating_mul(factor).min(MAX_BACKOFF_MS);
    rng.u64(0..=bound_ms)
}
