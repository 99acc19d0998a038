//! The pause before a retry.

use fastrand::Rng;

/// Longest pause before the first retry, in milliseconds.
const BASE_MS: u64 = 50;

/// Longest pause before any retry, in milliseconds.
const MAX_MS: u64 = 2_000;

/// Draws the pause before a retry, in milliseconds: evenly between nothing and a
/// bound that doubles with each failure, so that requests which failed together
/// do not return together.
pub fn backoff_ms(earlier_failures: u32, rng: &mut Rng) -> u64 {
    let factor = 1_u64.checked_shl(earlier_failures).unwrap_or(u64::MAX);
    let bound_ms = BASE_MS.saturating_mul(factor).min(MAX_MS);
    rng.u64(0..=bound_ms)
}
