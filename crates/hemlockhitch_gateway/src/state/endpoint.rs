//! What a response states about the endpoint that sent it.

use hemlockhitch_model::{Clock, EndpointKey, Now};

use super::{NodeContext, State};
use crate::dialect::{Dialect, ResponseMetadata};
use crate::settings::GatewaySettings;

impl<D: Dialect, C: Clock> NodeContext<D, C> {
    /// Records the load, the cold period, the departure and the requested pause that a
    /// response states about its endpoint. A response of another endpoint that took over
    /// the address states nothing about this one.
    pub(crate) fn record_endpoint_state(&self, endpoint: EndpointKey, metadata: &ResponseMetadata) {
        let now = self.now();
        let mut state = self.state();
        let known = state.fleet.get(endpoint);
        let is_same = known.is_some_and(|known| {
            let name = metadata.endpoint.as_deref();
            name.is_none_or(|name| name == known.entry.name.as_str())
        });
        if is_same {
            state.record_endpoint_state(endpoint, metadata, self.settings(), now);
        }
    }
}

impl State {
    fn record_endpoint_state(
        &mut self,
        key: EndpointKey,
        metadata: &ResponseMetadata,
        settings: &GatewaySettings,
        now: Now,
    ) {
        let is_newly_leaving = metadata.leaving && self.fleet.record_leaving(key, now);
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        let name = endpoint.entry.name.clone();
        if is_newly_leaving {
            tracing::info!(event = "HH1232", %name, "endpoint states that it is leaving");
        }
        if let Some(load) = metadata.load {
            endpoint.record_load(load, now);
        }
        endpoint.record_cold(metadata.cold_remaining_ms, now);
        if endpoint.record_requested_rate(metadata.rate) {
            let requested = metadata.rate;
            tracing::info!(event = "HH1238", %name, ?requested, "endpoint changed the request rate that it takes");
        }
        let Some(requested) = metadata.pause else {
            return;
        };
        let pauses = settings.pauses();
        let pause_ms = pauses.pause_ms(requested, endpoint.name_hash);
        endpoint.record_pause(pause_ms, now);
        if pauses.is_invalid(requested) {
            tracing::warn!(event = "HH1234", %name, ?requested, pause_ms, "endpoint asked for an invalid pause");
        } else {
            tracing::info!(event = "HH1233", %name, ?requested, pause_ms, "endpoint asked for a pause");
        }
    }
}
