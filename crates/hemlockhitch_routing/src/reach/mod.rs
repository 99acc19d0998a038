//! Whether a node reaches the endpoints of a service, and which node it passes requests
//! to while it does not.
//!
//! Single endpoints fail all the time, and all nodes see it. Here it is the node that
//! fails: its connections to every endpoint hang, are reset or are refused, while callers
//! and other nodes still reach it. Failed and unanswered requests only raise a suspicion;
//! connections to several endpoints at once confirm it.

mod helper;

pub use helper::{HelperSelector, MAX_HELPERS_PER_REQUEST};

use std::collections::HashMap;
use std::net::SocketAddr;

use hemlockhitch_model::{EndpointKey, Now, ServiceName, mix};

use crate::fleet::{Endpoint, Fleet};

/// Number of endpoints that a probe connects to: more than usually fail together.
const PROBED_ENDPOINTS: usize = 4;

/// Shortest interval between two probes of a service that is reached, in milliseconds.
const MIN_PROBE_INTERVAL_MS: u64 = 500;

/// Time without any response of a service after which an unanswered request raises a
/// suspicion, in milliseconds.
pub const SILENCE_MS: u64 = 500;

/// What raises the suspicion that a node reaches no endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// No connection to an endpoint could be made.
    NotConnected,
    /// A request has no response yet, or its connection failed.
    Unanswered,
}

/// Whether a node reaches the endpoints of each service.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    services: HashMap<ServiceName, ServiceReach>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceReach {
    is_cut_off: bool,
    is_probing: bool,
    probes: u64,
    last_probe_mono_ms: Option<u64>,
    last_response_mono_ms: Option<u64>,
}

impl Reach {
    /// Records that an endpoint of a service responded.
    pub fn record_response(&mut self, service: &ServiceName, now: Now) {
        if let Some(reach) = self.services.get_mut(service) {
            reach.last_response_mono_ms = Some(now.mono_ms);
        } else {
            let reach = ServiceReach {
                last_response_mono_ms: Some(now.mono_ms),
                ..ServiceReach::default()
            };
            self.services.insert(service.clone(), reach);
        }
    }

    /// Returns whether an endpoint of a service has responded since `mono_ms`.
    #[must_use]
    pub fn has_responded_since(&self, service: &ServiceName, mono_ms: u64) -> bool {
        let reach = self.services.get(service);
        let last_mono_ms = reach.and_then(|reach| reach.last_response_mono_ms);
        last_mono_ms.is_some_and(|last| last >= mono_ms)
    }

    /// Records a suspicion; returns whether the caller is to probe the service now.
    pub fn suspect(&mut self, service: &ServiceName, suspicion: Suspicion, now: Now) -> bool {
        let reach = self.services.entry(service.clone()).or_default();
        let has_passed = |since: Option<u64>, interval_ms: u64| {
            since.is_none_or(|since| now.mono_ms >= since + interval_ms)
        };
        let is_silent = suspicion == Suspicion::NotConnected
            || has_passed(reach.last_response_mono_ms, SILENCE_MS);
        let starts = !reach.is_probing
            && is_silent
            && has_passed(reach.last_probe_mono_ms, MIN_PROBE_INTERVAL_MS);
        reach.is_probing |= starts;
        starts
    }

    /// Returns the addresses that the next probe of a service connects to. They lie in as
    /// many data centres as possible, and differ from one probe to the next.
    pub fn probe_targets(
        &mut self,
        service: &ServiceName,
        fleet: &Fleet,
        now: Now,
    ) -> Vec<SocketAddr> {
        let reach = self.services.entry(service.clone()).or_default();
        reach.probes += 1;
        let draw = reach.probes;
        let mut endpoints: Vec<(EndpointKey, &Endpoint)> = fleet.of_service(service).collect();
        endpoints.sort_by_key(|(_, endpoint)| {
            let is_suspect = endpoint.circuit_breaker.is_open(now) || endpoint.entry.draining;
            (is_suspect, mix(endpoint.name_hash, draw))
        });
        let mut targets = Vec::new();
        let mut data_centres = Vec::new();
        for pass in 0..PROBED_ENDPOINTS {
            for (_, endpoint) in &endpoints {
                let data_centre = &endpoint.entry.data_centre;
                let known = data_centres.iter().filter(|known| **known == data_centre);
                let address = endpoint.entry.address;
                if targets.len() < PROBED_ENDPOINTS
                    && known.count() <= pass
                    && !targets.contains(&address)
                {
                    targets.push(address);
                    data_centres.push(data_centre);
                }
            }
        }
        targets
    }

    /// Records whether a probe reached an endpoint. Returns whether the node is cut off
    /// from the service, and whether that changed.
    pub fn record_probe(
        &mut self,
        service: &ServiceName,
        has_connected: bool,
        now: Now,
    ) -> (bool, bool) {
        let reach = self.services.entry(service.clone()).or_default();
        let has_changed = reach.is_cut_off == has_connected;
        reach.is_cut_off = !has_connected;
        reach.is_probing = reach.is_cut_off;
        reach.last_probe_mono_ms = Some(now.mono_ms);
        (reach.is_cut_off, has_changed)
    }

    /// Returns whether the node reaches no endpoint of a service, as far as it knows.
    #[must_use]
    pub fn is_cut_off(&self, service: &ServiceName) -> bool {
        self.services
            .get(service)
            .is_some_and(|reach| reach.is_cut_off)
    }
}
