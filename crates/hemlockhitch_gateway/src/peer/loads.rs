//! Load that the nodes of a data centre put on its endpoints.

use std::collections::HashMap;

use hemlockhitch_model::Now;
use hemlockhitch_routing::fleet::Outstanding;

/// How long a reported load counts, in milliseconds: several calls of the reporting
/// node.
const LOAD_TTL_MS: u64 = 1_500;

/// Outstanding requests of nodes at endpoints, by a hash of the endpoint's name.
pub(crate) type EndpointLoads = HashMap<u64, Outstanding>;

/// Loads of each node that follows this one, with the monotonic time of the report in
/// milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTable {
    by_node: HashMap<String, (EndpointLoads, u64)>,
}

impl LoadTable {
    /// Replaces the loads of a node.
    pub(crate) fn set(&mut self, node: &str, loads: EndpointLoads, now: Now) {
        self.by_node.insert(node.to_owned(), (loads, now.mono_ms));
    }

    /// Returns the sum of the loads of all nodes but one.
    pub(crate) fn sum_except(&self, node: &str, now: Now) -> EndpointLoads {
        let mut sum = EndpointLoads::new();
        for (name, (loads, reported_mono_ms)) in &self.by_node {
            if name == node || now.mono_ms > reported_mono_ms + LOAD_TTL_MS {
                continue;
            }
            for (endpoint, outstanding) in loads {
                let total = sum.entry(*endpoint).or_default();
                total.requests += outstanding.requests;
                total.pending_prefill_tokens += outstanding.pending_prefill_tokens;
                let age_ms = now.mono_ms.saturating_sub(*reported_mono_ms);
                let pause_remaining_ms = outstanding.pause_remaining_ms.saturating_sub(age_ms);
                total.pause_remaining_ms = total.pause_remaining_ms.max(pause_remaining_ms);
            }
        }
        sum
    }
}
