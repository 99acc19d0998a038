//! A consistent hash ring and random sampling of endpoints.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{EndpointKey, hash_bytes, mix};

/// Virtual nodes of each endpoint on the ring.
const POINTS_PER_ENDPOINT: u64 = 64;

/// A consistent hash ring: a prefix stays mapped to its endpoints when other
/// endpoints are added or removed.
#[derive(Clone, Debug, Default)]
pub(super) struct HashRing {
    points: Vec<Point>,
}

/// A virtual node, ordered by its position on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    hash: u64,
    key: EndpointKey,
}

impl HashRing {
    pub(super) fn new(table: &RoutingTable, endpoints: &[EndpointKey]) -> Self {
        let mut points = Vec::new();
        for key in endpoints {
            let name_hash = hash_bytes(table.endpoints[*key].row.name.as_str());
            points.extend((0..POINTS_PER_ENDPOINT).map(|point| Point {
                hash: mix(name_hash, point),
                key: *key,
            }));
        }
        points.sort_unstable();
        Self { points }
    }

    /// Walks the ring once, starting at `hash`; an endpoint is returned once for
    /// each of its virtual nodes.
    pub(super) fn walk_from(&self, hash: u64) -> impl Iterator<Item = EndpointKey> {
        let start = self.points.partition_point(|point| point.hash < hash);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.key)
    }
}

/// Returns an endless random sample of `endpoints`, with replacement; empty if
/// there are none. The same `draw` gives the same sample.
pub(super) fn sample_endpoints(
    endpoints: &[EndpointKey],
    draw: u64,
) -> impl Iterator<Item = EndpointKey> {
    let count = endpoints.len().max(1) as u64;
    (0..).map_while(move |step| {
        let index = usize::try_from(mix(draw, step) % count).ok()?;
        endpoints.get(index).copied()
    })
}
