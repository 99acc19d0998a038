//! A node's part of the rate that a cold endpoint bears.

use hemlockhitch_model::mix;

/// The part of the rate that is given out, so that requests which arrive closer
/// together than they were sent stay within it.
const USED_RATIO: f64 = 0.8;

/// The least that one node gets, in requests a second. Parts below it would only
/// hold on average, as nodes do not know when the others send.
const PART_PER_S: f64 = 2.0;

/// The rate that all nodes together may send to one cold endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ColdRate<'a> {
    /// The rate, in requests a second.
    pub all_per_s: f64,
    /// A hash of this node's name.
    pub own_hash: u64,
    /// Hashes of the names of all nodes that may be at work, this one included.
    pub node_hashes: &'a [u64],
}

impl ColdRate<'_> {
    /// Returns this node's part for one endpoint, in requests a second.
    ///
    /// If the rate is too small for all nodes, a few that every node finds by the
    /// same hashes share it, and the others get nothing.
    #[must_use]
    pub fn part_per_s(&self, endpoint_hash: u64) -> f64 {
        let given_per_s = self.all_per_s * USED_RATIO;
        #[allow(clippy::cast_precision_loss)]
        let nodes = self.node_hashes.len().max(1) as f64;
        if given_per_s / nodes >= PART_PER_S {
            return given_per_s / nodes;
        }
        let own_place = mix(self.own_hash, endpoint_hash);
        let before = self.node_hashes.iter();
        #[allow(clippy::cast_precision_loss)]
        let before = before
            .filter(|node_hash| mix(**node_hash, endpoint_hash) < own_place)
            .count() as f64;
        if (before + 1.0) * PART_PER_S <= given_per_s {
            PART_PER_S
        } else {
            0.0
        }
    }
}
