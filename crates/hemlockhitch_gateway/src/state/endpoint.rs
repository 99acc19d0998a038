//! What a response states about the endpoint that sent it.

use hemlockhitch_model::{Clock, EndpointKey, Now};

use hemlockhitch_routing::gossip::SharedFacts;
use hemlockhitch_routing::limits::RequestedRate;

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
        let known = state.stated_sequences();
        let is_same = state.fleet.get(endpoint).is_some_and(|known| {
            let name = metadata.endpoint.as_deref();
            name.is_none_or(|name| name == known.entry.name.as_str())
        });
        if is_same {
            state.record_endpoint_state(endpoint, metadata, self.settings(), now);
            state.record_rate(endpoint, metadata.rate, now);
            state.record_brittle(endpoint, metadata.brittle, now);
            let has_learned = state.stated_sequences() != known;
            drop(state);
            if has_learned {
                self.notify_facts_learned();
            }
        }
    }
}

impl State {
    /// Returns how much this node has learned from statements of endpoints.
    fn stated_sequences(&self) -> (u64, u64) {
        let brittle = self.fleet.brittleness.statements.sequence();
        (self.fleet.named_rates.sequence(), brittle)
    }

    /// Records how many refusals a response states its endpoint survives.
    fn record_brittle(&mut self, key: EndpointKey, stated: Option<RequestedRate>, now: Now) {
        let refusals_per_s = stated.map(|stated| match stated {
            RequestedRate::PerS(per_s) => per_s,
            // Whatever the number is, the endpoint is brittle.
            RequestedRate::Unreadable => 0.0,
        });
        if self.fleet.record_brittle(key, refusals_per_s, now)
            && let Some(endpoint) = self.fleet.get(key)
        {
            let service = &endpoint.entry.service;
            tracing::info!(event = "HH1247", %service, ?stated, "endpoints changed how many refusals they survive");
        }
    }

    /// Records the rate that a response states its endpoint takes from all nodes together.
    fn record_rate(&mut self, key: EndpointKey, requested: Option<RequestedRate>, now: Now) {
        let per_s = match requested {
            Some(RequestedRate::PerS(per_s)) => Some(per_s),
            Some(RequestedRate::Unreadable) | None => None,
        };
        let has_changed = self.fleet.record_rate(key, per_s, now);
        let is_invalid = requested == Some(RequestedRate::Unreadable);
        if let Some(endpoint) = self.fleet.get(key)
            && (has_changed || is_invalid)
        {
            let name = &endpoint.entry.name;
            tracing::info!(event = "HH1238", %name, ?requested, "endpoint changed the request rate that it takes");
        }
    }

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
        if let Some(load) = metadata.load
            && endpoint.record_load(load, now)
        {
            tracing::warn!(event = "HH1272", %name, "endpoint states an unreadable work time");
        }
        endpoint.record_cold(metadata.cold_remaining_ms, now);
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
