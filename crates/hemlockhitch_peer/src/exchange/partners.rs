//! The peers with which a node exchanges digests.

use crate::member::{MemberTable, NodeId};

/// Number of peers to which a node keeps connections for exchanges.
const PARTNER_COUNT: usize = 12;

/// Average number of intervals after which one partner is replaced.
const MEAN_REPLACE_INTERVALS: u32 = 10;

/// Average number of intervals between two calls to a dead member, which detect that
/// it is back.
const MEAN_DEAD_CALL_INTERVALS: u32 = 4;

/// A small random set of peers that changes slowly, so that connections are reused and
/// their number does not grow with the fleet.
#[derive(Debug, Default)]
pub(super) struct Partners {
    ids: Vec<NodeId>,
}

impl Partners {
    /// Selects the peers to call in one interval.
    pub(super) fn choose(&mut self, members: &MemberTable, count: usize) -> Vec<(NodeId, String)> {
        self.refresh(members);
        let mut chosen = self.ids.clone();
        fastrand::shuffle(&mut chosen);
        chosen.truncate(count);
        if fastrand::u32(..MEAN_DEAD_CALL_INTERVALS) == 0 {
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
        if !self.ids.is_empty() && fastrand::u32(..MEAN_REPLACE_INTERVALS) == 0 {
            let index = fastrand::usize(..self.ids.len());
            self.ids.swap_remove(index);
        }
        let mut others: Vec<NodeId> = callable
            .into_iter()
            .filter(|id| !self.ids.contains(id))
            .collect();
        fastrand::shuffle(&mut others);
        let missing = PARTNER_COUNT.saturating_sub(self.ids.len());
        self.ids.extend(others.into_iter().take(missing));
    }
}
