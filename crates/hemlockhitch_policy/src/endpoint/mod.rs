//! Selects the endpoint for a request.
//!
//! A consistent hash maps each prompt prefix to two endpoints that probably have
//! it in their prefix caches. They are preferred until they are saturated. Other
//! endpoints are chosen by the power of two choices, first in the node's own data
//! centre and then in the others.

mod load;
mod pool;
mod ring;
mod score;

pub use load::EndpointLoad;
pub use pool::EndpointPool;

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{DataCentreKey, EndpointKey, Now};

/// The properties of a request that affect endpoint selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Data centre of the node that routes the request.
    pub local_data_centre: DataCentreKey,
    /// Hash of the prompt prefix, for prefix affinity; 0 means no affinity.
    pub prefix_hash: u64,
    /// Expected duration of the request, in milliseconds. Endpoints with a
    /// planned stop before then are excluded.
    pub expected_ms: u64,
}

/// Time after a failure during which an endpoint ranks behind all others, in
/// milliseconds.
pub const FAILURE_COOLDOWN_MS: u64 = 2_000;

/// Orders the candidate endpoints, best first, without those that accept no new
/// work.
///
/// This is a linear scan that considers recent failures, the node's own requests
/// in flight and the data centre. An [`EndpointPool`] samples a few endpoints
/// instead, and also considers prefix affinity and load reports.
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
        let is_remote = table.endpoints[*key].data_centre != placement.local_data_centre;
        (load.failed_recently(now), load.own_in_flight, is_remote)
    });
    usable
}
