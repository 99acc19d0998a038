//! The routing table combined with this node's state of each endpoint.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{Arena, DataCentreKey, EndpointKey, EndpointName, Now};
use hemlockhitch_policy::endpoint::EndpointLoad;
use tokio::sync::watch;

/// This node's state of one endpoint, kept across configuration generations.
#[derive(Debug, Default)]
pub struct EndpointState {
    in_flight: AtomicU32,
    /// Monotonic time of the last failure in milliseconds, plus 1; 0 for none.
    last_failure_mono_ms: AtomicU64,
}

impl EndpointState {
    /// Adds a request to the number in flight at the endpoint.
    pub fn request_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a request from the number in flight at the endpoint.
    pub fn request_ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records the time of a failure of the endpoint.
    pub fn record_failure(&self, now: Now) {
        self.last_failure_mono_ms
            .store(now.mono_ms + 1, Ordering::Relaxed);
    }

    /// Returns the load for endpoint selection, as seen by this node only, without a
    /// load report of the endpoint.
    #[must_use]
    pub fn load(&self) -> EndpointLoad {
        let last_failure_mono_ms = self.last_failure_mono_ms.load(Ordering::Relaxed);
        EndpointLoad {
            own_in_flight: self.in_flight.load(Ordering::Relaxed),
            reported_requests: 0,
            report_age_ms: u64::MAX,
            last_failure_mono_ms: last_failure_mono_ms.checked_sub(1),
        }
    }
}

/// One generation of the routing table with the state of each endpoint.
#[derive(Debug)]
pub struct RoutingView {
    /// Routing table compiled from the configuration.
    pub table: RoutingTable,
    /// Data centre of the node; an index out of range if the table does not have it.
    pub local_data_centre: DataCentreKey,
    states: Arena<EndpointKey, Arc<EndpointState>>,
}

impl RoutingView {
    /// Returns the state of an endpoint, shared with other generations.
    #[must_use]
    pub fn state(&self, endpoint: EndpointKey) -> &Arc<EndpointState> {
        &self.states[endpoint]
    }
}

/// Builds views from routing tables and publishes them to the request path.
#[derive(Debug)]
pub struct RoutingViewPublisher {
    local_data_centre: String,
    sender: watch::Sender<Arc<RoutingView>>,
    states: HashMap<EndpointName, Arc<EndpointState>>,
}

impl RoutingViewPublisher {
    /// Creates a publisher with an empty table; `local_data_centre` is the name of the
    /// node's data centre.
    #[must_use]
    pub fn new(local_data_centre: impl Into<String>) -> Self {
        let local_data_centre = local_data_centre.into();
        let (view, states) =
            build_view(RoutingTable::default(), &local_data_centre, &HashMap::new());
        let (sender, _) = watch::channel(Arc::new(view));
        Self {
            local_data_centre,
            sender,
            states,
        }
    }

    /// Publishes a table unless a newer generation was published.
    pub fn publish(&mut self, table: RoutingTable) {
        if table.generation < self.sender.borrow().table.generation {
            return;
        }
        let (view, states) = build_view(table, &self.local_data_centre, &self.states);
        self.states = states;
        self.sender.send_replace(Arc::new(view));
    }

    /// Returns a receiver of the current view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<RoutingView>> {
        self.sender.subscribe()
    }
}

type EndpointStates = HashMap<EndpointName, Arc<EndpointState>>;

fn build_view(
    table: RoutingTable,
    local_data_centre: &str,
    previous: &EndpointStates,
) -> (RoutingView, EndpointStates) {
    let mut states = Arena::new();
    let mut by_name = EndpointStates::new();
    for (_, entry) in table.endpoints.iter() {
        let name = entry.row.name.clone();
        let state = previous.get(&name).cloned().unwrap_or_default();
        states.push(Arc::clone(&state));
        by_name.insert(name, state);
    }
    let unknown_data_centre = hemlockhitch_model::Key::from_index(usize::MAX);
    let view = RoutingView {
        local_data_centre: table
            .data_centre(local_data_centre)
            .unwrap_or(unknown_data_centre),
        table,
        states,
    };
    (view, by_name)
}
