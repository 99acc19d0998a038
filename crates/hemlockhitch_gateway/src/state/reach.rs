//! Probes whether this node reaches the endpoints of a service.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockhitch_model::{Clock, Now, ServiceName};
use hemlockhitch_routing::reach::Suspicion;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::NodeContext;
use crate::dialect::Dialect;

/// Pause between two probes of a service that is not reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

impl<D: Dialect, C: Clock> NodeContext<D, C> {
    /// Records a suspicion that this node reaches no endpoint of a service, and probes it
    /// in the background if there is reason to.
    pub(crate) fn suspect(&self, service: &ServiceName, suspicion: Suspicion) {
        let now = self.now();
        if self.state().reach.suspect(service, suspicion, now) {
            tokio::spawn(probe_until_reached(self.clone(), service.clone()));
        }
    }

    /// Returns whether this node can send no request for a service, while others probably
    /// can: it reaches no endpoint, or has no slot at those of a brittle service.
    pub(crate) fn needs_helper(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let state = self.state();
        let nodes = state.node_shares(self.settings());
        state.reach.is_cut_off(service)
            || (state.fleet.is_brittle(service, now)
                && state.fleet.own_slots(service, nodes) == 0
                && state.fleet.eligible(service).next().is_some())
    }

    /// Returns whether an endpoint of a service has responded to this node since a time.
    pub(crate) fn has_responded_since(&self, service: &ServiceName, since: Now) -> bool {
        let state = self.state();
        state.reach.has_responded_since(service, since.mono_ms)
    }

    /// Connects to endpoints of a service; returns whether one took the connection.
    pub(crate) async fn reaches_any(&self, service: &ServiceName) -> bool {
        let targets = self.probe_targets(service);
        connects_to_any(self, &targets).await
    }

    fn probe_targets(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        state.reach.probe_targets(service, &state.fleet, now)
    }

    /// Returns whether this node knows that it reaches no endpoint of a service.
    pub(crate) fn is_cut_off(&self, service: &ServiceName) -> bool {
        self.state().reach.is_cut_off(service)
    }
}

async fn probe_until_reached<D: Dialect, C: Clock>(
    node_context: NodeContext<D, C>,
    service: ServiceName,
) {
    loop {
        let targets = node_context.probe_targets(&service);
        // A service without endpoints is not cut off: there is nothing to reach.
        let has_connected = targets.is_empty() || connects_to_any(&node_context, &targets).await;
        let now = node_context.now();
        let (is_cut_off, has_changed) = {
            let mut state = node_context.state();
            state.reach.record_probe(&service, has_connected, now)
        };
        if has_changed && is_cut_off {
            tracing::warn!(event = "HH1244", %service, ?targets, "no endpoint of the service can be reached from this node");
            node_context.close_idle_connections(&service);
        } else if has_changed {
            tracing::info!(event = "HH1245", %service, "endpoints of the service can be reached again");
        }
        if !is_cut_off {
            return;
        }
        sleep(PROBE_INTERVAL).await;
    }
}

/// Returns as soon as an endpoint takes a connection.
async fn connects_to_any<D: Dialect, C: Clock>(
    node_context: &NodeContext<D, C>,
    targets: &[SocketAddr],
) -> bool {
    let mut probes = JoinSet::new();
    for target in targets {
        let node_context = node_context.clone();
        let target = *target;
        probes.spawn(async move { node_context.connection_pool().is_listening(target).await });
    }
    while let Some(probe) = probes.join_next().await {
        // A probe that panicked reached nothing.
        if probe.unwrap_or(false) {
            return true;
        }
    }
    false
}

impl<D: Dialect, C: Clock> NodeContext<D, C> {
    /// Closes the idle connections to the endpoints of a service.
    fn close_idle_connections(&self, service: &ServiceName) {
        let endpoints: Vec<_> = {
            let state = self.state();
            let endpoints = state.fleet.of_service(service);
            endpoints.map(|(key, _)| key).collect()
        };
        for endpoint in endpoints {
            self.connection_pool().close_endpoint(endpoint);
        }
    }
}
