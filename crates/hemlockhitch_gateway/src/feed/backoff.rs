//! Backoff of store calls.

use hemlockhitch_model::Backoff;

/// Backoff after the first failure, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 100;

/// Maximum backoff, in milliseconds: short compared with the age that the configuration
/// may have.
const MAX_BACKOFF_MS: u64 = 800;

/// Returns the backoff between failed store calls.
pub(crate) fn store_backoff() -> Backoff {
    Backoff::new(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS)
}
