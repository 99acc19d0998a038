//! Gateway settings.

use hemlockhitch_model::{DataCentreName, NodeName};
use hemlockhitch_routing::limits::RetryBudgetSettings;

/// Settings of a node's gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The node's name.
    pub node: NodeName,
    /// The data centre of the node.
    pub data_centre: DataCentreName,
    /// Capacity for work on behalf of other nodes, compared with theirs: the smaller of
    /// its link in megabits a second and its processor in thousandths of a core.
    pub bearing: u32,
    /// Maximum age of the configuration for requests with an API key, in milliseconds.
    pub fresh_ms: u64,
    /// How long a watch of the store waits, in milliseconds.
    pub watch_ms: u64,
    /// How long a feed call to a peer waits, in milliseconds.
    pub peer_watch_ms: u64,
    /// Retry budget of all nodes.
    pub repeats: RetryBudgetSettings,
    /// Factor of a cold endpoint's rate that all nodes together may send.
    pub cold_factor: f64,
    /// Requests a second that a cold endpoint can take in addition.
    pub cold_allowance: f64,
    /// How long a prompt part stays in an endpoint's cache, in milliseconds.
    pub part_kept_ms: u64,
    /// How long a session stays on its version after a request, in milliseconds.
    pub session_ms: u64,
    /// How long an endpoint that vanished during an outage of the store is kept after
    /// the store's return, in milliseconds.
    pub vanished_ms: u64,
    /// Maximum number of requests in flight.
    pub in_flight: usize,
}

impl GatewaySettings {
    /// Creates the settings of a node with defaults for everything else.
    #[must_use]
    pub fn new(node: impl Into<NodeName>, data_centre: impl Into<DataCentreName>) -> Self {
        Self {
            node: node.into(),
            data_centre: data_centre.into(),
            repeats: RetryBudgetSettings {
                retries_per_request: 0.2,
                shared_retries: 20.0,
                window_ms: 10_000,
            },
            bearing: 1_000,
            fresh_ms: 4_850,
            watch_ms: 400,
            peer_watch_ms: 500,
            cold_factor: 1.0,
            cold_allowance: 0.0,
            part_kept_ms: 10_000,
            session_ms: 5_000,
            vanished_ms: 2_200,
            in_flight: 1_000,
        }
    }

    /// Sets the capacity for work on behalf of other nodes, compared with theirs: the
    /// smaller of its link in megabits a second and its processor in thousandths of a
    /// core.
    #[must_use]
    pub fn bearing(mut self, bearing: u32) -> Self {
        self.bearing = bearing;
        self
    }

    /// Sets the maximum age of the configuration for requests with an API key, in
    /// milliseconds.
    #[must_use]
    pub fn fresh_ms(mut self, fresh_ms: u64) -> Self {
        self.fresh_ms = fresh_ms;
        self
    }

    /// Sets how long a watch of the store waits, in milliseconds.
    #[must_use]
    pub fn watch_ms(mut self, watch_ms: u64) -> Self {
        self.watch_ms = watch_ms;
        self
    }

    /// Sets how long a feed call to a peer waits, in milliseconds.
    #[must_use]
    pub fn peer_watch_ms(mut self, peer_watch_ms: u64) -> Self {
        self.peer_watch_ms = peer_watch_ms;
        self
    }

    /// Sets the retry budget of all nodes.
    #[must_use]
    pub fn repeats(mut self, repeats: RetryBudgetSettings) -> Self {
        self.repeats = repeats;
        self
    }

    /// Sets the factor of a cold endpoint's rate that all nodes together may send.
    #[must_use]
    pub fn cold_factor(mut self, cold_factor: f64) -> Self {
        self.cold_factor = cold_factor;
        self
    }

    /// Sets the requests a second that a cold endpoint can take in addition.
    #[must_use]
    pub fn cold_allowance(mut self, cold_allowance: f64) -> Self {
        self.cold_allowance = cold_allowance;
        self
    }

    /// Sets how long a prompt part stays in an endpoint's cache, in milliseconds.
    #[must_use]
    pub fn part_kept_ms(mut self, part_kept_ms: u64) -> Self {
        self.part_kept_ms = part_kept_ms;
        self
    }

    /// Sets how long a session stays on its version after a request, in milliseconds.
    #[must_use]
    pub fn session_ms(mut self, session_ms: u64) -> Self {
        self.session_ms = session_ms;
        self
    }

    /// Sets how long an endpoint that vanished during an outage of the store is kept
    /// after the store's return, in milliseconds.
    #[must_use]
    pub fn vanished_ms(mut self, vanished_ms: u64) -> Self {
        self.vanished_ms = vanished_ms;
        self
    }

    /// Sets the maximum number of requests in flight.
    #[must_use]
    pub fn in_flight(mut self, in_flight: usize) -> Self {
        self.in_flight = in_flight;
        self
    }
}
