//! The member table and the rules for merging gossip into it.

use std::collections::HashMap;

use hemlockhitch_model::Now;
use hemlockhitch_ports::vm_list::Vm;

use super::row::{GOSSIP_REPEATS, Row};
use super::{Health, Identity, Member, MemberState, NodeId, Status};

/// All members that this node knows, including itself.
#[derive(Debug)]
pub(crate) struct MemberTable {
    pub(super) own_id: NodeId,
    pub(super) suspicion_ms: u64,
    pub(super) rows: HashMap<NodeId, Row>,
}

impl MemberTable {
    /// Creates a table that contains only this node.
    pub(crate) fn new(own: Identity, incarnation: u64, suspicion_ms: u64) -> Self {
        let own_id = NodeId::of(&own.name);
        let status = Status {
            incarnation,
            heartbeat: 0,
            state: MemberState::Joining,
            health: Health::Alive,
            generation: 0,
        };
        let member = Member {
            identity: own,
            status: Some(status),
            listed: false,
            leaving: false,
        };
        let mut row = Row::new(member);
        row.pending_sends = GOSSIP_REPEATS;
        Self {
            own_id,
            suspicion_ms,
            rows: HashMap::from([(own_id, row)]),
        }
    }

    /// Returns this node's own entry.
    pub(crate) fn own(&self) -> &Member {
        &self.rows[&self.own_id].member
    }

    /// Returns this node's own state.
    pub(crate) fn own_state(&self) -> MemberState {
        self.own()
            .status
            .map_or(MemberState::Joining, |status| status.state)
    }

    /// Returns the configuration generation that this node gossips as in force.
    pub(crate) fn own_generation(&self) -> u64 {
        self.own().status.map_or(0, |status| status.generation)
    }

    pub(crate) fn get(&self, id: NodeId) -> Option<&Member> {
        self.rows.get(&id).map(|row| &row.member)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().map(|row| &row.member)
    }

    /// Starts an exchange interval: increments the heartbeat, declares members dead
    /// whose suspicion timed out, and removes expired rows.
    pub(crate) fn tick(&mut self, now: Now) {
        self.update_own(|status| status.heartbeat += 1);
        self.expire_suspicions(now);
        self.rows.retain(|_, row| !row.is_expired(now));
    }

    pub(super) fn expire_suspicions(&mut self, now: Now) {
        for row in self.rows.values_mut() {
            row.expire_suspicion(self.suspicion_ms, now);
        }
    }

    /// Sets this node's state, which never returns to an earlier one.
    pub(crate) fn set_own_state(&mut self, state: MemberState) {
        self.update_own(|status| status.state = status.state.max(state));
        self.own_row().pending_sends = GOSSIP_REPEATS;
    }

    /// Sets the configuration generation that this node has in force.
    pub(crate) fn set_own_generation(&mut self, generation: u64) {
        self.update_own(|status| status.generation = status.generation.max(generation));
        self.own_row().pending_sends = GOSSIP_REPEATS;
    }

    /// Applies a new VM list.
    pub(crate) fn apply_vm_list(&mut self, vms: &[Vm]) {
        for row in self.rows.values_mut() {
            row.member.listed = false;
        }
        for vm in vms {
            let identity = Identity {
                name: vm.name.clone(),
                address: vm.peer_address.clone(),
                data_centre: vm.data_centre.clone(),
            };
            let row = self.row_of(&identity);
            if row.member.status.is_none() {
                row.member.identity = identity;
            }
            row.member.listed = true;
            row.member.leaving = vm.leaving;
        }
    }

    /// Merges a member with its identity; the identity is replaced only if the
    /// incarnation is not older than the known one.
    pub(crate) fn merge_member(&mut self, identity: Identity, status: Option<Status>, now: Now) {
        let id = NodeId::of(&identity.name);
        let incarnation = status.map_or(0, |status| status.incarnation);
        if id != self.own_id {
            let row = self.row_of(&identity);
            if incarnation >= row.incarnation() {
                row.member.identity = identity;
            }
        }
        if let Some(status) = status {
            self.merge(id, status, now);
        }
    }

    /// Merges the status of a member; returns whether the member is known.
    pub(crate) fn merge(&mut self, id: NodeId, update: Status, now: Now) -> bool {
        if id == self.own_id {
            self.refute(update);
            return true;
        }
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        row.merge(update, now);
        true
    }

    /// Records that a member could not be reached.
    pub(crate) fn suspect(&mut self, id: NodeId, now: Now) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        let Some(status) = row.member.status.as_mut() else {
            return;
        };
        if status.health == Health::Alive && status.state != MemberState::Gone {
            status.health = Health::Suspect;
            row.health_since_mono_ms = now.mono_ms;
            row.pending_sends = GOSSIP_REPEATS;
            tracing::info!(event = "HH0601", node = %row.member.identity.name, "member suspected");
        }
    }

    /// Raises the incarnation above that of an update about this node which reports
    /// a suspicion or death, or stems from an earlier run of the node.
    fn refute(&mut self, update: Status) {
        self.update_own(|own| {
            let refuted = update.incarnation == own.incarnation && update.health != Health::Alive;
            if refuted || update.incarnation > own.incarnation {
                own.incarnation = update.incarnation + 1;
            }
        });
    }

    fn update_own(&mut self, update: impl FnOnce(&mut Status)) {
        let row = self.own_row();
        if let Some(status) = row.member.status.as_mut() {
            let incarnation = status.incarnation;
            update(status);
            if status.incarnation != incarnation {
                row.pending_sends = GOSSIP_REPEATS;
            }
        }
    }

    fn own_row(&mut self) -> &mut Row {
        let own_id = self.own_id;
        self.rows
            .get_mut(&own_id)
            .expect("the table contains this node from its creation")
    }

    fn row_of(&mut self, identity: &Identity) -> &mut Row {
        let id = NodeId::of(&identity.name);
        self.rows.entry(id).or_insert_with(|| {
            Row::new(Member {
                identity: identity.clone(),
                status: None,
                listed: false,
                leaving: false,
            })
        })
    }
}
