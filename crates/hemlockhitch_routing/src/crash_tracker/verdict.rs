//! Attribution of crashes to requests and prompt parts.
//!
//! It is made for endpoints that crash under one part of many requests: all requests at
//! such an endpoint break with it, and those that are sent again meet the next one.
//!
//! It is also made for endpoints that go down together for another reason, as when a rack
//! loses power, while many requests share a part. Such crashes are one independent event:
//! nothing but the time connects them. A crash is independent of the earlier ones if it is
//! separated from them in time, or if one of its requests had met an earlier one. A part
//! whose independent crashes are too few is held back until it is known which case it is.

use std::collections::{BTreeMap, BTreeSet};

use super::PastMs;
use super::independence::{COMMON_CAUSE_MS, duration_ms, independent_events};
use super::suspect::{Crash, RequestTraits, Suspect};

/// Crashes that one request may cause before it is blocked.
pub const MAX_CRASHES: usize = 2;

/// Crashes under a prompt part at which it is blocked.
const PART_CRASHES: usize = 4;

/// Independent ones that must be among them. With four, a rare part that crashes endpoints
/// costs up to 14 percent more of them than without this condition.
const INDEPENDENT_CRASHES: usize = 3;

/// Crashes under a prompt part at which it is held back. With one more, two frequent parts
/// that crash endpoints cost 4 to 7 percent more of them than blocking at four crashes.
const HOLDING_CRASHES: usize = 3;

/// Distinct requests that must have met them, because a single request is blocked by
/// itself.
const MIN_REQUESTS: usize = 2;

/// Crashes from which a part may explain those under another suspect.
const MIN_EXPLAINING_CRASHES: usize = 2;

/// Crashes at which a part is blocked although parts of other requests met as many.
const PART_CRASHES_IF_TIED: usize = 6;

/// Crashes under a part that no other part of the same requests explains, above which the
/// part is blocked by itself.
const MAX_UNEXPLAINED: usize = 1;

/// Maximum number of parts that together explain the crashes under another one.
const MAX_ALTERNATIVES: usize = 4;

/// Shortest time in which a crashed endpoint starts again, in milliseconds. Later
/// disconnections of the same instance are another crash.
pub(super) const MIN_RESTART_MS: PastMs = 1_000;

/// A request or prompt part that is sent to no endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What crashes endpoints.
    pub suspect: Suspect,
    /// If not empty, the suspect is blocked only together with one of these parts, which
    /// may be the cause as well.
    pub alternatives: Vec<Suspect>,
    /// Number of crashes.
    pub crashes: usize,
}

/// What crashes show.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Judgement {
    /// Suspects that are blocked.
    pub verdicts: Vec<Verdict>,
    /// Suspects whose independent crashes are too few, with the time in milliseconds since
    /// which they are held back.
    pub held: Vec<(Verdict, PastMs)>,
}

impl Verdict {
    pub(super) fn blocks(&self, request: &RequestTraits<'_>) -> bool {
        let is_together =
            |alternatives: &[Suspect]| alternatives.iter().any(|part| request.has(*part));
        request.has(self.suspect)
            && (self.alternatives.is_empty() || is_together(&self.alternatives))
    }
}

/// One crash of an endpoint: the instance, and the number of its earlier crashes.
pub(super) type CrashEvent = (u64, usize);

/// When each endpoint crashed, in milliseconds.
pub(super) type EventTimes = BTreeMap<CrashEvent, PastMs>;

/// The crashes that a suspect met.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    events: BTreeSet<CrashEvent>,
    events_by_request: BTreeMap<u64, BTreeSet<CrashEvent>>,
    /// When each request met its crashes. The facts on one request take the same way, so
    /// that their times are compared with the least error.
    pub(super) times_by_request: BTreeMap<u64, Vec<(CrashEvent, PastMs)>>,
}

impl Record {
    /// Returns whether each request of this record is also one of `other`.
    fn is_within(&self, other: &Self) -> bool {
        let requests = &other.events_by_request;
        self.events_by_request
            .keys()
            .all(|request| requests.contains_key(request))
    }

    fn shares_request(&self, other: &Self) -> bool {
        let requests = &other.events_by_request;
        self.events_by_request
            .keys()
            .any(|request| requests.contains_key(request))
    }

    /// Returns the events of the requests that both records have.
    fn events_shared_with(&self, other: &Self) -> BTreeSet<CrashEvent> {
        let shared = self.events_by_request.iter();
        let shared = shared.filter(|(request, _)| other.events_by_request.contains_key(*request));
        shared.flat_map(|(_, events)| events).copied().collect()
    }
}

/// Returns what is blocked and what is held back, from all crashes in their order, with the
/// time of each in milliseconds.
pub(super) fn judge(crashes: &[(Crash, PastMs)]) -> Judgement {
    // Most disconnections are single, so that nothing has to be compared.
    if !may_block(crashes) {
        return Judgement::default();
    }
    let (records, times) = records(crashes);
    let parts: BTreeMap<Suspect, &Record> = records
        .iter()
        .filter(|(suspect, record)| {
            suspect.is_part() && record.events.len() >= MIN_EXPLAINING_CRASHES
        })
        .map(|(suspect, record)| (*suspect, record))
        .collect();
    let mut judgement = Judgement::default();
    for (suspect, record) in &records {
        match suspect {
            Suspect::Request(fingerprint) => {
                let verdict = request_verdict(*fingerprint, record, &parts);
                judgement.verdicts.extend(verdict);
            }
            Suspect::PromptPart(_) => {
                let Some((verdict, events)) = part_verdict(*suspect, record, &parts) else {
                    continue;
                };
                let (independent, since_mono_ms) = independent_events(&events, record, &times);
                let is_separate = duration_ms(&events, &times) >= COMMON_CAUSE_MS;
                if events.len() >= PART_CRASHES && independent >= INDEPENDENT_CRASHES && is_separate
                {
                    judgement.verdicts.push(verdict);
                } else {
                    judgement.held.push((verdict, since_mono_ms));
                }
            }
        }
    }
    judgement
}

/// Returns whether a suspect met enough crashes to be blocked, whatever explains them.
fn may_block(crashes: &[(Crash, PastMs)]) -> bool {
    let by_suspect = crashes.chunk_by(|(a, _), (b, _)| a.suspect == b.suspect);
    by_suspect.into_iter().any(|crashes| {
        let is_part = crashes[0].0.suspect.is_part();
        crashes.len() > MAX_CRASHES && (!is_part || crashes.len() >= HOLDING_CRASHES)
    })
}

fn records(crashes: &[(Crash, PastMs)]) -> (BTreeMap<Suspect, Record>, EventTimes) {
    let mut times_by_instance: BTreeMap<u64, Vec<PastMs>> = BTreeMap::new();
    for (crash, mono_ms) in crashes {
        let times = times_by_instance.entry(crash.instance_hash).or_default();
        times.push(*mono_ms);
    }
    for times in times_by_instance.values_mut() {
        times.sort_unstable();
    }
    let mut records: BTreeMap<Suspect, Record> = BTreeMap::new();
    let mut times = EventTimes::new();
    for (crash, mono_ms) in crashes {
        let of_instance = &times_by_instance[&crash.instance_hash];
        let gaps = of_instance
            .windows(2)
            .take_while(|pair| pair[1] <= *mono_ms);
        let restarts = gaps
            .filter(|pair| pair[1] - pair[0] >= MIN_RESTART_MS)
            .count();
        let event = (crash.instance_hash, restarts);
        let time = times.entry(event).or_insert(*mono_ms);
        *time = (*time).min(*mono_ms);
        let record = records.entry(crash.suspect).or_default();
        record.events.insert(event);
        let of_request = record.events_by_request.entry(crash.fingerprint);
        of_request.or_default().insert(event);
        let met = record.times_by_request.entry(crash.fingerprint);
        met.or_default().push((event, *mono_ms));
    }
    (records, times)
}

fn request_verdict(
    fingerprint: u64,
    record: &Record,
    parts: &BTreeMap<Suspect, &Record>,
) -> Option<Verdict> {
    // Such a request waited at endpoints that crashed under a part of others.
    let explaining = parts.values().filter(|part| {
        part.events.len() > record.events.len()
            && !part.events_by_request.contains_key(&fingerprint)
    });
    let unexplained = without_explained(&record.events, explaining);
    (unexplained.len() > MAX_CRASHES).then(|| Verdict {
        suspect: Suspect::Request(fingerprint),
        alternatives: Vec::new(),
        crashes: unexplained.len(),
    })
}

fn part_verdict(
    suspect: Suspect,
    record: &Record,
    parts: &BTreeMap<Suspect, &Record>,
) -> Option<(Verdict, BTreeSet<CrashEvent>)> {
    let crashes = record.events.len();
    let requests = record.events_by_request.len();
    if crashes < HOLDING_CRASHES || requests < MIN_REQUESTS {
        return None;
    }
    let explaining = parts.iter().filter(|(other, part)| {
        let is_tied = part.events.len() == crashes
            && crashes < PART_CRASHES_IF_TIED
            && !record.shares_request(part);
        **other != suspect && !record.is_within(part) && (part.events.len() > crashes || is_tied)
    });
    let unexplained = without_explained(&record.events, explaining.map(|(_, part)| part));
    let unexplained_requests = record.events_by_request.values();
    let unexplained_requests =
        unexplained_requests.filter(|events| !events.is_disjoint(&unexplained));
    if unexplained.len() < HOLDING_CRASHES || unexplained_requests.count() < MIN_REQUESTS {
        return None;
    }
    let verdict = Verdict {
        suspect,
        alternatives: alternatives(suspect, record, parts),
        crashes: unexplained.len(),
    };
    Some((verdict, unexplained))
}

fn without_explained<'a>(
    events: &BTreeSet<CrashEvent>,
    explaining: impl Iterator<Item = &'a &'a Record>,
) -> BTreeSet<CrashEvent> {
    explaining.fold(events.clone(), |mut unexplained, part| {
        unexplained.retain(|event| !part.events.contains(event));
        unexplained
    })
}

/// Returns the parts of the same requests that explain the crashes as well as the suspect
/// does. Requests that have the suspect without them show which one it is.
fn alternatives(
    suspect: Suspect,
    record: &Record,
    parts: &BTreeMap<Suspect, &Record>,
) -> Vec<Suspect> {
    let mut unexplained = record.events.clone();
    let mut alternatives = Vec::new();
    while alternatives.len() < MAX_ALTERNATIVES && unexplained.len() > MAX_UNEXPLAINED {
        let candidates = parts.iter().filter(|(other, part)| {
            **other != suspect && part.events_by_request.len() >= MIN_REQUESTS
        });
        let explained = candidates.map(|(other, part)| {
            let shared = record.events_shared_with(part);
            let explained: BTreeSet<_> = shared.intersection(&unexplained).copied().collect();
            (*other, explained)
        });
        let best = explained.max_by_key(|(_, explained)| explained.len());
        let Some((other, explained)) = best.filter(|(_, explained)| !explained.is_empty()) else {
            break;
        };
        unexplained.retain(|event| !explained.contains(event));
        alternatives.push(other);
    }
    if unexplained.len() > MAX_UNEXPLAINED {
        alternatives.clear();
    }
    alternatives
}
