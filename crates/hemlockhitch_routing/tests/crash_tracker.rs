//! Attribution of endpoints' crashes to requests and prompt parts.

mod support;

use hemlockhitch_routing::crash_tracker::{CrashTracker, RequestTraits, Suspect};
use hemlockhitch_routing::gossip::SharedFacts;
use hemlockhitch_routing::selection::PromptPart;
use insta::assert_snapshot;
use support::at;

/// A request with a fingerprint and the identifiers of its parts.
struct Request {
    fingerprint: u64,
    parts: Vec<PromptPart>,
}

impl Request {
    /// Creates a request whose last part is its own.
    fn new(fingerprint: u64, shared: &[u64]) -> Self {
        let ids = shared.iter().copied().chain([1_000_000 + fingerprint]);
        let parts = ids.map(|id| PromptPart { id, tokens: 100 });
        Self {
            fingerprint,
            parts: parts.collect(),
        }
    }

    fn traits(&self) -> RequestTraits<'_> {
        RequestTraits {
            fingerprint: self.fingerprint,
            parts: &self.parts,
        }
    }
}

/// Records that the instances crashed under a request, one each 200 ms.
fn crash(tracker: &mut CrashTracker, request: &Request, instances: &[u64], from_ms: u64) {
    for (index, instance) in instances.iter().enumerate() {
        tracker.record_crash(
            request.traits(),
            *instance,
            at(from_ms + index as u64 * 200),
        );
    }
}

fn describe(tracker: &CrashTracker) -> String {
    let verdicts = tracker.verdicts().iter().map(|verdict| {
        format!(
            "{:?} together with {:?}: {} crashes\n",
            verdict.suspect, verdict.alternatives, verdict.crashes
        )
    });
    verdicts.collect()
}

#[test]
fn request_is_blocked_after_its_third_crash_on_any_node() {
    let request = Request::new(7, &[]);
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, &request, &[1, 2], 0);
    assert!(!tracker.is_blocked(request.traits()));
    let mut other = CrashTracker::default();
    other.merge(&tracker.facts_since(0, at(300)), at(310));
    other.record_crash(request.traits(), 3, at(400));
    assert!(other.is_blocked(request.traits()));
    assert!(!other.is_blocked(Request::new(8, &[]).traits()));
    tracker.merge(&other.facts_since(0, at(410)), at(420));
    assert!(tracker.is_blocked(request.traits()));
    tracker.record_served(request.traits(), at(500));
    assert!(!tracker.is_blocked(request.traits()));
}

#[test]
fn merged_facts_count_once_however_often_they_arrive() {
    let mut tracker = CrashTracker::default();
    let request = Request::new(7, &[1, 2]);
    crash(&mut tracker, &request, &[1, 2], 0);
    let mut other = CrashTracker::default();
    for now_ms in [500, 600, 900, 5_000] {
        let evidence = tracker.facts_since(0, at(now_ms));
        other.merge(&evidence, at(now_ms + 10));
        tracker.merge(&other.facts_since(0, at(now_ms + 20)), at(now_ms + 30));
    }
    assert_eq!(tracker.digest(), other.digest());
    assert_eq!(other.facts_since(0, at(6_000)).crashes.len(), 6);
    assert!(!other.is_blocked(request.traits()));
}

/// Guards against blaming the shared first part, and sound requests that were at the same
/// endpoints.
#[test]
fn part_that_crashes_endpoints_is_told_from_those_beside_it() {
    let mut tracker = CrashTracker::default();
    let victim = Request::new(20, &[1, 40]);
    for (index, instances) in [[1, 2, 3], [4, 5, 6]].iter().enumerate() {
        let deadly = Request::new(10 + index as u64, &[1, 666]);
        crash(&mut tracker, &deadly, instances, index as u64 * 1_000);
        crash(
            &mut tracker,
            &victim,
            &instances[..2],
            index as u64 * 1_000 + 1,
        );
    }
    let sound = Request::new(30, &[1, 50]);
    assert!(
        !tracker.is_blocked(sound.traits()),
        "it shows that part 1 is sound"
    );
    tracker.record_served(sound.traits(), at(2_000));
    assert_snapshot!(describe(&tracker), @"PromptPart(666) together with []: 6 crashes");
    assert!(tracker.is_blocked(Request::new(11, &[1, 666, 3]).traits()));
    assert!(tracker.is_blocked(Request::new(12, &[9, 666]).traits()));
    assert!(!tracker.is_blocked(victim.traits()));
}

#[test]
fn two_deadly_parts_behind_one_shared_part_are_both_found() {
    let mut tracker = CrashTracker::default();
    for index in 0..4 {
        let part = 666 + index % 2;
        let deadly = Request::new(10 + index, &[1, part]);
        crash(
            &mut tracker,
            &deadly,
            &[index * 3, index * 3 + 1, index * 3 + 2],
            index * 700,
        );
    }
    assert_snapshot!(describe(&tracker), @r"
    Request(10) together with []: 3 crashes
    Request(11) together with []: 3 crashes
    Request(12) together with []: 3 crashes
    Request(13) together with []: 3 crashes
    PromptPart(1) together with [PromptPart(667), PromptPart(666)]: 12 crashes
    PromptPart(666) together with [PromptPart(1)]: 6 crashes
    PromptPart(667) together with [PromptPart(1)]: 6 crashes
    ");
    assert!(!tracker.is_blocked(Request::new(30, &[1, 50]).traits()));
    assert!(!tracker.is_blocked(Request::new(31, &[1]).traits()));
    assert!(tracker.is_blocked(Request::new(32, &[1, 666]).traits()));
    assert!(tracker.is_blocked(Request::new(33, &[1, 667]).traits()));
}

/// Guards against a part that is known only together with parts of single sessions.
#[test]
fn deadly_part_is_found_beside_a_part_of_each_session() {
    let mut tracker = CrashTracker::default();
    for index in 0..4 {
        let deadly = Request::new(10 + index, &[666, 70 + index]);
        crash(
            &mut tracker,
            &deadly,
            &[index * 3, index * 3 + 1],
            index * 500,
        );
    }
    assert!(tracker.is_blocked(Request::new(40, &[666, 90]).traits()));
    assert!(!tracker.is_blocked(Request::new(41, &[70, 91]).traits()));
}

/// Guards against blocking what was at endpoints of a data centre that lost power.
#[test]
fn endpoints_that_fail_together_block_no_part_that_is_served_elsewhere() {
    let mut tracker = CrashTracker::default();
    let requests: Vec<Request> = (0..30)
        .map(|id| Request::new(id, &[1, 40 + id % 5]))
        .collect();
    for (index, request) in requests.iter().enumerate() {
        tracker.record_crash(request.traits(), index as u64 % 6, at(1_000));
    }
    for request in &requests[..5] {
        tracker.record_served(request.traits(), at(1_300));
    }
    assert_snapshot!(describe(&tracker), @"");
}

/// Guards against blocking a part for the number of endpoints that went down together: no
/// request met two of them, and nothing with the part has been served since.
#[test]
fn endpoints_that_fail_within_3_ms_block_no_part_that_their_requests_share() {
    let mut tracker = CrashTracker::default();
    let requests = (0..6).map(|id| Request::new(id, &[1, 40 + id]));
    for (index, request) in requests.enumerate() {
        let instance = index as u64 % 5;
        tracker.record_crash(request.traits(), instance, at(1_304 + index as u64 / 2));
    }
    assert_snapshot!(describe(&tracker), @"");
    assert!(!tracker.is_blocked(Request::new(20, &[1, 60]).traits()));
}

/// Guards against counting responses that were lost, while the endpoints go on.
#[test]
fn endpoint_that_responds_right_after_a_disconnection_did_not_crash() {
    let mut tracker = CrashTracker::default();
    let request = Request::new(7, &[1, 2]);
    crash(&mut tracker, &request, &[1, 2, 3], 0);
    assert!(tracker.is_blocked(request.traits()));
    tracker.record_response(3, 450, at(600));
    assert!(!tracker.is_blocked(request.traits()));
    let mut other = CrashTracker::default();
    crash(&mut other, &request, &[1, 2, 3], 0);
    other.merge(&tracker.facts_since(0, at(700)), at(705));
    assert!(!other.is_blocked(request.traits()));
}

/// The same instance that crashes again after a restart, as while the store is down.
#[test]
fn later_crashes_of_a_restarted_instance_count() {
    let mut tracker = CrashTracker::default();
    for index in 0..2 {
        let deadly = Request::new(10 + index, &[666]);
        crash(&mut tracker, &deadly, &[1], index * 3_000);
        crash(&mut tracker, &deadly, &[2], index * 3_000 + 400);
    }
    assert!(tracker.is_blocked(Request::new(40, &[666]).traits()));
}

/// Guards against a record in the store that makes crashes of one instance look like one.
#[test]
fn facts_that_return_with_another_age_do_not_end_a_block() {
    let mut tracker = CrashTracker::default();
    for index in 0..2 {
        let deadly = Request::new(10 + index, &[666]);
        crash(&mut tracker, &deadly, &[1], index * 3_000);
        crash(&mut tracker, &deadly, &[2], index * 3_000 + 400);
    }
    let mut returned = tracker.facts_since(0, at(4_000));
    for crash in &mut returned.crashes {
        crash.age_ms = 200_000;
    }
    tracker.merge(&returned, at(4_100));
    tracker.judge(at(4_000));
    assert!(tracker.is_blocked(Request::new(40, &[666]).traits()));
}

#[test]
fn block_ends_when_no_crash_is_recent() {
    let mut tracker = CrashTracker::default();
    for index in 0..2 {
        let deadly = Request::new(10 + index, &[666]);
        crash(
            &mut tracker,
            &deadly,
            &[index * 2, index * 2 + 1],
            index * 500,
        );
    }
    assert!(tracker.is_blocked(Request::new(40, &[666]).traits()));
    tracker.judge(at(299_000));
    assert!(tracker.is_blocked(Request::new(40, &[666]).traits()));
    tracker.judge(at(301_000));
    assert!(!tracker.is_blocked(Request::new(40, &[666]).traits()));
}

#[test]
fn changes_are_reported_once() {
    let mut tracker = CrashTracker::default();
    let request = Request::new(7, &[]);
    crash(&mut tracker, &request, &[1, 2, 3], 0);
    let changes = tracker.take_changes();
    assert_eq!(changes.blocked.len(), 1);
    assert!(changes.blocked[0].has_own_crash);
    assert!(tracker.take_changes().blocked.is_empty());
    tracker.record_served(request.traits(), at(900));
    assert_eq!(tracker.take_changes().released, [Suspect::Request(7)]);
}
