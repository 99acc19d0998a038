//! Selection of the nodes with which a node exchanges facts.
//!
//! It is made for facts that every node of hundreds must know within a second, also while
//! the store is down and a part of the nodes is gone or cut off. A node sends what it
//! learns to a few others at once, and compares all that it knows with one of them at
//! intervals, which covers messages that were lost and nodes that were away.

use std::collections::HashMap;

use hemlockhitch_model::{Now, hash_bytes, mix};

use crate::source::FollowableNode;

/// Number of nodes that a node sends facts to, besides the two next to it in the order of
/// the hashes of their names.
const RANDOM_NEIGHBOURS: usize = 3;

/// Error of the time of a fact that came from another node, in milliseconds: each node
/// that passes it on adds the time on the way.
pub(crate) const TIME_ERROR_MS: u64 = 1_000;

/// How long a node that did not answer is passed over, in milliseconds.
const UNREACHABLE_COOLDOWN_MS: u64 = 3_000;

/// Facts that nodes share. Merging the same facts twice or in another order makes no
/// difference.
pub trait SharedFacts {
    /// A set of facts, with their ages.
    type Facts;

    /// Returns the number of facts that this node has learned so far, which grows with
    /// each one.
    fn sequence(&self) -> u64;

    /// Returns the facts that this node learned after a sequence number.
    fn facts_since(&self, sequence: u64, now: Now) -> Self::Facts;

    /// Returns a digest of the facts; equal if two nodes know the same ones.
    fn digest(&self) -> u64;

    /// Merges the facts that another node knows.
    fn merge(&mut self, facts: &Self::Facts, now: Now);
}

/// Selects the nodes to exchange facts with, and remembers which of them failed.
#[derive(Clone, Debug, Default)]
pub struct GossipPeers {
    passed_over_until_mono_ms: HashMap<String, u64>,
}

impl GossipPeers {
    /// Returns the nodes that this node sends new facts to. The next and the previous
    /// reachable one in the common order are among them, so that each node gets facts from
    /// two others at least.
    #[must_use]
    pub fn neighbours<'a>(
        &self,
        own_name: &str,
        nodes: impl Iterator<Item = FollowableNode<'a>>,
        now: Now,
    ) -> Vec<FollowableNode<'a>> {
        let own_hash = hash_bytes(own_name);
        let mut others: Vec<(u64, FollowableNode<'a>)> = nodes
            .filter(|node| node.name != own_name && self.is_reachable(node.address, now))
            .map(|node| (hash_bytes(node.name), node))
            .collect();
        if others.len() <= RANDOM_NEIGHBOURS + 2 {
            return others.into_iter().map(|(_, node)| node).collect();
        }
        others.sort_by_key(|(hash, _)| hash.wrapping_sub(own_hash));
        let previous = others.pop();
        let next = others.remove(0);
        others.sort_by_key(|(hash, _)| mix(own_hash, *hash));
        others.truncate(RANDOM_NEIGHBOURS);
        others.push(next);
        others.extend(previous);
        others.into_iter().map(|(_, node)| node).collect()
    }

    /// Returns the neighbour with which this node compares its facts now; a different one
    /// each time.
    #[must_use]
    pub fn partner<'a>(
        &self,
        own_name: &str,
        nodes: impl Iterator<Item = FollowableNode<'a>>,
        now: Now,
    ) -> Option<FollowableNode<'a>> {
        let mut neighbours = self.neighbours(own_name, nodes, now);
        if neighbours.is_empty() {
            return None;
        }
        let draw = mix(hash_bytes(own_name), now.mono_ms);
        #[allow(clippy::cast_possible_truncation)]
        let index = (draw % neighbours.len() as u64) as usize;
        Some(neighbours.swap_remove(index))
    }

    /// Records whether a node answered.
    pub fn record(&mut self, address: &str, has_answered: bool, now: Now) {
        self.passed_over_until_mono_ms
            .retain(|_, until_mono_ms| now.mono_ms < *until_mono_ms);
        if !has_answered {
            self.passed_over_until_mono_ms
                .insert(address.to_owned(), now.mono_ms + UNREACHABLE_COOLDOWN_MS);
        }
    }

    fn is_reachable(&self, address: &str, now: Now) -> bool {
        let until_mono_ms = self.passed_over_until_mono_ms.get(address);
        until_mono_ms.is_none_or(|until_mono_ms| now.mono_ms >= *until_mono_ms)
    }
}
