//! Choice of the endpoint for a request.
//!
//! A prefix maps to two endpoints that probably hold it in their caches. They
//! come first while they have room; otherwise the less loaded of two others in
//! the node's data centre, then of two elsewhere.

mod load;
mod pool;
mod ring;
mod score;

pub use load::EndpointLoad;
pub use pool::EndpointPool;

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{DataCentreKey, EndpointKey, Now};

/// What a choice is made for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The data centre of the node.
    pub home: DataCentreKey,
    /// A hash of the prompt's first part, for prefix affinity; 0 for none.
    pub prefix_hash: u64,
    /// How long the work is expected to last, in milliseconds.
    pub expected_ms: u64,
}

/// How long an endpoint is avoided after a failure, in milliseconds.
pub const FAILURE_PENALTY_MS: u64 = 2_000;

/// Orders the candidate endpoints, best first; those that take no new work are
/// left out.
///
/// Looks at every candidate and at the node's own requests only. An
/// [`EndpointPool`] looks at a few, and at prefixes and reports too.
pub fn order_endpoints(
    table: &RoutingTable,
    candidates: &[EndpointKey],
    load: impl Fn(EndpointKey) -> EndpointLoad,
    placement: Placement,
    now: Now,
) -> Vec<EndpointKey> {
    let mut usable: Vec<EndpointKey> = candidates
        .iter()
        .copied()
        .filter(|key| table.accepts_work(*key, placement.expected_ms, now.unix_ms))
        .collect();
    usable.sort_by_key(|key| {
        let load = load(*key);
        let away = table.endpoints[*key].data_centre != placement.home;
        (load.has_just_failed(now), load.own_in_flight, away)
    });
    usable
}
