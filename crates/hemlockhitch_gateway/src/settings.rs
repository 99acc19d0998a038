//! Settings of the gateway.

use hemlockhitch_model::{DataCentreName, NodeName};
use hemlockhitch_routing::allowance::RepeatSettings;

/// Settings of the gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The node's name.
    pub node: NodeName,
    /// The data centre that the node stands in.
    pub data_centre: DataCentreName,
    /// How much work for other nodes this one bears, beside theirs: the smaller of its
    /// link in megabits a second and its processor in thousandths of a core.
    pub bearing: u32,
    /// How old the configuration may be for a request with an API key, in
    /// milliseconds.
    pub fresh_ms: u64,
    /// How long a watch of the store waits, in milliseconds.
    pub watch_ms: u64,
    /// How long a call waits at a node that is followed, in milliseconds.
    pub peer_watch_ms: u64,
    /// The budget of repeats of all nodes.
    pub repeats: RepeatSettings,
    /// By what factor a cold endpoint's rate may be passed by all nodes together.
    pub cold_factor: f64,
    /// Requests a second that a cold endpoint bears besides.
    pub cold_allowance: f64,
    /// How long a prompt part stays in an endpoint's cache, in milliseconds.
    pub part_kept_ms: u64,
    /// How long a session keeps its version after a request, in milliseconds.
    pub session_ms: u64,
    /// How long an endpoint that vanished during an outage of the store is kept
    /// after its return, in milliseconds.
    pub vanished_ms: u64,
    /// The most requests in hand at once.
    pub in_flight: usize,
}
