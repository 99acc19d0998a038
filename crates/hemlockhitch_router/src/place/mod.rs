//! A place at an endpoint: a slot together with the node's own count.

use std::sync::Arc;

use hemlockhitch_model::{EndpointKey, Now};
use hemlockhitch_peer::slots::{Slot, SlotReport, SlotRequest, Slots};

use crate::backend::Backend;
use crate::router::Router;
use crate::view::{EndpointState, View};

/// A slot at an endpoint with the node's own count.
pub(crate) struct Place<B: Backend> {
    state: Arc<EndpointState>,
    slot: Option<<B::Slots as Slots>::Slot>,
}

impl<B: Backend> Place<B> {
    /// Takes a slot at an endpoint, or returns `None` when it bears no more.
    pub(crate) async fn take(
        router: &Router<B>,
        view: &View,
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
                tracing::debug!(event = "HH0706", endpoint = %row.name, %refusal, "no slot");
                return None;
            }
        };
        let state = Arc::clone(view.state(endpoint));
        state.started();
        Some(Self {
            state,
            slot: Some(slot),
        })
    }

    /// Gives the slot back with what the request showed of the endpoint.
    pub(crate) fn finish(mut self, report: SlotReport, now: Now) {
        if report == SlotReport::Failed {
            self.state.failed(now);
        }
        if let Some(slot) = self.slot.take() {
            slot.finish(report, now);
        }
    }
}

impl<B: Backend> Drop for Place<B> {
    fn drop(&mut self) {
        self.state.ended();
    }
}
