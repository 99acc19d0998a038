//! How a warm endpoint's slots divide between its owner and the fixed shares.

use super::SlotRequest;

/// The part of the warm limit that is kept for fixed shares, as a divisor.
const SHARE_DIVISOR: u32 = 4;

impl SlotRequest {
    /// Returns whether the endpoint bears less while cold than when warm.
    #[must_use]
    pub fn has_cold_start(&self) -> bool {
        self.cold_limit < self.warm_limit
    }

    /// Returns how many slots the nodes may use among them while the owner is
    /// not known.
    #[must_use]
    pub fn shared_slots(&self) -> u32 {
        let share = self.warm_limit / SHARE_DIVISOR;
        if !self.has_cold_start() {
            return share;
        }
        let spare = self.warm_limit.saturating_sub(self.cold_limit);
        spare.min(share)
    }

    /// Returns the most slots that the owner grants.
    #[must_use]
    pub fn owner_limit(&self) -> u32 {
        let rest = self.warm_limit.saturating_sub(self.shared_slots());
        if !self.has_cold_start() {
            return rest;
        }
        rest.max(self.cold_limit)
    }
}
