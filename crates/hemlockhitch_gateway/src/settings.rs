//! Gateway settings.

use std::net::IpAddr;

use hemlockhitch_model::{DataCentreName, NodeName, hash_bytes};
use hemlockhitch_routing::cascade::DEFAULT_MODEL_PRICE;
use hemlockhitch_routing::limits::{PauseSettings, RetryBudgetSettings};
use hemlockhitch_routing::source::FollowableNode;

/// Settings of a node's gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The node's name.
    pub node: NodeName,
    /// The data centre of the node.
    pub data_centre: DataCentreName,
    /// Address from which the node connects to endpoints; `None` if the operating system
    /// chooses it.
    pub source_address: Option<IpAddr>,
    /// Capacity for work on behalf of other nodes, compared with theirs: the smaller of
    /// its link in megabits per second and its processor in thousandths of a core.
    pub peer_capacity: u32,
    /// Maximum age of the configuration for requests with an API key, in milliseconds.
    pub max_configuration_age_ms: u64,
    /// Maximum age of the configuration by which requests are denied for an unknown route or
    /// API key, in milliseconds.
    pub max_denial_age_ms: u64,
    /// How long a watch of the store waits, in milliseconds.
    pub watch_ms: u64,
    /// How long a feed call to a peer waits, in milliseconds.
    pub peer_watch_ms: u64,
    /// Retry budget of all nodes.
    pub retry_budget: RetryBudgetSettings,
    /// Factor on the rate limit of a cold endpoint, for all nodes together.
    pub cold_factor: f64,
    /// Requests per second that all nodes together may send to a cold endpoint in
    /// addition.
    pub cold_allowance: f64,
    /// Share of a service's requests, from 0 to 1, that a bad version may get during its
    /// roll-out.
    pub exposure_share: f64,
    /// How long a prompt part stays in an endpoint's cache, in milliseconds.
    pub prompt_cache_ttl_ms: u64,
    /// How long a session stays on its version after a request, in milliseconds.
    pub session_ttl_ms: u64,
    /// How long an endpoint that was deleted during an outage of the store is kept after
    /// the store's return, in milliseconds.
    pub deletion_grace_ms: u64,
    /// How long a starting node waits before it lists the other nodes, in milliseconds:
    /// at the first start of a fleet, until they have registered.
    pub registration_wait_ms: u64,
    /// Longest pause that an endpoint may ask this node for, in milliseconds.
    pub max_endpoint_pause_ms: u64,
    /// Maximum number of probes of work times per second; 0 for none.
    pub probes_per_s: f64,
    /// Maximum number of requests in flight.
    pub max_in_flight: usize,
    /// Bytes that the node may hold for requests and answers; `None` sets no limit.
    pub memory_limit_bytes: Option<u64>,
    /// Whether the capacity of services is divided fairly among organisations.
    pub shares: bool,
    /// Price of a response of the largest model, as a ratio of the worth of a good response.
    pub model_price: f64,
}

impl GatewaySettings {
    /// Creates the settings of a node with defaults for everything else.
    #[must_use]
    pub fn new(node: impl Into<NodeName>, data_centre: impl Into<DataCentreName>) -> Self {
        Self {
            node: node.into(),
            data_centre: data_centre.into(),
            retry_budget: RetryBudgetSettings {
                retries_per_request: 0.2,
                shared_retries: 20.0,
                window_ms: 10_000,
            },
            source_address: None,
            peer_capacity: 1_000,
            max_configuration_age_ms: 4_850,
            max_denial_age_ms: 4_850,
            watch_ms: 400,
            peer_watch_ms: 500,
            cold_factor: 1.0,
            cold_allowance: 0.0,
            exposure_share: 0.15,
            prompt_cache_ttl_ms: 10_000,
            session_ttl_ms: 5_000,
            deletion_grace_ms: 2_200,
            registration_wait_ms: 0,
            max_endpoint_pause_ms: 60_000,
            probes_per_s: 0.0,
            max_in_flight: 1_000,
            memory_limit_bytes: None,
            shares: false,
            model_price: DEFAULT_MODEL_PRICE,
        }
    }

    /// Returns the settings of the pauses that endpoints ask for.
    pub(crate) fn pauses(&self) -> PauseSettings {
        PauseSettings {
            node_hash: hash_bytes(self.node.as_str()),
            max_pause_ms: self.max_endpoint_pause_ms,
        }
    }

    /// Returns this node as other nodes see it when they select the node to follow.
    pub(crate) fn followable(&self) -> FollowableNode<'_> {
        FollowableNode {
            name: self.node.as_str(),
            address: "",
            data_centre: self.data_centre.as_str(),
            capacity: self.peer_capacity,
        }
    }

    /// Sets the address from which the node connects to endpoints.
    #[must_use]
    pub fn source_address(mut self, source_address: Option<IpAddr>) -> Self {
        self.source_address = source_address;
        self
    }

    /// Sets the capacity for work on behalf of other nodes, compared with theirs: the
    /// smaller of its link in megabits per second and its processor in thousandths of a
    /// core.
    #[must_use]
    pub fn peer_capacity(mut self, peer_capacity: u32) -> Self {
        self.peer_capacity = peer_capacity;
        self
    }

    /// Sets the maximum age of the configuration for requests with an API key, in
    /// milliseconds.
    #[must_use]
    pub fn max_configuration_age_ms(mut self, max_configuration_age_ms: u64) -> Self {
        self.max_configuration_age_ms = max_configuration_age_ms;
        self
    }

    /// Sets the maximum age of the configuration by which requests are denied for an unknown
    /// route or API key, in milliseconds.
    #[must_use]
    pub fn max_denial_age_ms(mut self, max_denial_age_ms: u64) -> Self {
        self.max_denial_age_ms = max_denial_age_ms;
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
    pub fn retry_budget(mut self, retry_budget: RetryBudgetSettings) -> Self {
        self.retry_budget = retry_budget;
        self
    }

    /// Sets the factor on the rate limit of a cold endpoint, for all nodes together.
    #[must_use]
    pub fn cold_factor(mut self, cold_factor: f64) -> Self {
        self.cold_factor = cold_factor;
        self
    }

    /// Sets the requests per second that all nodes together may send to a cold endpoint
    /// in addition.
    #[must_use]
    pub fn cold_allowance(mut self, cold_allowance: f64) -> Self {
        self.cold_allowance = cold_allowance;
        self
    }

    /// Sets the share of a service's requests, from 0 to 1, that a bad version may get
    /// during its roll-out.
    #[must_use]
    pub fn exposure_share(mut self, exposure_share: f64) -> Self {
        self.exposure_share = exposure_share;
        self
    }

    /// Sets how long a prompt part stays in an endpoint's cache, in milliseconds.
    #[must_use]
    pub fn prompt_cache_ttl_ms(mut self, prompt_cache_ttl_ms: u64) -> Self {
        self.prompt_cache_ttl_ms = prompt_cache_ttl_ms;
        self
    }

    /// Sets how long a session stays on its version after a request, in milliseconds.
    #[must_use]
    pub fn session_ttl_ms(mut self, session_ttl_ms: u64) -> Self {
        self.session_ttl_ms = session_ttl_ms;
        self
    }

    /// Sets how long an endpoint that was deleted during an outage of the store is kept
    /// after the store's return, in milliseconds.
    #[must_use]
    pub fn deletion_grace_ms(mut self, deletion_grace_ms: u64) -> Self {
        self.deletion_grace_ms = deletion_grace_ms;
        self
    }

    /// Sets how long a starting node waits before it lists the other nodes, in
    /// milliseconds.
    #[must_use]
    pub fn registration_wait_ms(mut self, registration_wait_ms: u64) -> Self {
        self.registration_wait_ms = registration_wait_ms;
        self
    }

    /// Sets the longest pause that an endpoint may ask this node for, in milliseconds.
    #[must_use]
    pub fn max_endpoint_pause_ms(mut self, max_endpoint_pause_ms: u64) -> Self {
        self.max_endpoint_pause_ms = max_endpoint_pause_ms;
        self
    }

    /// Sets the maximum number of probes of work times per second; 0 for none.
    #[must_use]
    pub fn probes_per_s(mut self, probes_per_s: f64) -> Self {
        self.probes_per_s = probes_per_s;
        self
    }

    /// Sets the maximum number of requests in flight.
    #[must_use]
    pub fn max_in_flight(mut self, max_in_flight: usize) -> Self {
        self.max_in_flight = max_in_flight;
        self
    }

    /// Sets how many bytes the node may hold for requests and answers.
    #[must_use]
    pub fn memory_limit_bytes(mut self, memory_limit_bytes: Option<u64>) -> Self {
        self.memory_limit_bytes = memory_limit_bytes;
        self
    }

    /// Sets whether the capacity of services is divided fairly among organisations.
    #[must_use]
    pub fn shares(mut self, shares: bool) -> Self {
        self.shares = shares;
        self
    }

    /// Sets the price of a response of the largest model, as a ratio of the worth of a good
    /// response.
    #[must_use]
    pub fn model_price(mut self, model_price: f64) -> Self {
        self.model_price = model_price;
        self
    }
}
