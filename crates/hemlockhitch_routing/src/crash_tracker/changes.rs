//! What is reported about blocked suspects.

use std::collections::BTreeSet;

use hemlockhitch_model::Now;

use super::suspect::{Crash, Evidence, Suspect};
use super::{CrashTracker, UNSHARED, Verdict};
use crate::gossip::SharedFacts;

/// A verdict that is reported for the first time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewVerdict {
    /// The verdict.
    pub verdict: Verdict,
    /// Whether this node observed one of the crashes itself.
    pub has_own_crash: bool,
}

/// How the blocked suspects changed since the last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerdictChanges {
    /// Newly blocked suspects.
    pub blocked: Vec<NewVerdict>,
    /// Suspects that are newly held back, and tested by few requests.
    pub suspected: Vec<Suspect>,
    /// Suspects that are no longer blocked.
    pub released: Vec<Suspect>,
}

impl CrashTracker {
    /// Returns how the blocked suspects changed since the last call.
    pub fn take_changes(&mut self) -> VerdictChanges {
        let current: BTreeSet<Suspect> = self
            .verdicts
            .iter()
            .map(|verdict| verdict.suspect)
            .collect();
        let newly = self.verdicts.iter();
        let newly = newly.filter(|verdict| !self.reported.contains(&verdict.suspect));
        let blocked = newly.map(|verdict| NewVerdict {
            verdict: verdict.clone(),
            has_own_crash: self.has_own_crash(verdict.suspect),
        });
        let suspected: BTreeSet<Suspect> = self
            .held
            .keys()
            .chain(self.recorded.keys())
            .copied()
            .collect();
        let new_suspicions = suspected.difference(&self.reported_suspicions).copied();
        let changes = VerdictChanges {
            suspected: new_suspicions
                .filter(|suspect| !current.contains(suspect))
                .collect(),
            blocked: blocked.collect(),
            released: self.reported.difference(&current).copied().collect(),
        };
        self.reported = current;
        self.reported_suspicions = suspected;
        changes
    }

    /// Returns the crashes on which a verdict rests.
    #[must_use]
    pub fn evidence_for(&self, verdict: &Verdict, now: Now) -> Evidence {
        let is_part_of = |crash: &Crash| {
            crash.suspect == verdict.suspect || verdict.alternatives.contains(&crash.suspect)
        };
        let mut evidence = self.facts_since(0, now);
        evidence.crashes.retain(|crash| is_part_of(&crash.fact));
        evidence.refutations.clear();
        evidence
    }

    fn has_own_crash(&self, suspect: Suspect) -> bool {
        self.crashes
            .iter()
            .filter(|(_, observed)| observed.is_own && observed.sequence != UNSHARED)
            .any(|(crash, _)| crash.suspect == suspect)
    }
}
