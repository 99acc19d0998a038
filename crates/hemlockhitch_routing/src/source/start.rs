//! What a starting node asks before the store.
//!
//! A store that returned from an older copy lists API keys that were withdrawn and endpoints
//! that left. The nodes that run know better, so a node that knows nothing asks some of them
//! first, also those ranked behind it.

use super::FollowableNode;

/// Number of nodes that are asked before the store.
const MAX_START_SOURCES: usize = 3;

/// How long a node asks others in place of the store, in milliseconds. A node that has
/// failed costs a call's timeout.
const START_HELP_MS: u64 = 500;

/// The nodes that a starting node has asked, by address.
#[derive(Clone, Debug, Default)]
pub(super) struct StartSources {
    asked: Vec<String>,
}

impl StartSources {
    /// Returns the node to ask before the store: one of the own data centre, two of others,
    /// then another of the own, each once. `since_due_ms` is the time since the store might
    /// have been asked.
    pub(super) fn next<'a>(
        &self,
        local: &[FollowableNode<'a>],
        hubs: &[FollowableNode<'a>],
        since_due_ms: u64,
    ) -> Option<FollowableNode<'a>> {
        if since_due_ms >= START_HELP_MS || self.asked.len() >= MAX_START_SOURCES {
            return None;
        }
        let first_local = local.iter().take(1);
        let others = hubs.iter().take(2).chain(local.iter().skip(1));
        let mut nodes = first_local.chain(others);
        nodes.find(|node| !self.has_asked(node.address)).copied()
    }

    /// Records that a node is asked.
    pub(super) fn record(&mut self, address: &str) {
        if !self.has_asked(address) {
            self.asked.push(address.to_owned());
        }
    }

    fn has_asked(&self, address: &str) -> bool {
        self.asked.iter().any(|asked| asked == address)
    }
}
