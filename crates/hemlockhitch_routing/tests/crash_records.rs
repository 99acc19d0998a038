//! Records of blocks in the store, and crashes that a node cannot confirm.

mod support;

use hemlockhitch_routing::crash_tracker::{
    Admission, CrashTracker, Evidence, RequestTraits, Suspect,
};
use hemlockhitch_routing::gossip::SharedFacts;
use hemlockhitch_routing::limits::NodeShares;
use hemlockhitch_routing::selection::PromptPart;
use support::at;

const PART: Suspect = Suspect::PromptPart(1);

fn parts(fingerprint: u64) -> [PromptPart; 2] {
    [1, 1_000_000 + fingerprint].map(|id| PromptPart { id, tokens: 100 })
}

fn traits(fingerprint: u64, parts: &[PromptPart]) -> RequestTraits<'_> {
    RequestTraits { fingerprint, parts }
}

/// Records independent crashes under the part, 400 ms apart.
fn block(tracker: &mut CrashTracker, from_ms: u64) {
    for index in 0..4 {
        let parts = parts(index);
        let request = traits(index, &parts);
        tracker.record_crash(request, 10 + index, at(from_ms + index * 400));
    }
    assert!(tracker.is_verdict(PART));
}

/// Returns the evidence of a block as a node writes it to the store.
fn record() -> Evidence {
    let mut tracker = CrashTracker::default();
    block(&mut tracker, 0);
    let verdict = tracker.verdicts()[0].clone();
    tracker.evidence_for(&verdict, at(1_300))
}

/// Returns what the node at a position among `hashes` may do with a request.
fn admit(
    tracker: &mut CrashTracker,
    fingerprint: u64,
    hashes: &[u64],
    own: usize,
    now_ms: u64,
) -> Admission {
    let nodes = NodeShares {
        own_node_hash: hashes[own],
        node_hashes: hashes,
    };
    tracker.admit(traits(fingerprint, &parts(fingerprint)), nodes, at(now_ms))
}

fn started_with_record(now_ms: u64) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    tracker.add_record(PART, &record(), at(now_ms));
    tracker
}

#[test]
fn few_nodes_test_a_recorded_part_at_first() {
    let hashes: Vec<u64> = (0..340).map(|node| node * 7 + 1).collect();
    let mut nodes: Vec<CrashTracker> = hashes.iter().map(|_| started_with_record(0)).collect();
    let mut tests = Vec::new();
    for now_ms in [10, 160, 310, 460, 1_360] {
        let mut admitted = 0;
        for (own, tracker) in nodes.iter_mut().enumerate() {
            let admission = admit(tracker, now_ms, &hashes, own, now_ms);
            admitted += usize::from(admission == Admission::Allowed);
        }
        tests.push(admitted);
    }
    // A node whose test is under way begins no other.
    assert_eq!(tests, [1, 1, 2, 4, 336]);
}

#[test]
fn recorded_part_that_crashes_an_endpoint_again_is_blocked_on_all_nodes() {
    let hashes = [1, 2];
    let mut tester = started_with_record(0);
    let mut other = started_with_record(0);
    let own = usize::from(admit(&mut tester, 20, &hashes, 0, 5) != Admission::Allowed);
    assert_eq!(admit(&mut other, 21, &hashes, 1 - own, 5), Admission::Wait);
    tester.record_crash(traits(20, &parts(20)), 77, at(100));
    assert_eq!(
        admit(&mut tester, 22, &hashes, own, 110),
        Admission::Blocked
    );
    other.merge(&tester.facts_since(0, at(110)), at(120));
    assert_eq!(
        admit(&mut other, 23, &hashes, 1 - own, 130),
        Admission::Blocked
    );
}

/// Guards against a block that nodes which start later reinstate from the store.
#[test]
fn refuted_record_has_no_effect_on_any_node() {
    let hashes = [1, 2, 3];
    let mut tester = started_with_record(0);
    tester.record_served(traits(20, &parts(20)), at(100));
    assert!(tester.is_refuted(PART) && tester.has_own_refutation(PART));
    tester.add_record(PART, &record(), at(200));
    assert_eq!(admit(&mut tester, 21, &hashes, 2, 210), Admission::Allowed);

    // A node that starts now has other facts, so that it is sent the refutation.
    let mut later = started_with_record(50);
    assert_ne!(later.digest(), tester.digest());
    later.merge(&tester.facts_since(0, at(300)), at(60));
    assert_eq!(later.digest(), tester.digest());
    for own in 0..3 {
        assert_eq!(admit(&mut later, 22, &hashes, own, 61), Admission::Allowed);
    }
    assert!(later.is_refuted(PART));
}

#[test]
fn record_that_the_store_no_longer_holds_or_that_expired_has_no_effect() {
    let hashes = [1, 2, 3];
    let mut tracker = started_with_record(0);
    tracker.remove_record(PART, at(20));
    let mut expired = started_with_record(0);
    expired.judge(at(300_001));
    for own in 0..3 {
        assert_eq!(
            admit(&mut tracker, 20, &hashes, own, 30),
            Admission::Allowed
        );
        assert_eq!(
            admit(&mut expired, 20, &hashes, own, 300_002),
            Admission::Allowed
        );
    }
}

/// Guards against blame by a node that is cut off, which takes every endpoint for crashed.
#[test]
fn unconfirmed_crash_is_not_shared_and_may_be_withdrawn() {
    let mut tracker = CrashTracker::default();
    for index in 0..4 {
        let parts = parts(index);
        let request = traits(index, &parts);
        tracker.record_unconfirmed_crash(request, 10 + index, at(index * 400));
    }
    assert!(tracker.is_verdict(PART));
    let changes = tracker.take_changes();
    assert!(changes.blocked.iter().all(|new| !new.has_own_crash));
    assert!(tracker.facts_since(0, at(1_300)).is_empty());
    assert_eq!(tracker.digest(), CrashTracker::default().digest());
    for index in 0..4 {
        let parts = parts(index);
        tracker.resolve_crash(traits(index, &parts), 10 + index, false, at(1_400));
    }
    assert!(!tracker.is_verdict(PART));
}

/// Guards against a record made late: what was served after the disconnection refutes it,
/// however long it takes to find out that the endpoint is down.
#[test]
fn crash_counts_as_of_its_disconnection() {
    let mut tracker = CrashTracker::default();
    let mut other = CrashTracker::default();
    other.record_served(traits(20, &parts(20)), at(1_060));
    for index in 0..4 {
        let parts = parts(index);
        let request = traits(index, &parts);
        tracker.record_unconfirmed_crash(request, 10 + index, at(1_000));
        tracker.resolve_crash(request, 10 + index, true, at(1_700));
    }
    other.merge(&tracker.facts_since(0, at(1_700)), at(1_705));
    tracker.merge(&other.facts_since(0, at(1_705)), at(1_710));
    assert!(tracker.facts_since(0, at(1_710)).crashes.is_empty());
}

/// Guards against crashes before a node's start that all seem to have happened at once.
#[test]
fn node_that_starts_learns_what_is_blocked() {
    let mut tracker = CrashTracker::default();
    block(&mut tracker, 10_000);
    let mut started = CrashTracker::default();
    started.merge(&tracker.facts_since(0, at(20_000)), at(5));
    assert!(started.is_verdict(PART));
}
