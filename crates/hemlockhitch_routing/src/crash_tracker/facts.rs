//! Facts that nodes share about crashes, and how those of other nodes are merged.

use std::collections::BTreeMap;

use hemlockhitch_model::{Now, mix};

use super::suspect::{Aged, Crash, Evidence, Refutation};
use super::{CrashTracker, Observed, PastMs, UNSHARED, is_expired, past, signed, time_error_ms};
use crate::gossip::SharedFacts;

/// How long before a crash a suspect must have been served to be refuted, in milliseconds:
/// half of what other nodes allow for the error of the time, so that all agree.
const SERVED_BEFORE_MS: PastMs = 500;

impl CrashTracker {
    /// Returns whether a refutation that this node knows shows that a crash does not count.
    pub(super) fn is_known_refuted(&self, crash: &Crash, at_mono_ms: PastMs) -> bool {
        let refutations = [
            Refutation::Served(crash.suspect),
            Refutation::Alive(crash.instance_hash),
        ];
        refutations.iter().any(|refutation| {
            let known = self.refutations.get(refutation);
            known.is_some_and(|known| at_mono_ms <= known.mono_ms + time_error_ms())
        })
    }

    fn merge_crash(&mut self, crash: Crash, at_mono_ms: PastMs, now: Now) {
        if let Some(known) = self.crashes.get_mut(&crash) {
            // The shorter way here gives the better time; a record in the store gives none.
            if (at_mono_ms..=at_mono_ms + time_error_ms()).contains(&known.mono_ms) {
                known.mono_ms = at_mono_ms;
            }
            return;
        }
        if self.is_known_refuted(&crash, at_mono_ms) || is_expired(&crash, at_mono_ms, now) {
            return;
        }
        let served_mono_ms = self.served_mono_ms.get(&crash.suspect).copied();
        let is_recent = |served: &PastMs| *served + SERVED_BEFORE_MS >= at_mono_ms;
        if let Some(served_mono_ms) = served_mono_ms.filter(is_recent) {
            // The node that reports the crash does not know.
            // Other nodes pass over a refutation that is hardly later than one they know.
            let refuted_mono_ms = served_mono_ms.max(at_mono_ms);
            let observed = self.observe(refuted_mono_ms, true);
            let refutation = Refutation::Served(crash.suspect);
            self.refutations.insert(refutation, observed);
            // As other nodes will, so that all keep the same crashes.
            self.remove_refuted(refutation, refuted_mono_ms + time_error_ms());
            return;
        }
        let observed = self.observe(at_mono_ms, false);
        self.crashes.insert(crash, observed);
    }

    /// Records that what this node observed refutes crashes; returns whether there are any.
    pub(super) fn refute(&mut self, refutation: Refutation, at_mono_ms: PastMs) -> bool {
        let is_refuting = self.remove_refuted(refutation, at_mono_ms);
        if is_refuting {
            let observed = self.observe(at_mono_ms, true);
            self.refutations.insert(refutation, observed);
        }
        is_refuting
    }

    /// Applies a refutation by another node, unless a later one is known.
    fn merge_refutation(&mut self, refutation: Refutation, at_mono_ms: PastMs) {
        let known = self.refutations.get(&refutation);
        if known.is_some_and(|known| at_mono_ms <= known.mono_ms + time_error_ms()) {
            return;
        }
        self.remove_refuted(refutation, at_mono_ms + time_error_ms());
        let observed = self.observe(at_mono_ms, false);
        self.refutations.insert(refutation, observed);
    }

    pub(super) fn remove_refuted(&mut self, refutation: Refutation, until_mono_ms: PastMs) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash, observed| {
            !refutation.refutes(crash) || observed.mono_ms > until_mono_ms
        });
        let refutes_record = match refutation {
            Refutation::Served(suspect) => self.recorded.remove(&suspect).is_some(),
            Refutation::Alive(_) => false,
        };
        self.crashes.len() < before || refutes_record
    }

    fn observe(&mut self, mono_ms: PastMs, is_own: bool) -> Observed {
        self.sequence += 1;
        Observed {
            mono_ms,
            sequence: self.sequence,
            is_own,
        }
    }
}

impl SharedFacts for CrashTracker {
    type Facts = Evidence;

    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn facts_since(&self, sequence: u64, now: Now) -> Evidence {
        Evidence {
            crashes: aged_since(&self.crashes, sequence, now),
            refutations: aged_since(&self.refutations, sequence, now),
        }
    }

    fn digest(&self) -> u64 {
        let shared = self.crashes.iter();
        let shared = shared.filter(|(_, observed)| observed.sequence != UNSHARED);
        let known = shared.fold(0, |digest, (crash, _)| digest ^ crash.hash());
        // Nodes that know a refutation of a record hold other facts than this one.
        let recorded = self.recorded.keys();
        recorded.fold(known, |digest, suspect| digest ^ mix(suspect.hash(), 3))
    }

    fn merge(&mut self, evidence: &Evidence, now: Now) {
        let before = self.sequence;
        for refutation in &evidence.refutations {
            let at_mono_ms = past(now) - signed(refutation.age_ms);
            self.merge_refutation(refutation.fact, at_mono_ms);
        }
        for crash in &evidence.crashes {
            self.merge_crash(crash.fact, past(now) - signed(crash.age_ms), now);
        }
        if self.sequence > before {
            self.judge(now);
        }
    }
}

fn aged_since<T: Copy>(facts: &BTreeMap<T, Observed>, sequence: u64, now: Now) -> Vec<Aged<T>> {
    let newer = facts
        .iter()
        .filter(|(_, observed)| observed.sequence > sequence);
    let aged = newer.map(|(fact, observed)| Aged {
        fact: *fact,
        age_ms: u64::try_from(past(now) - observed.mono_ms).unwrap_or_default(),
    });
    aged.collect()
}
