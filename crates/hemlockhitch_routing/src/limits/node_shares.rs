//! The division of a rate among the nodes.

use hemlockhitch_model::mix;

/// The nodes that a rate is divided among.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeShares<'a> {
    /// Hash of this node's name.
    pub own_node_hash: u64,
    /// Hashes of the names of all nodes that may be running, including this one.
    pub node_hashes: &'a [u64],
}

impl NodeShares<'_> {
    /// Returns the number of nodes; at least one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.node_hashes.len().max(1)
    }

    /// Returns this node's position among all, for the division of slots.
    #[must_use]
    pub fn slot_shares(&self) -> SlotShares {
        let preceding = self.node_hashes.iter();
        SlotShares {
            position: preceding
                .filter(|node_hash| **node_hash < self.own_node_hash)
                .count(),
            count: self.count(),
        }
    }

    /// Returns how many nodes precede this one when they are sorted by a hash of node and
    /// subject. Every node computes the same order.
    #[must_use]
    pub fn rank(&self, subject_hash: u64) -> usize {
        let own_order = mix(self.own_node_hash, subject_hash);
        let preceding = self.node_hashes.iter();
        preceding
            .filter(|node_hash| mix(**node_hash, subject_hash) < own_order)
            .count()
    }
}

/// The division of an endpoint's slots among the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotShares {
    position: usize,
    count: usize,
}

impl SlotShares {
    /// Returns this node's part of a number of slots that belong to a subject. The parts of
    /// all nodes add up to the number; which nodes get the remainder depends on the subject.
    #[must_use]
    pub fn slots(self, slots: u32, subject_hash: u64) -> u32 {
        let count = self.count as u64;
        let place = (self.position as u64 + subject_hash % count) % count;
        let has_remainder = place < u64::from(slots) % count;
        let share = u64::from(slots) / count + u64::from(has_remainder);
        u32::try_from(share).unwrap_or(u32::MAX)
    }
}
