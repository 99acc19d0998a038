//! Tracks which members have a configuration generation in force.

use hemlockhitch_model::{NodeName, Now};

use super::{MemberState, MemberTable};

/// Progress of a configuration generation across the members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Live members that have the generation in force.
    pub confirmed: Vec<NodeName>,
    /// Members that have yet to confirm the generation.
    pub waiting: Vec<NodeName>,
    /// Whether `waiting` is empty.
    pub accepted: bool,
}

impl MemberTable {
    /// Returns which members have a generation in force and which have yet to
    /// confirm it.
    ///
    /// Dead members in the VM list count as waiting only if there are at least two:
    /// a network partition may separate them from this node while they still reach
    /// each other.
    pub(crate) fn in_force(&mut self, generation: u64, now: Now) -> InForce {
        self.expire_suspicions(now);
        let partition_possible = self
            .iter()
            .filter(|member| member.is_listed_but_dead())
            .count()
            > 1;
        let mut progress = InForce::default();
        for member in self.iter() {
            let Some(status) = member.status else {
                continue;
            };
            let name = member.identity.name.clone();
            let joining = status.state == MemberState::Joining;
            if member.is_live() && status.generation >= generation {
                progress.confirmed.push(name);
            } else if member.is_live() && !joining
                || member.is_listed_but_dead() && partition_possible
            {
                progress.waiting.push(name);
            }
        }
        progress.confirmed.sort();
        progress.waiting.sort();
        progress.accepted = progress.waiting.is_empty();
        progress
    }
}
