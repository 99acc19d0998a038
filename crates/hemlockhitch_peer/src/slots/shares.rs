//! How a warm endpoint's slots divide between its owner and the fixed shares.

use super::SlotRequest;

/// The part of the warm limit that is kept for fixed shares, as a divisor.
const SHARE_DIVISOR: u32 = 4;

impl SlotRequest {
    /// Returns how many slots the nodes may use among them while the owner is
    /// not known.
    #[must_use]
    pub fn shared_slots(&self) -> u32 {
        let spare = self.warm_limit.saturating_sub(self.cold_limit);
        spare.min(self.warm_limit / SHARE_DIVISOR)
    }

    /// Returns the most slots that the owner grants.
    #[must_use]
    pub fn owner_limit(&self) -> u32 {
        let rest = self.warm_limit.saturating_sub(self.shared_slots());
        rest.max(self.cold_limit)
    }
}
