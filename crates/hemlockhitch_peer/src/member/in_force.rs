//! Tracks which members have a configuration generation in force.

use hemlockhitch_model::{NodeName, Now};

use super::{MemberState, MemberTable};

/// Progress of a configuration generation over the members.
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
    /// A dead member in the VM list counts as waiting only if there is another one:
    /// both may be in a network partition whose nodes still reach each other.
    pub(crate) fn in_force(&mut self, generation: u64, now: Now) -> InForce {
        self.expire_suspicions(now);
        let other_group_possible = self
            .iter()
            .filter(|member| member.is_listed_but_dead())
            .count()
            > 1;
        let mut answer = InForce::default();
        for member in self.iter() {
            let Some(status) = member.status else {
                continue;
            };
            let name = member.identity.name.clone();
            let joining = status.state == MemberState::Joining;
            if member.is_live() && status.generation >= generation {
                answer.confirmed.push(name);
            } else if member.is_live() && !joining
                || member.is_listed_but_dead() && other_group_possible
            {
                answer.waiting.push(name);
            }
        }
        answer.confirmed.sort();
        answer.waiting.sort();
        answer.accepted = answer.waiting.is_empty();
        answer
    }
}
