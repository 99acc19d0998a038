//! Detection of requests and prompt parts that crash the endpoints they run on.
//!
//! It is made for requests that arrive at any node, so that no node sees enough crashes
//! by itself. Nodes share facts, and facts can be merged in any order and more than once:
//! nodes that know the same facts block the same requests.

mod changes;
mod facts;
mod independence;
mod records;
mod suspect;
mod suspicion;
mod verdict;

pub use changes::{NewVerdict, VerdictChanges};
pub use suspect::{Aged, Crash, Evidence, Refutation, RequestTraits, Suspect};
pub use suspicion::Admission;
pub use verdict::{MAX_CRASHES, Verdict};

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hemlockhitch_model::Now;
use records::RecordedBlock;
use suspicion::Suspicion;

use crate::gossip::TIME_ERROR_MS;

/// How long a crash counts against a request, in milliseconds.
const REQUEST_RETENTION_MS: u64 = 60_000;

/// How long a crash counts against a prompt part, and how long a refutation is kept, in
/// milliseconds.
const PART_RETENTION_MS: u64 = 300_000;

/// How long a node remembers what it served, in milliseconds: longer than crashes take to
/// reach the other nodes.
const SERVED_RETENTION_MS: PastMs = 10_000;

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
            // Other nodes would drop it, and differ from this one for minutes.
            if !self.is_known_refuted(&crash, past(at)) {
                self.crashes.entry(crash).or_insert(unshared(at));
            }
        }
        self.judge(at);
    }

    /// Shares the crash of an instance with other nodes, or withdraws it if this node
    /// reaches no endpoint, because the cause may be its own connectivity.
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

    /// Returns what is blocked.
    #[must_use]
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
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

fn drop_oldest<T: Copy + Ord>(facts: &mut BTreeMap<T, Observed>, max_count: usize) {
    if facts.len() <= max_count {
        return;
    }
    let mut times: Vec<PastMs> = facts.values().map(|observed| observed.mono_ms).collect();
    times.sort_unstable();
    let cutoff_mono_ms = times[times.len() - max_count];
    facts.retain(|_, observed| observed.mono_ms >= cutoff_mono_ms);
}
