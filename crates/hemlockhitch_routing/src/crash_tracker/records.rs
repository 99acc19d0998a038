//! What a node makes of the records of blocks in the store.

use hemlockhitch_model::Now;

use super::suspect::{Evidence, Refutation, Suspect};
use super::suspicion::{Origin, Suspicion};
use super::verdict::Verdict;
use super::{CrashTracker, PastMs, past, retention_ms, signed};

/// A block that the store records.
#[derive(Clone, Debug)]
pub(super) struct RecordedBlock {
    pub(super) verdict: Verdict,
    pub(super) suspicion: Suspicion,
    expires_mono_ms: PastMs,
}

impl CrashTracker {
    /// Takes the record of a block in the store as a suspicion. A record that was refuted
    /// has no effect.
    pub fn add_record(&mut self, suspect: Suspect, evidence: &Evidence, now: Now) {
        if self.is_refuted(suspect) || self.recorded.contains_key(&suspect) {
            return;
        }
        let crashes = evidence.crashes.iter();
        let ages = crashes
            .clone()
            .filter(|crash| crash.fact.suspect == suspect);
        let age_ms = ages.map(|crash| crash.age_ms).min().unwrap_or_default();
        let expires_mono_ms = past(now) + signed(retention_ms(suspect)) - signed(age_ms);
        let mut alternatives: Vec<Suspect> = crashes.map(|crash| crash.fact.suspect).collect();
        alternatives.sort_unstable();
        alternatives.dedup();
        alternatives.retain(|alternative| *alternative != suspect);
        let block = RecordedBlock {
            verdict: Verdict {
                suspect,
                alternatives,
                crashes: evidence.crashes.len(),
            },
            suspicion: Suspicion {
                origin: Origin::Record,
                since_mono_ms: past(now),
                tested_mono_ms: None,
            },
            expires_mono_ms,
        };
        self.recorded.insert(suspect, block);
        self.judge(now);
    }

    /// Drops the suspicion of a record that the store no longer holds.
    pub fn remove_record(&mut self, suspect: Suspect, now: Now) {
        if self.recorded.remove(&suspect).is_some() {
            self.judge(now);
        }
    }

    /// Returns the suspects whose records have an effect.
    pub fn recorded(&self) -> impl Iterator<Item = Suspect> {
        self.recorded.keys().copied()
    }

    /// Returns whether a suspect was served, so that a record of it in the store has no
    /// effect any more.
    #[must_use]
    pub fn is_refuted(&self, suspect: Suspect) -> bool {
        self.refutations.contains_key(&Refutation::Served(suspect)) && !self.is_verdict(suspect)
    }

    /// Returns whether a suspect is blocked.
    #[must_use]
    pub fn is_verdict(&self, suspect: Suspect) -> bool {
        let mut verdicts = self.verdicts.iter();
        verdicts.any(|verdict| verdict.suspect == suspect)
    }

    /// Returns whether this node observed itself that a suspect was served.
    #[must_use]
    pub fn has_own_refutation(&self, suspect: Suspect) -> bool {
        let refutation = self.refutations.get(&Refutation::Served(suspect));
        refutation.is_some_and(|observed| observed.is_own)
    }

    /// Drops records that have expired, and blocks what is recorded and has crashed an
    /// endpoint since.
    pub(super) fn judge_records(&mut self, now: Now) {
        self.recorded
            .retain(|_, block| past(now) < block.expires_mono_ms);
        for (suspect, block) in &self.recorded {
            let has_crashed = self.crashes.keys().any(|crash| crash.suspect == *suspect);
            let is_known = self.verdicts.iter().any(|known| known.suspect == *suspect);
            if has_crashed && !is_known {
                self.verdicts.push(block.verdict.clone());
            }
        }
    }
}
