//! Exchange of endpoint states between nodes.

use std::sync::{MutexGuard, PoisonError};

use hemlockhitch_model::Clock;

use super::NodeContext;
use crate::dialect::Dialect;
use crate::peer::{EndpointLoads, LoadTable};

impl<D: Dialect, C: Clock> NodeContext<D, C> {
    /// Records the loads of a node that follows this one, and updates the loads of
    /// other nodes in this node's state.
    pub(crate) fn record_loads(&self, node: &str, loads: EndpointLoads) {
        let now = self.now();
        let settings = self.settings();
        let mut table = self.lock_loads();
        table.set(node, loads, now);
        let peer_loads = table.sum_except(settings.node.as_str(), now);
        drop(table);
        self.set_peer_loads(&peer_loads);
    }

    /// Records the outstanding requests of the other nodes at the endpoints of this
    /// data centre.
    pub(crate) fn set_peer_loads(&self, peer_loads: &EndpointLoads) {
        let load_of = |hash| peer_loads.get(&hash).copied().unwrap_or_default();
        let data_centre = &self.settings().data_centre;
        let mut state = self.state();
        state
            .fleet
            .record_peer_requests(data_centre, load_of, self.now());
    }

    /// Returns this node's outstanding requests at the endpoints of its data centre.
    pub(crate) fn own_loads(&self) -> EndpointLoads {
        let data_centre = &self.settings().data_centre;
        let now = self.now();
        self.state().fleet.outstanding(data_centre, now).collect()
    }

    /// Returns the outstanding requests of this node and its followers, except one, at
    /// endpoints.
    pub(crate) fn loads_except(&self, node: &str) -> EndpointLoads {
        let now = self.now();
        let own = self.own_loads();
        let mut table = self.lock_loads();
        table.set(self.settings().node.as_str(), own, now);
        table.sum_except(node, now)
    }

    fn lock_loads(&self) -> MutexGuard<'_, LoadTable> {
        let loads = self.inner.loads.lock();
        loads.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the hashes of the endpoint instances that this node knows to be leaving.
    pub(crate) fn leaving(&self) -> Vec<u64> {
        self.state().fleet.leaving().collect()
    }

    /// Records the endpoint instances that another node knows to be leaving.
    pub(crate) fn merge_leaving(&self, instance_hashes: &[u64]) {
        let now = self.now();
        let mut state = self.state();
        state
            .fleet
            .merge_leaving(instance_hashes.iter().copied(), now);
    }
}
