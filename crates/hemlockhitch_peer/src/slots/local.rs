//! Slots of a node without peers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use hemlockhitch_model::{EndpointName, Now};

use super::{Slot, SlotRefusal, SlotReport, SlotRequest, Slots};

/// Counts slots in use within the process, up to the warm limit. Clones share the
/// counts.
#[derive(Clone, Debug, Default)]
pub struct LocalSlots {
    in_use: Arc<Mutex<HashMap<EndpointName, u32>>>,
}

impl LocalSlots {
    /// Creates the table with no slots in use.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn release(&self, endpoint: &EndpointName) {
        let mut in_use = self.in_use.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = in_use.get_mut(endpoint) {
            *count = count.saturating_sub(1);
        }
    }
}

/// A slot of a [`LocalSlots`] table.
#[derive(Debug)]
pub struct SlotGuard {
    slots: LocalSlots,
    endpoint: EndpointName,
}

impl Slot for SlotGuard {
    fn finish(self, _report: SlotReport, _now: Now) {}
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slots.release(&self.endpoint);
    }
}

impl Slots for LocalSlots {
    type Slot = SlotGuard;

    async fn acquire(&self, request: SlotRequest, _now: Now) -> Result<SlotGuard, SlotRefusal> {
        let mut in_use = self.in_use.lock().unwrap_or_else(PoisonError::into_inner);
        let count = in_use.entry(request.endpoint.clone()).or_default();
        if *count >= request.warm_limit {
            return Err(SlotRefusal::Full);
        }
        *count += 1;
        Ok(SlotGuard {
            slots: self.clone(),
            endpoint: request.endpoint,
        })
    }
}
