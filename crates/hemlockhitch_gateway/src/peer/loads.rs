//! What the nodes of a data centre have at its endpoints.

use std::collections::HashMap;

use hemlockhitch_model::Now;
use hemlockhitch_routing::fleet::Sent;

/// How long a node's word counts, in milliseconds: several of its calls.
const KEEP_MS: u64 = 1_500;

/// What nodes have at endpoints, by a hash of the endpoint's name.
pub(crate) type Loads = HashMap<u64, Sent>;

/// What each node that follows this one has at endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTable {
    by_node: HashMap<String, (Loads, u64)>,
}

impl LoadTable {
    /// Takes in what a node has.
    pub(crate) fn put(&mut self, node: &str, loads: Loads, now: Now) {
        self.by_node.insert(node.to_owned(), (loads, now.mono_ms));
    }

    /// Returns what all nodes but one have together.
    pub(crate) fn without(&self, node: &str, now: Now) -> Loads {
        let mut sum = Loads::new();
        for (name, (loads, told_mono_ms)) in &self.by_node {
            if name == node || now.mono_ms > told_mono_ms + KEEP_MS {
                continue;
            }
            for (endpoint, sent) in loads {
                let known = sum.entry(*endpoint).or_default();
                known.requests += sent.requests;
                known.unread_tokens += sent.unread_tokens;
            }
        }
        sum
    }
}
