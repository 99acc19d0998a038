//! The pause before the store is called again.

use hemlockhitch_model::Backoff;

/// Pause after the first failure, in milliseconds.
const FIRST_MS: u64 = 100;

/// Longest pause, in milliseconds: short against the age that the configuration
/// may have.
const MOST_MS: u64 = 800;

/// Returns the pauses between calls of the store that fail.
pub(crate) fn store_backoff() -> Backoff {
    Backoff::new(FIRST_MS, MOST_MS)
}
