//! How much an endpoint bears at present.

use super::{SlotReport, SlotRequest};

/// Grows by one with each request served and falls to the cold limit at the
/// first sign that the endpoint bears less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Limit {
    /// Slots above the cold limit.
    above_cold: u32,
}

impl Limit {
    pub(crate) fn get(self, request: &SlotRequest) -> u32 {
        let warm_limit = request.warm_limit.max(request.cold_limit);
        warm_limit.min(request.cold_limit.saturating_add(self.above_cold))
    }

    pub(crate) fn is_warm(self, request: &SlotRequest) -> bool {
        self.get(request) > request.cold_limit
    }

    pub(crate) fn record(&mut self, report: SlotReport) {
        match report {
            SlotReport::Served { .. } => self.above_cold = self.above_cold.saturating_add(1),
            SlotReport::Refused | SlotReport::Failed => self.above_cold = 0,
        }
    }
}

impl SlotRequest {
    /// The part of the warm limit that is kept for fixed shares, as a divisor.
    const SHARE_DIVISOR: u32 = 4;

    #[must_use]
    /// Slots that nodes may use among them while the owner is not known.
    pub fn shared_slots(&self) -> u32 {
        let spare = self.warm_limit.saturating_sub(self.cold_limit);
        spare.min(self.warm_limit / Self::SHARE_DIVISOR)
    }

    /// The most slots that the owner grants.
    pub fn owner_limit(&self) -> u32 {
        let rest = self.warm_limit.saturating_sub(self.shared_slots());
        rest.max(self.cold_limit)
    }
}
