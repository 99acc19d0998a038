//! Selection of members: to call, to gossip about, to watch the store and to own
//! buckets.

use super::{Health, Member, MemberState, MemberTable, NodeId, Status};
use crate::hash::{combine, hash_text, rendezvous};

impl MemberTable {
    /// Selects up to `count` entries for a digest to `peer`: first the entry of
    /// `peer`, which it may have to refute, then those with the most pending sends,
    /// then a random sample.
    pub(crate) fn sample(&mut self, peer: NodeId, count: usize) -> Vec<(NodeId, Status)> {
        let mut candidates: Vec<(u8, u32, NodeId)> = self
            .rows
            .iter()
            .filter(|(id, row)| **id != self.own_id && row.should_gossip(**id == peer))
            .map(|(id, row)| {
                let priority = if *id == peer {
                    u8::MAX
                } else {
                    row.pending_sends
                };
                (priority, fastrand::u32(..), *id)
            })
            .collect();
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        candidates.truncate(count);
        candidates
            .into_iter()
            .filter_map(|(_, _, id)| self.record_send(id).map(|status| (id, status)))
            .collect()
    }

    fn record_send(&mut self, id: NodeId) -> Option<Status> {
        let row = self.rows.get_mut(&id)?;
        row.pending_sends = row.pending_sends.saturating_sub(1);
        row.member.status
    }

    /// Selects up to `count` random members to call.
    pub(crate) fn random_targets(&self, count: usize) -> Vec<(NodeId, String)> {
        let mut ids = self.callable();
        fastrand::shuffle(&mut ids);
        ids.into_iter()
            .take(count)
            .filter_map(|id| self.get(id))
            .map(|member| (member.id(), member.identity.address.clone()))
            .collect()
    }

    /// Returns the members that may be called: live ones, and those known only from
    /// the VM list.
    pub(crate) fn callable(&self) -> Vec<NodeId> {
        self.rows
            .iter()
            .filter(|(id, row)| **id != self.own_id && row.member.is_callable())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Selects a random dead member that is still in the VM list.
    pub(crate) fn random_dead(&self) -> Option<NodeId> {
        let dead: Vec<NodeId> = self
            .rows
            .iter()
            .filter(|(_, row)| row.member.is_listed_but_dead())
            .map(|(id, _)| *id)
            .collect();
        fastrand::choice(dead)
    }

    /// Selects up to `count` random live members with a configuration older than
    /// `generation`.
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

    /// Returns whether this node is one of the `watchers` nodes of its data centre
    /// that follow the store, by rendezvous hashing.
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

    /// Returns the highest configuration generation among the live members.
    pub(crate) fn newest_generation(&self) -> u64 {
        self.iter()
            .filter(|member| member.is_live())
            .filter_map(|member| member.status)
            .map(|status| status.generation)
            .max()
            .unwrap_or_default()
    }

    /// Returns the member that should own the bucket with the hash `key`.
    pub(crate) fn desired_owner(&self, key: u64) -> Option<NodeId> {
        let candidates = self.rows.iter().filter(|(_, row)| row.member.may_own());
        rendezvous(key, candidates.map(|(id, _)| *id), |id| id.0)
    }
}

impl Member {
    /// Returns whether the node is dead but still in the VM list and has not left.
    pub(super) fn is_listed_but_dead(&self) -> bool {
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
