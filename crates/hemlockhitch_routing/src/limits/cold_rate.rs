//! A node's share of the request rate of a cold endpoint.

use super::NodeShares;

/// Fraction of the rate limit that nodes use. The rest is a margin for requests that
/// arrive closer together than they were sent.
const USABLE_RATIO: f64 = 0.8;

/// Smallest rate that a node is given, in requests per second. Smaller shares would
/// enforce the limit only on average, because a node does not know when the others
/// send.
const MIN_NODE_RATE_PER_S: f64 = 2.0;

/// The rate limit of one cold endpoint, shared by all nodes.
#[derive(Clone, Copy, Debug)]
pub struct ColdRate<'a> {
    /// Limit for all nodes together, in requests per second.
    pub total_per_s: f64,
    /// The nodes that share it.
    pub nodes: NodeShares<'a>,
}

impl ColdRate<'_> {
    /// Returns this node's share of the limit for one endpoint, in requests per second.
    ///
    /// If the limit is too small for all nodes, it goes to the few that come first when
    /// the nodes are sorted by a hash of node and endpoint. Every node computes the
    /// same order; the others get zero.
    #[must_use]
    pub fn node_rate_per_s(&self, endpoint_hash: u64) -> f64 {
        let usable_per_s = self.total_per_s * USABLE_RATIO;
        #[allow(clippy::cast_precision_loss)]
        let node_count = self.nodes.count() as f64;
        if usable_per_s / node_count >= MIN_NODE_RATE_PER_S {
            return usable_per_s / node_count;
        }
        #[allow(clippy::cast_precision_loss)]
        let preceding = self.nodes.rank(endpoint_hash) as f64;
        if (preceding + 1.0) * MIN_NODE_RATE_PER_S <= usable_per_s {
            MIN_NODE_RATE_PER_S
        } else {
            0.0
        }
    }
}
