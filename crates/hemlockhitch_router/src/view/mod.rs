//! The routing table together with what the node has seen of each endpoint.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{Arena, DataCentreKey, EndpointKey, EndpointName, Now};
use hemlockhitch_policy::endpoint::EndpointLoad;
use tokio::sync::watch;

/// What the node has seen of one endpoint; kept over generations.
#[derive(Debug, Default)]
pub struct EndpointState {
    in_flight: AtomicU32,
    /// Monotonic time of the last failure plus one, in milliseconds; 0 is none.
    failed_mono_ms: AtomicU64,
}

impl EndpointState {
    /// Counts a request that starts at the endpoint.
    pub fn started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that ended at the endpoint.
    pub fn ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes a failure of the endpoint.
    pub fn failed(&self, now: Now) {
        self.failed_mono_ms
            .store(now.mono_ms + 1, Ordering::Relaxed);
    }

    /// Returns what the endpoint choice needs.
    #[must_use]
    pub fn load(&self) -> EndpointLoad {
        let failed = self.failed_mono_ms.load(Ordering::Relaxed);
        EndpointLoad {
            own_in_flight: self.in_flight.load(Ordering::Relaxed),
            reported: 0,
            report_age_ms: u64::MAX,
            failed_mono_ms: failed.checked_sub(1),
        }
    }
}

/// One generation of the routing table with the endpoints' states.
#[derive(Debug)]
pub struct View {
    /// The routing table.
    pub table: RoutingTable,
    /// The data centre of the node.
    pub home: DataCentreKey,
    states: Arena<EndpointKey, Arc<EndpointState>>,
}

impl View {
    /// Returns the state of an endpoint.
    #[must_use]
    pub fn state(&self, endpoint: EndpointKey) -> &Arc<EndpointState> {
        &self.states[endpoint]
    }
}

/// Publishes views to the request path.
#[derive(Debug)]
pub struct ViewFeed {
    home: String,
    sender: watch::Sender<Arc<View>>,
    states: HashMap<EndpointName, Arc<EndpointState>>,
}

impl ViewFeed {
    /// Creates a feed with an empty table; `home` names the node's data centre.
    #[must_use]
    pub fn new(home: impl Into<String>) -> Self {
        let home = home.into();
        let (view, states) = build(RoutingTable::default(), &home, &HashMap::new());
        let (sender, _) = watch::channel(Arc::new(view));
        Self {
            home,
            sender,
            states,
        }
    }

    /// Publishes a table unless a newer one is in force.
    pub fn publish(&mut self, table: RoutingTable) {
        if table.generation < self.sender.borrow().table.generation {
            return;
        }
        let (view, states) = build(table, &self.home, &self.states);
        self.states = states;
        self.sender.send_replace(Arc::new(view));
    }

    /// Returns a receiver of the views.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.sender.subscribe()
    }
}

type States = HashMap<EndpointName, Arc<EndpointState>>;

fn build(table: RoutingTable, home: &str, known: &States) -> (View, States) {
    let mut states = Arena::new();
    let mut by_name = States::new();
    for (_, entry) in table.endpoints.iter() {
        let name = entry.row.name.clone();
        let state = known.get(&name).cloned().unwrap_or_default();
        states.push(Arc::clone(&state));
        by_name.insert(name, state);
    }
    let nowhere = hemlockhitch_model::Key::from_index(usize::MAX);
    let view = View {
        home: table.data_centre(home).unwrap_or(nowhere),
        table,
        states,
    };
    (view, by_name)
}
