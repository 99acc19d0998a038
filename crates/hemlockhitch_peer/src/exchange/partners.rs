//! The peers that a node exchanges with at present.

use crate::member::{MemberTable, NodeId};

/// Peers that a node keeps connections to for exchanges.
const PARTNERS: usize = 12;

/// One partner is replaced in this many intervals, on average.
const REPLACE_INTERVALS: u32 = 10;

/// One interval in this many calls a dead member too, to find that it is back.
const DEAD_CALL_INTERVALS: u32 = 4;

/// A few random peers that change slowly, so that connections are used again
/// and their number does not grow with the fleet.
#[derive(Debug, Default)]
pub(super) struct Partners {
    ids: Vec<NodeId>,
}

impl Partners {
    /// Chooses the peers to call in one interval.
    pub(super) fn choose(&mut self, members: &MemberTable, count: usize) -> Vec<(NodeId, String)> {
        self.refresh(members);
        let mut chosen = self.ids.clone();
        fastrand::shuffle(&mut chosen);
        chosen.truncate(count);
        if fastrand::u32(..DEAD_CALL_INTERVALS) == 0 {
            chosen.extend(members.random_dead());
        }
        chosen
            .into_iter()
            .filter_map(|id| members.get(id))
            .map(|member| (member.id(), member.identity.address.clone()))
            .collect()
    }

    fn refresh(&mut self, members: &MemberTable) {
        let callable = members.callable();
        self.ids.retain(|id| callable.contains(id));
        if !self.ids.is_empty() && fastrand::u32(..REPLACE_INTERVALS) == 0 {
            let index = fastrand::usize(..self.ids.len());
            self.ids.swap_remove(index);
        }
        let mut others: Vec<NodeId> = callable
            .into_iter()
            .filter(|id| !self.ids.contains(id))
            .collect();
        fastrand::shuffle(&mut others);
        let missing = PARTNERS.saturating_sub(self.ids.len());
        self.ids.extend(others.into_iter().take(missing));
    }
}
