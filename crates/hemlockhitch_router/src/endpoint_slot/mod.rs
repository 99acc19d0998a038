//! Slots at endpoints, counted in this node's endpoint state.

use std::sync::Arc;

use hemlockhitch_model::{EndpointKey, Now};
use hemlockhitch_peer::slots::{Slot, SlotReport, SlotRequest, Slots};

use crate::backend::Backend;
use crate::router::Router;
use crate::view::{EndpointState, RoutingView};

/// A slot at an endpoint, counted in the endpoint's [`EndpointState`] until it is
/// dropped.
pub(crate) struct EndpointSlot<B: Backend> {
    state: Arc<EndpointState>,
    slot: Option<<B::Slots as Slots>::Slot>,
}

impl<B: Backend> EndpointSlot<B> {
    /// Acquires a slot at an endpoint; returns `None` when none is granted.
    pub(crate) async fn acquire(
        router: &Router<B>,
        view: &RoutingView,
        endpoint: EndpointKey,
    ) -> Option<Self> {
        let row = &view.table.endpoints[endpoint].row;
        let request = SlotRequest {
            endpoint: row.name.clone(),
            cold_limit: row.cold_limit,
            warm_limit: row.warm_limit,
        };
        let slot = match router.parts.slots.acquire(request, router.now()).await {
            Ok(slot) => slot,
            Err(refusal) => {
                tracing::debug!(event = "HH0706", endpoint = %row.name, %refusal, "slot request refused");
                return None;
            }
        };
        let state = Arc::clone(view.state(endpoint));
        state.request_started();
        Some(Self {
            state,
            slot: Some(slot),
        })
    }

    /// Releases the slot and reports how the request at the endpoint ended.
    pub(crate) fn finish(mut self, report: SlotReport, now: Now) {
        if report == SlotReport::Failed {
            self.state.record_failure(now);
        }
        if let Some(slot) = self.slot.take() {
            slot.finish(report, now);
        }
    }
}

impl<B: Backend> Drop for EndpointSlot<B> {
    fn drop(&mut self) {
        self.state.request_ended();
    }
}
