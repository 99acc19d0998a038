//! Rate limits, the retry budget and freshness.

mod support;

use hemlockhitch_routing::Freshness;
use hemlockhitch_routing::limits::{ByteBudget, RateLimiter, RetryBudget, RetryBudgetSettings};
use support::at;

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    retries_per_request: 0.9,
    shared_retries: 56.0,
    window_ms: 10_000,
};

#[test]
fn rate_limiter_bounds_every_second() {
    let mut limiter = RateLimiter::default();
    let mut sent = Vec::new();
    for now_ms in (0..10_000).step_by(7) {
        if limiter.allows(3.0, at(now_ms)) {
            limiter.record(at(now_ms));
            sent.push(now_ms);
        }
    }
    for start in &sent {
        let within = sent
            .iter()
            .filter(|at| (*start..start + 1_000).contains(*at));
        assert!(within.count() <= 3);
    }
    assert!(sent.len() >= 24, "the rate is used: {}", sent.len());
}

#[test]
fn rate_below_one_per_second_spaces_requests() {
    let mut limiter = RateLimiter::default();
    limiter.record(at(0));
    assert!(!limiter.allows(0.5, at(2_000)));
    assert!(limiter.allows(0.5, at(2_200)));
    assert!(!limiter.allows(0.0, at(60_000)));
}

/// Guards against a retry storm: an outage in which each request on each of eight nodes
/// fails and is retried.
#[test]
fn retries_of_all_nodes_stay_within_the_budget() {
    let nodes = 8;
    let mut retry_budgets = vec![RetryBudget::default(); nodes];
    let mut sent = 0.0;
    for request in 0..800_u64 {
        let now = at(request * 12);
        let budget = &mut retry_budgets[(request % 8) as usize];
        budget.record_request(SETTINGS, now);
        for _ in 0..2 {
            if budget.allows(SETTINGS, 8, now) {
                budget.record_retry(SETTINGS, now);
                sent += 1.0;
            }
        }
    }
    assert!(sent <= 0.9 * 800.0 + 56.0, "{sent} retries of 800 requests");
    assert!(sent >= 0.6 * 800.0, "{sent} retries of 800 requests");
}

#[test]
fn freshness_counts_from_the_send_time_of_a_call() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_fresh(5_000, at(0)));
    freshness.confirm(at(1_000), 0);
    freshness.confirm(at(500), 0);
    assert_eq!(freshness.age_ms(at(3_000)), Some(2_000));
    assert!(freshness.is_fresh(4_850, at(5_850)));
    assert!(!freshness.is_fresh(4_850, at(5_851)));
}

/// Load: a hundred nodes that restart ask one for the whole content of the store, a
/// megabyte each, over a link of 25 MB/s of which a quarter is for that.
#[test]
fn byte_budget_bounds_the_complete_replies_of_a_node() {
    let mut budget = ByteBudget::new(6_250_000);
    let granted = (0..100)
        .filter(|_| budget.take(1_000_000, at(1_000)))
        .count();
    assert_eq!(granted, 6, "the others are sent elsewhere at once");
    assert!(!budget.take(1_000_000, at(1_999)));
    assert!(budget.take(10_000_000, at(2_000)), "a large one goes alone");
    assert!(!budget.take(1, at(2_500)));
}
