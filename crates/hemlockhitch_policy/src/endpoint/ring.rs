//! A consistent hash ring.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{EndpointKey, hash_bytes, mix};

/// Points of each endpoint on the ring.
const POINTS: u64 = 64;

/// Endpoints on a ring, so that a prefix keeps its endpoints while others come
/// and go.
#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    points: Vec<Point>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    hash: u64,
    key: EndpointKey,
}

impl Ring {
    pub(super) fn new(table: &RoutingTable, members: &[EndpointKey]) -> Self {
        let mut points = Vec::new();
        for key in members {
            let name_hash = hash_bytes(table.endpoints[*key].row.name.as_str());
            points.extend((0..POINTS).map(|point| Point {
                hash: mix(name_hash, point),
                key: *key,
            }));
        }
        points.sort_unstable();
        Self { points }
    }

    /// Walks the ring from a hash; an endpoint may come more than once.
    pub(super) fn from(&self, hash: u64) -> impl Iterator<Item = EndpointKey> {
        let start = self.points.partition_point(|point| point.hash < hash);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.key)
    }
}

/// Draws endpoints at random, with repetition.
pub(super) fn draw_from(members: &[EndpointKey], draw: u64) -> impl Iterator<Item = EndpointKey> {
    let count = members.len().max(1) as u64;
    (0..).map_while(move |step| {
        let index = usize::try_from(mix(draw, step) % count).ok()?;
        members.get(index).copied()
    })
}
