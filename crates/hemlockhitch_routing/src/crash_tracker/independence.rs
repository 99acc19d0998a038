//! Which crashes are independent of each other.
//!
//! It is made for endpoints that go down together, as when a rack loses power: the requests
//! that they had share parts, but nothing connects the crashes except the time.

use std::collections::BTreeSet;

use super::PastMs;
use super::verdict::{CrashEvent, EventTimes, Record};

/// Time within which crashes count as one event unless a request links them, in
/// milliseconds: endpoints that lose power together were seen to end within 200 ms, and
/// the times of other nodes are some tens of milliseconds off.
pub(super) const COMMON_CAUSE_MS: PastMs = 220;

/// Shortest time between two crashes that a request links, in milliseconds. A request that
/// is sent again meets endpoints that go down together within less, and at other nodes the
/// times differ by one message or two.
const MIN_LINK_MS: PastMs = 25;

/// Returns the time from the first event to the last one, in milliseconds.
pub(super) fn duration_ms(events: &BTreeSet<CrashEvent>, times: &EventTimes) -> PastMs {
    let first = events.iter().map(|event| times[event]).min();
    let last = events.iter().map(|event| times[event]).max();
    last.unwrap_or_default() - first.unwrap_or_default()
}

/// Returns how many events are independent of the earlier ones, and the time of the last
/// one that no request links to an earlier one.
pub(super) fn independent_events(
    events: &BTreeSet<CrashEvent>,
    record: &Record,
    times: &EventTimes,
) -> (usize, PastMs) {
    let linked: BTreeSet<CrashEvent> = record
        .times_by_request
        .values()
        .flat_map(|met| {
            let first_mono_ms = met.iter().map(|(_, mono_ms)| *mono_ms).min();
            let first_mono_ms = first_mono_ms.unwrap_or_default();
            let linked = met.iter();
            linked.filter(move |(_, mono_ms)| first_mono_ms + MIN_LINK_MS <= *mono_ms)
        })
        .map(|(event, _)| *event)
        .collect();
    let mut ordered: Vec<&CrashEvent> = events.iter().collect();
    ordered.sort_by_key(|event| times[*event]);
    let mut count = 0;
    let mut group_mono_ms = None;
    for event in ordered {
        let mono_ms = times[event];
        if linked.contains(event) {
            count += 1;
        } else if group_mono_ms.is_none_or(|start| mono_ms >= start + COMMON_CAUSE_MS) {
            count += 1;
            group_mono_ms = Some(mono_ms);
        }
    }
    (count, group_mono_ms.unwrap_or_default())
}
