//! Which members have a generation of the configuration in force.

use hemlockhitch_model::{NodeName, Now};

use super::{MemberState, MemberTable};

/// Which live members have a generation in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Members that have it in force.
    pub confirmed: Vec<NodeName>,
    /// Members that are waited for.
    pub waiting: Vec<NodeName>,
    /// Whether nobody is waited for.
    pub accepted: bool,
}

impl MemberTable {
    /// Says which members have a generation in force and which are waited for.
    ///
    /// A dead member is waited for only when another listed member fell silent
    /// as well: both may be in a group that still hears itself.
    pub(crate) fn in_force(&mut self, generation: u64, now: Now) -> InForce {
        self.judge_suspicions(now);
        let group_may_live = self.iter().filter(|member| member.is_silent()).count() > 1;
        let mut answer = InForce::default();
        for member in self.iter() {
            let Some(status) = member.status else {
                continue;
            };
            let name = member.identity.name.clone();
            let joining = status.state == MemberState::Joining;
            if member.is_live() && status.generation >= generation {
                answer.confirmed.push(name);
            } else if member.is_live() && !joining || member.is_silent() && group_may_live {
                answer.waiting.push(name);
            }
        }
        answer.confirmed.sort();
        answer.waiting.sort();
        answer.accepted = answer.waiting.is_empty();
        answer
    }
}
