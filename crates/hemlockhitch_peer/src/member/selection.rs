//! Choices among the members: whom to call, whom to tell of, who should own.

use super::{Health, Member, MemberState, MemberTable, NodeId, Status};
use crate::hash::{combine, hash_text, rendezvous};

impl MemberTable {
    /// Chooses entries for one message: first those that `peer` must refute,
    /// then news, then a random sample.
    pub(crate) fn sample(&mut self, peer: NodeId, count: usize) -> Vec<(NodeId, Status)> {
        let mut candidates: Vec<(u8, u32, NodeId)> = self
            .rows
            .iter()
            .filter(|(id, row)| **id != self.own_id && row.is_told(**id == peer))
            .map(|(id, row)| {
                let priority = if *id == peer { u8::MAX } else { row.news };
                (priority, fastrand::u32(..), *id)
            })
            .collect();
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        candidates.truncate(count);
        candidates
            .into_iter()
            .filter_map(|(_, _, id)| self.tell(id).map(|status| (id, status)))
            .collect()
    }

    fn tell(&mut self, id: NodeId) -> Option<Status> {
        let row = self.rows.get_mut(&id)?;
        row.news = row.news.saturating_sub(1);
        row.member.status
    }

    /// Chooses up to `count` members to call.
    pub(crate) fn targets(&self, count: usize) -> Vec<(NodeId, String)> {
        let mut ids = self.callable();
        fastrand::shuffle(&mut ids);
        ids.into_iter()
            .take(count)
            .filter_map(|id| self.get(id))
            .map(|member| (member.id(), member.identity.address.clone()))
            .collect()
    }

    /// Lists the members to call: live ones and those that only the VM list
    /// names.
    pub(crate) fn callable(&self) -> Vec<NodeId> {
        self.rows
            .iter()
            .filter(|(id, row)| **id != self.own_id && row.member.is_callable())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Chooses a dead member that the VM list still names.
    pub(crate) fn random_dead(&self) -> Option<NodeId> {
        let dead: Vec<NodeId> = self
            .rows
            .iter()
            .filter(|(_, row)| row.member.is_silent())
            .map(|(id, _)| *id)
            .collect();
        fastrand::choice(dead)
    }

    /// Chooses up to `count` live members that have an older generation.
    pub(crate) fn lagging(&self, generation: u64, count: usize) -> Vec<(NodeId, String)> {
        let mut lagging: Vec<&Member> = self
            .iter()
            .filter(|member| member.id() != self.own_id && member.is_live())
            .filter(|member| {
                member
                    .status
                    .is_some_and(|status| status.generation < generation)
            })
            .collect();
        fastrand::shuffle(&mut lagging);
        lagging
            .into_iter()
            .take(count)
            .map(|member| (member.id(), member.identity.address.clone()))
            .collect()
    }

    /// Returns whether this node is one of the `watchers` nodes of its data
    /// centre that follow the store.
    pub(crate) fn is_watcher(&self, watchers: usize) -> bool {
        let own = self.own();
        let key = hash_text(own.identity.data_centre.as_str());
        let own_weight = combine(key, self.own_id.0);
        let ahead = self
            .iter()
            .filter(|member| member.identity.data_centre == own.identity.data_centre)
            .filter(|member| member.may_own() && member.is_alive())
            .filter(|member| member.id() != self.own_id)
            .filter(|member| combine(key, member.id().0) > own_weight)
            .count();
        ahead < watchers
    }

    /// Returns the newest generation that a live member has in force.
    pub(crate) fn newest_generation(&self) -> u64 {
        self.iter()
            .filter(|member| member.is_live())
            .filter_map(|member| member.status)
            .map(|status| status.generation)
            .max()
            .unwrap_or_default()
    }

    /// Returns the member that should own what hashes to `key`.
    pub(crate) fn desired_owner(&self, key: u64) -> Option<NodeId> {
        let candidates = self.rows.iter().filter(|(_, row)| row.member.may_own());
        rendezvous(key, candidates.map(|(id, _)| *id), |id| id.0)
    }
}

impl Member {
    /// Whether the node fell silent while the VM list still names it.
    pub(super) fn is_silent(&self) -> bool {
        self.listed
            && self.status.is_some_and(|status| {
                status.health == Health::Dead && status.state != MemberState::Gone
            })
    }

    fn is_callable(&self) -> bool {
        match self.status {
            None => self.listed,
            Some(_) => self.is_live(),
        }
    }
}
