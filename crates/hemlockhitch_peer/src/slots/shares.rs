//! Division of a warm endpoint's slots between its owner and the fixed shares of
//! the nodes.

use super::SlotRequest;

/// Fixed shares get at most the warm limit divided by this.
const SHARE_DIVISOR: u32 = 4;

impl SlotRequest {
    /// Returns whether the concurrency limit is lower while the endpoint is cold.
    #[must_use]
    pub fn has_cold_start(&self) -> bool {
        self.cold_limit < self.warm_limit
    }

    /// Returns how many slots all nodes together may use without the owner's grant,
    /// for when the owner is unavailable.
    #[must_use]
    pub fn shared_slots(&self) -> u32 {
        let share = self.warm_limit / SHARE_DIVISOR;
        if !self.has_cold_start() {
            return share;
        }
        let spare = self.warm_limit.saturating_sub(self.cold_limit);
        spare.min(share)
    }

    /// Returns how many slots the owner may grant at once.
    #[must_use]
    pub fn owner_limit(&self) -> u32 {
        let rest = self.warm_limit.saturating_sub(self.shared_slots());
        if !self.has_cold_start() {
            return rest;
        }
        rest.max(self.cold_limit)
    }
}
