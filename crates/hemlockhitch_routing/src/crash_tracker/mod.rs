//! Detection of requests and prompt parts that crash the endpoints they run on.
//!
//! It is made for requests that arrive at any node, so that no node sees enough crashes
//! by itself. Nodes share facts, and facts can be merged in any order and more than once:
//! nodes that know the same facts block the same requests.

mod records;
mod suspect;
mod suspicion;
mod verdict;

pub use suspect::{Aged, Crash, Evidence, Refutation, RequestTraits, Suspect};
pub use suspicion::Admission;
pub use verdict::{MAX_CRASHES, Verdict};

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hemlockhitch_model::{Now, mix};
use records::RecordedBlock;
use suspicion::{Origin, Suspicion};

use crate::gossip::{SharedFacts, TIME_ERROR_MS};
use crate::limits::NodeShares;

/// How long a crash counts against a request, in milliseconds.
const REQUEST_RETENTION_MS: u64 = 60_000;

/// How long a crash counts against a prompt part, and how long a refutation is kept, in
/// milliseconds.
const PART_RETENTION_MS: u64 = 300_000;

/// How long a node remembers what it served, in milliseconds: longer than crashes take to
/// reach the other nodes.
const SERVED_RETENTION_MS: PastMs = 10_000;

/// How long before a crash a suspect must have been served to be refuted, in milliseconds:
/// half of what other nodes allow for the error of the time, so that all agree.
const SERVED_BEFORE_MS: PastMs = 500;

/// Number of crash records above which the oldest are dropped.
const MAX_CRASH_RECORDS: usize = 2_048;

/// Number of refutations above which the oldest are dropped.
const MAX_REFUTATIONS: usize = 1_024;

/// Number of remembered suspects that were served above which old ones are dropped.
const SERVED_SWEEP_SIZE: usize = 4_096;

/// Disconnections under a request from which other nodes learn of them: single ones are
/// frequent, and mostly no crash.
const SHARED_DISCONNECTIONS: usize = 2;

/// Sequence number of facts that are not shared.
const UNSHARED: u64 = 0;

/// A time on the node's monotonic clock, in milliseconds. It is negative for what happened
/// before the node started, which differs in time as well.
type PastMs = i64;

/// When a fact was observed, and in which order it became known to this node.
#[derive(Clone, Copy, Debug)]
struct Observed {
    mono_ms: PastMs,
    sequence: u64,
    /// Whether this node observed it itself.
    is_own: bool,
}

/// The crashes that this node and others observed.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    crashes: BTreeMap<Crash, Observed>,
    refutations: BTreeMap<Refutation, Observed>,
    served_mono_ms: HashMap<Suspect, PastMs>,
    verdicts: Vec<Verdict>,
    held: BTreeMap<Suspect, (Verdict, Suspicion)>,
    /// What the store records and nothing has refuted.
    recorded: BTreeMap<Suspect, RecordedBlock>,
    reported: BTreeSet<Suspect>,
    reported_suspicions: BTreeSet<Suspect>,
    sequence: u64,
}

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
    /// Records that an endpoint crashed before it had begun its response to a request, at
    /// the time of its disconnection.
    pub fn record_crash(&mut self, request: RequestTraits<'_>, instance_hash: u64, at: Now) {
        self.record_unconfirmed_crash(request, instance_hash, at);
        self.resolve_crash(request, instance_hash, true, at);
    }

    /// The same while it is not known whether this node reaches other endpoints. Other nodes
    /// do not learn of it until it is resolved.
    pub fn record_unconfirmed_crash(
        &mut self,
        request: RequestTraits<'_>,
        instance_hash: u64,
        at: Now,
    ) {
        self.record_disconnection(request, instance_hash, at);
        for suspect in request.suspects().filter(|suspect| suspect.is_part()) {
            let served_mono_ms = self.served_mono_ms.get(&suspect);
            if served_mono_ms.is_some_and(|served| past(at) <= *served + time_error_ms()) {
                continue;
            }
            let crash = request.crash(suspect, instance_hash);
            self.crashes.entry(crash).or_insert(unshared(at));
        }
        self.judge(at);
    }

    /// Shares the crash of an instance with other nodes, or withdraws it if this node
    /// reaches no endpoint, so that it cannot tell a crash from its own failure.
    pub fn resolve_crash(
        &mut self,
        request: RequestTraits<'_>,
        instance_hash: u64,
        reaches_others: bool,
        now: Now,
    ) {
        for suspect in request.suspects().filter(|suspect| suspect.is_part()) {
            let crash = request.crash(suspect, instance_hash);
            let Some(observed) = self.crashes.get_mut(&crash) else {
                continue;
            };
            if observed.sequence != UNSHARED {
                continue;
            }
            if reaches_others {
                self.sequence += 1;
                observed.sequence = self.sequence;
            } else {
                self.crashes.remove(&crash);
            }
        }
        self.judge(now);
    }

    /// Records that an endpoint disconnected before it had begun its response to a request,
    /// whether or not it crashed. Other nodes learn of it from the second time on.
    pub fn record_disconnection(
        &mut self,
        request: RequestTraits<'_>,
        instance_hash: u64,
        now: Now,
    ) {
        let suspect = Suspect::Request(request.fingerprint);
        let crash = request.crash(suspect, instance_hash);
        self.crashes.entry(crash).or_insert(unshared(now));
        let of_request = self.crashes.keys().filter(|crash| crash.suspect == suspect);
        let of_request: Vec<Crash> = of_request.copied().collect();
        if of_request.len() >= SHARED_DISCONNECTIONS {
            for crash in of_request {
                self.sequence += 1;
                if let Some(observed) = self.crashes.get_mut(&crash)
                    && observed.sequence == UNSHARED
                {
                    observed.sequence = self.sequence;
                }
            }
        }
        self.judge(now);
    }

    /// Records that an endpoint has responded to a request beyond the beginning.
    pub fn record_served(&mut self, request: RequestTraits<'_>, now: Now) {
        let mut is_refuting = false;
        for suspect in request.suspects() {
            self.served_mono_ms.insert(suspect, past(now));
            is_refuting |= self.refute(Refutation::Served(suspect), past(now));
        }
        if self.served_mono_ms.len() > SERVED_SWEEP_SIZE {
            self.served_mono_ms
                .retain(|_, at| past(now) < *at + SERVED_RETENTION_MS);
        }
        if is_refuting {
            self.judge(now);
        }
    }

    /// Records that an instance responded to a request that was sent at `sent_mono_ms`. If
    /// it disconnected shortly before, it had not crashed.
    pub fn record_response(&mut self, instance_hash: u64, sent_mono_ms: u64, now: Now) {
        let sent_mono_ms = signed(sent_mono_ms);
        let was_suspected = self.crashes.iter().any(|(crash, observed)| {
            let restart_mono_ms = observed.mono_ms + verdict::MIN_RESTART_MS;
            crash.instance_hash == instance_hash
                && (observed.mono_ms..restart_mono_ms).contains(&sent_mono_ms)
        });
        if was_suspected && self.refute(Refutation::Alive(instance_hash), sent_mono_ms) {
            self.judge(now);
        }
    }

    /// Returns whether a request is blocked, that is, sent to no endpoint.
    #[must_use]
    pub fn is_blocked(&self, request: RequestTraits<'_>) -> bool {
        self.verdicts.iter().any(|verdict| verdict.blocks(&request))
    }

    /// Decides whether a request may be sent to an endpoint now. `Allowed` may make it the
    /// test of a suspect, so it is to be sent then.
    pub fn admit(
        &mut self,
        request: RequestTraits<'_>,
        nodes: NodeShares<'_>,
        now: Now,
    ) -> Admission {
        if self.is_blocked(request) {
            return Admission::Blocked;
        }
        let held = self.held.values_mut();
        let held = held.map(|(verdict, suspicion)| (&*verdict, suspicion));
        let recorded = self.recorded.values_mut();
        let recorded = recorded.map(|block| (&block.verdict, &mut block.suspicion));
        let suspicions = held.chain(recorded).filter(|(verdict, suspicion)| {
            suspicion.is_active(past(now)) && verdict.blocks(&request)
        });
        let mut suspicions: Vec<_> = suspicions.collect();
        let admits = |(verdict, suspicion): &(&Verdict, &mut Suspicion)| {
            suspicion.admits(verdict.suspect.hash(), nodes, past(now))
        };
        if !suspicions.iter().all(admits) {
            return Admission::Wait;
        }
        for (_, suspicion) in &mut suspicions {
            suspicion.tested_mono_ms = Some(past(now));
        }
        Admission::Allowed
    }

    /// Returns what is blocked.
    #[must_use]
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

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

    fn merge_crash(&mut self, crash: Crash, at_mono_ms: PastMs, now: Now) {
        if let Some(known) = self.crashes.get_mut(&crash) {
            // The shorter way here gives the better time; a record in the store gives none.
            if (at_mono_ms..=at_mono_ms + time_error_ms()).contains(&known.mono_ms) {
                known.mono_ms = at_mono_ms;
            }
            return;
        }
        let refutations = [
            Refutation::Served(crash.suspect),
            Refutation::Alive(crash.instance_hash),
        ];
        let is_refuted = refutations.iter().any(|refutation| {
            let known = self.refutations.get(refutation);
            known.is_some_and(|known| at_mono_ms <= known.mono_ms + time_error_ms())
        });
        if is_refuted || is_expired(&crash, at_mono_ms, now) {
            return;
        }
        let served_mono_ms = self.served_mono_ms.get(&crash.suspect).copied();
        let is_recent = |served: &PastMs| *served + SERVED_BEFORE_MS >= at_mono_ms;
        if let Some(served_mono_ms) = served_mono_ms.filter(is_recent) {
            // The node that reports the crash does not know.
            let observed = self.observe(served_mono_ms, true);
            let refutation = Refutation::Served(crash.suspect);
            self.refutations.insert(refutation, observed);
            return;
        }
        let observed = self.observe(at_mono_ms, false);
        self.crashes.insert(crash, observed);
    }

    /// Records that what this node observed refutes crashes; returns whether there are any.
    fn refute(&mut self, refutation: Refutation, at_mono_ms: PastMs) -> bool {
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

    fn remove_refuted(&mut self, refutation: Refutation, until_mono_ms: PastMs) -> bool {
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

    fn has_own_crash(&self, suspect: Suspect) -> bool {
        self.crashes
            .iter()
            .filter(|(_, observed)| observed.is_own && observed.sequence != UNSHARED)
            .any(|(crash, _)| crash.suspect == suspect)
    }

    /// Drops facts that no longer count, and judges the others.
    pub fn judge(&mut self, now: Now) {
        self.crashes
            .retain(|crash, observed| !is_expired(crash, observed.mono_ms, now));
        drop_oldest(&mut self.crashes, MAX_CRASH_RECORDS);
        self.refutations
            .retain(|_, observed| past(now) < observed.mono_ms + signed(PART_RETENTION_MS));
        drop_oldest(&mut self.refutations, MAX_REFUTATIONS);
        let crashes = self.crashes.iter();
        let crashes: Vec<(Crash, PastMs)> = crashes
            .map(|(crash, observed)| (*crash, observed.mono_ms))
            .collect();
        let judgement = verdict::judge(&crashes);
        self.verdicts = judgement.verdicts;
        self.judge_records(now);
        self.hold_back(judgement.held, now);
    }

    fn hold_back(&mut self, held: Vec<(Verdict, PastMs)>, now: Now) {
        let mut before = std::mem::take(&mut self.held);
        for (verdict, since_mono_ms) in held {
            let tested_mono_ms = before
                .remove(&verdict.suspect)
                .and_then(|(_, suspicion)| suspicion.tested_mono_ms);
            let suspicion = Suspicion {
                origin: Origin::CommonCause,
                since_mono_ms,
                tested_mono_ms,
            };
            if suspicion.is_active(past(now)) {
                self.held.insert(verdict.suspect, (verdict, suspicion));
            }
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

fn unshared(at: Now) -> Observed {
    Observed {
        mono_ms: past(at),
        sequence: UNSHARED,
        is_own: true,
    }
}

fn past(now: Now) -> PastMs {
    signed(now.mono_ms)
}

fn signed(ms: u64) -> PastMs {
    PastMs::try_from(ms).unwrap_or(PastMs::MAX / 2)
}

fn time_error_ms() -> PastMs {
    signed(TIME_ERROR_MS)
}

fn is_expired(crash: &Crash, at_mono_ms: PastMs, now: Now) -> bool {
    past(now) >= at_mono_ms + signed(retention_ms(crash.suspect))
}

fn retention_ms(suspect: Suspect) -> u64 {
    if suspect.is_part() {
        PART_RETENTION_MS
    } else {
        REQUEST_RETENTION_MS
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

fn drop_oldest<T: Copy + Ord>(facts: &mut BTreeMap<T, Observed>, max_count: usize) {
    if facts.len() <= max_count {
        return;
    }
    let mut times: Vec<PastMs> = facts.values().map(|observed| observed.mono_ms).collect();
    times.sort_unstable();
    let cutoff_mono_ms = times[times.len() - max_count];
    facts.retain(|_, observed| observed.mono_ms >= cutoff_mono_ms);
}
