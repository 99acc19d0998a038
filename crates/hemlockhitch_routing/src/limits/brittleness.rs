//! Services whose endpoints end if they have to refuse more than a few requests.
//!
//! The nodes together have no more requests at such an endpoint than it has slots, so that
//! it refuses none. The statement belongs to the service: an endpoint that starts again has
//! stated nothing yet, and would end at once under what had waited for it.

use hemlockhitch_model::Now;

use super::Statements;

/// How long the statement of one endpoint outlives responses of others that state nothing,
/// in milliseconds: responses may overtake each other.
const MIN_DURATION_MS: u64 = 1_000;

/// The services whose endpoints are brittle, as any node heard it.
#[derive(Clone, Debug, Default)]
pub struct Brittleness {
    /// Refusals in a second that an endpoint survives, by the hash of the service.
    pub statements: Statements,
}

impl Brittleness {
    /// Records what a response states about its service: the refusals in a second that its
    /// endpoint survives, or `None` for any number. Returns whether that changed.
    pub fn record(&mut self, service_hash: u64, refusals_per_s: Option<f64>, now: Now) -> bool {
        let is_recent = self
            .statements
            .get(service_hash, now)
            .is_some_and(|stated| stated.age_ms < MIN_DURATION_MS);
        if refusals_per_s.is_none() && is_recent {
            return false;
        }
        self.statements.record(service_hash, refusals_per_s, now)
    }

    /// Returns whether the endpoints of a service are brittle.
    #[must_use]
    pub fn is_brittle(&self, service_hash: u64, now: Now) -> bool {
        self.statements.get(service_hash, now).is_some()
    }
}
