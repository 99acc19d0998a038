//! Choice of the endpoint for a request.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{DataCentreKey, EndpointKey};

/// What a node knows of an endpoint's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    /// Requests of this node that run at the endpoint.
    pub own_in_flight: u32,
    /// Running and waiting requests by the last report.
    pub reported: u32,
    /// Age of the report in milliseconds.
    pub report_age_ms: u64,
    /// When the endpoint last failed a request of this node, on the monotonic
    /// clock in milliseconds.
    pub failed_mono_ms: Option<u64>,
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The data centre of the node.
    pub home: DataCentreKey,
    /// A hash of the prompt's first part, for prefix affinity.
    pub prefix_hash: u64,
    /// How long the work is expected to last, in milliseconds.
    pub expected_ms: u64,
}

/// How long an endpoint is avoided after a failure, in milliseconds.
pub const FAILURE_PENALTY_MS: u64 = 2_000;

/// Orders the candidate endpoints, best first; those that take no new work are
/// left out.
pub fn order_endpoints(
    table: &RoutingTable,
    candidates: &[EndpointKey],
    load: impl Fn(EndpointKey) -> EndpointLoad,
    placement: Placement,
    now: hemlockhitch_model::Now,
) -> Vec<EndpointKey> {
    let mut usable: Vec<EndpointKey> = candidates
        .iter()
        .copied()
        .filter(|key| table.accepts_work(*key, placement.expected_ms, now.unix_ms))
        .collect();
    usable.sort_by_key(|key| {
        let load = load(*key);
        let failed = load
            .failed_mono_ms
            .is_some_and(|at| now.mono_ms < at + FAILURE_PENALTY_MS);
        let away = table.endpoints[*key].data_centre != placement.home;
        (failed, load.own_in_flight, away)
    });
    usable
}
