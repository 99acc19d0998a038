//! The memory budget, and the rule by which a peer counts as stalled.

mod support;

use hemlockhitch_routing::limits::{
    Claim, HeldBytes, MIN_PROGRESS_BYTES, MemoryBudget, Progress, REQUEST_BYTES, STALL_WAIT_MS,
};
use quickcheck::{Gen, QuickCheck};
use support::at;

const LIMIT_BYTES: u64 = 24 << 20;
const LARGE_BYTES: u64 = 4 << 20;

fn budget() -> MemoryBudget {
    MemoryBudget::new(Some(LIMIT_BYTES))
}

/// Reserves until it is refused; returns how often it was granted.
fn fill(budget: &mut MemoryBudget, claim: Claim, bytes: u64) -> u64 {
    (0..10_000)
        .take_while(|_| budget.reserve(claim, bytes))
        .count() as u64
}

/// Guards against uploads that leave no memory to small requests.
#[test]
fn small_requests_go_on_beside_uploads_that_take_their_whole_part() {
    let mut budget = budget();
    assert_eq!(fill(&mut budget, Claim::Body, LARGE_BYTES), 4);
    assert!(!budget.reserve(Claim::Body, LARGE_BYTES));
    assert!(fill(&mut budget, Claim::Request, REQUEST_BYTES) >= 192);
}

/// Guards against slow readers that take the memory that uploads need, and against one
/// organisation whose slow readers take the part of all.
#[test]
fn answers_are_bounded_together_and_by_organisation() {
    let mut budget = budget();
    assert_eq!(fill(&mut budget, Claim::Answer(1), LARGE_BYTES), 1);
    assert_eq!(fill(&mut budget, Claim::Stream(1), 1 << 20), 2);
    assert!(budget.reserve(Claim::Answer(2), LARGE_BYTES));
    assert!(
        !budget.reserve(Claim::Answer(3), LARGE_BYTES),
        "half is taken"
    );
    assert!(budget.reserve(Claim::Body, LARGE_BYTES));
    budget.release(Claim::Answer(2), LARGE_BYTES);
    assert!(budget.reserve(Claim::Answer(3), LARGE_BYTES));
}

/// Guards against slow readers whose answers must be delivered and that take the whole
/// budget: small requests were all refused beside 1,000 of them.
#[test]
fn requests_for_large_answers_are_refused_while_slow_readers_hold_their_part() {
    let (large, small) = (1, 2);
    let mut budget = budget();
    budget.record_answer(large, LARGE_BYTES);
    budget.record_answer(small, 100);
    let mut readers = 0;
    while budget.admits(large, 7) && readers < 1_000 {
        assert!(budget.reserve(Claim::Request, REQUEST_BYTES));
        budget.charge(Claim::Stream(7), 65_536);
        readers += 1;
    }
    assert!((120..=256).contains(&readers), "{readers}");
    assert!(budget.admits(small, 7));
    assert!(budget.reserve(Claim::Request, REQUEST_BYTES));
    assert!(budget.admits(large, 8), "another organisation");
    budget.release(Claim::Stream(7), 65_536);
    assert!(budget.admits(large, 7));
    budget.charge(Claim::Stream(7), 65_536);
    for _ in 0..9 {
        budget.record_answer(large, 100);
    }
    assert!(budget.admits(large, 7), "its answers are small now");
}

#[test]
fn budget_without_a_limit_refuses_nothing() {
    let mut budget = MemoryBudget::new(None);
    assert_eq!(
        fill(&mut budget, Claim::Answer(1), u64::MAX / 20_000),
        10_000
    );
}

/// Guards against reservations that leak or exceed the budget, in any order of grants and
/// releases.
#[test]
fn what_is_reserved_is_released_and_never_exceeds_the_budget() {
    fn property(steps: Vec<(u8, u8, u32)>) -> bool {
        let mut budget = budget();
        let mut granted = Vec::new();
        for (kind, organisation, bytes) in steps {
            let organisation = u64::from(organisation % 3);
            let bytes = u64::from(bytes % (5 << 20));
            let claim = match kind % 5 {
                0 => Claim::Request,
                1 => Claim::Body,
                2 => Claim::Answer(organisation),
                3 => Claim::Stream(organisation),
                _ => {
                    if let Some((claim, bytes)) = granted.pop() {
                        budget.release(claim, bytes);
                    }
                    continue;
                }
            };
            if budget.reserve(claim, bytes) {
                granted.push((claim, bytes));
            }
            let sum: u64 = granted.iter().map(|(_, bytes)| bytes).sum();
            if budget.held().total() != sum || sum > LIMIT_BYTES {
                return false;
            }
        }
        for (claim, bytes) in granted {
            budget.release(claim, bytes);
        }
        budget.held() == HeldBytes::default()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 27))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, u32)>) -> bool);
}

/// Each row is a peer that moves `bytes` after each wait of `wait_ms`, and whether it is
/// stalled within two minutes.
#[test]
fn peers_count_as_stalled_by_their_progress_while_they_are_waited_for() {
    let rows = [
        ("nothing", 1_000, 0, true),
        ("a byte a second", 1_000, 1, true),
        ("a byte each 10 ms", 10, 1, true),
        ("an occasional kilobyte", 20_000, 1_024, true),
        ("one kilobyte a second", 1_000, 1_024, false),
        (
            "a full step just in time",
            29_000,
            MIN_PROGRESS_BYTES,
            false,
        ),
        ("a fast peer", 1, 65_536, false),
    ];
    for (name, wait_ms, bytes, expected) in rows {
        let mut progress = Progress::default();
        let mut now_ms = 0;
        let mut stalled_ms = None;
        while now_ms < 120_000 && stalled_ms.is_none() {
            progress.wait(at(now_ms));
            now_ms += wait_ms;
            if progress.remaining_ms(at(now_ms)) == 0 {
                stalled_ms = Some(now_ms);
            } else if bytes > 0 {
                progress.advance(bytes, at(now_ms));
            }
        }
        assert_eq!(stalled_ms.is_some(), expected, "{name}");
        assert!(stalled_ms.unwrap_or(0) <= 2 * STALL_WAIT_MS, "{name}");
    }
}

/// Guards against cutting a peer for times in which the node had nothing for it, and a
/// stream of small events that come in time.
#[test]
fn idle_time_and_whole_events_do_not_count_as_a_stall() {
    let mut progress = Progress::default();
    for second in 0..600 {
        let now_ms = second * 40_000;
        progress.wait(at(now_ms));
        progress.advance(1_000, at(now_ms + 1_000));
        assert!(progress.remaining_ms(at(now_ms + 39_000)) > 0);
    }
    for second in 0..600 {
        let now_ms = second * 25_000;
        progress.wait(at(now_ms));
        progress.advance(10, at(now_ms + 25_000));
        progress.complete();
        assert_eq!(progress.remaining_ms(at(now_ms + 25_000)), STALL_WAIT_MS);
    }
}
