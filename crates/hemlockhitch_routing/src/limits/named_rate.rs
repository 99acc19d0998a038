//! Request rates that endpoints in need take from all nodes together.
//!
//! It is made for hundreds of nodes before an endpoint that takes one or two requests per
//! second: what each of them may send is a small part of a request.

use hemlockhitch_model::mix;

use super::{NodeShares, Stated};

/// Fraction of a named rate that is used. The rest is a margin for requests that arrive
/// closer together than they were sent.
const USABLE_RATIO: f64 = 0.9;

/// Smallest rate that a node is given while others get none, in requests per second. It
/// bounds how many nodes may send at the same moment.
const MIN_NODE_RATE_PER_S: f64 = 0.5;

/// Rate at which an endpoint that takes nothing is asked whether it does again, in requests
/// per second.
const MIN_RATE_PER_S: f64 = 0.1;

/// Age of a statement from which the next nodes in another order may send, in milliseconds:
/// those before them may be gone.
const ROTATION_MS: u64 = 10_000;

/// A rate that an instance takes from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedRate {
    /// Requests per second from all nodes together.
    pub per_s: f64,
    /// Hash of the endpoint's instance.
    pub instance_hash: u64,
    /// Time since a node heard it from the endpoint, in milliseconds.
    pub age_ms: u64,
}

impl From<Stated> for NamedRate {
    fn from(stated: Stated) -> Self {
        Self {
            per_s: stated.value,
            instance_hash: stated.subject_hash,
            age_ms: stated.age_ms,
        }
    }
}

impl NamedRate {
    /// Returns the time between two requests of this node to the endpoint, in milliseconds;
    /// `None` if this node sends it nothing.
    ///
    /// If the rate is too small for all nodes, it goes to the few that come first in an
    /// order that every node computes.
    #[must_use]
    pub fn node_interval_ms(&self, nodes: NodeShares<'_>) -> Option<u64> {
        let usable_per_s = self.per_s.max(MIN_RATE_PER_S) * USABLE_RATIO;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let senders = ((usable_per_s / MIN_NODE_RATE_PER_S) as usize).clamp(1, nodes.count());
        let order_hash = mix(self.instance_hash, self.age_ms / ROTATION_MS);
        if nodes.rank(order_hash) >= senders {
            return None;
        }
        #[allow(clippy::cast_precision_loss)]
        let interval_ms = 1_000.0 * senders as f64 / usable_per_s;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let interval_ms = interval_ms.ceil() as u64;
        Some(interval_ms)
    }
}
