//! Allowances, freshness and suspicions.

mod support;

use hemlockhitch_routing::Freshness;
use hemlockhitch_routing::allowance::{Pace, RepeatSettings, Repeats};
use hemlockhitch_routing::suspect::Suspects;
use support::at;

const SETTINGS: RepeatSettings = RepeatSettings {
    per_request: 0.9,
    allowance: 56.0,
    window_ms: 10_000,
};

#[test]
fn pace_bounds_any_second() {
    let mut pace = Pace::default();
    let mut sent = Vec::new();
    for now_ms in (0..10_000).step_by(7) {
        if pace.allows(3.0, at(now_ms)) {
            pace.count(at(now_ms));
            sent.push(now_ms);
        }
    }
    for start in &sent {
        let within = sent
            .iter()
            .filter(|at| (*start..start + 1_000).contains(*at));
        assert!(within.count() <= 3);
    }
    assert!(sent.len() >= 24, "the pace is used: {}", sent.len());
}

#[test]
fn pace_below_one_a_second_spaces_sends() {
    let mut pace = Pace::default();
    pace.count(at(0));
    assert!(!pace.allows(0.5, at(2_000)));
    assert!(pace.allows(0.5, at(2_200)));
    assert!(!pace.allows(0.0, at(60_000)));
}

/// Answers: an outage in which every request of eight nodes wants to be repeated.
#[test]
fn repeats_of_all_nodes_stay_within_the_bound() {
    let nodes = 8;
    let mut repeats = vec![Repeats::default(); nodes];
    let mut sent = 0.0;
    for request in 0..800_u64 {
        let now = at(request * 12);
        let node = &mut repeats[(request % 8) as usize];
        node.count_first(SETTINGS, now);
        for _ in 0..2 {
            if node.allows(SETTINGS, 8, now) {
                node.count_repeat(SETTINGS, now);
                sent += 1.0;
            }
        }
    }
    assert!(sent <= 0.9 * 800.0 + 56.0, "{sent} repeats of 800 requests");
    assert!(sent >= 0.6 * 800.0, "{sent} repeats of 800 requests");
}

#[test]
fn freshness_counts_from_the_sending_of_a_call() {
    let mut freshness = Freshness::default();
    assert!(!freshness.holds(5_000, at(0)));
    freshness.confirm(at(1_000));
    freshness.confirm(at(500));
    assert_eq!(freshness.age_ms(at(3_000)), Some(2_000));
    assert!(freshness.holds(4_850, at(5_850)));
    assert!(!freshness.holds(4_850, at(5_851)));
}

#[test]
fn request_is_barred_after_its_third_crash_on_any_node() {
    let mut suspects = Suspects::default();
    suspects.note(7, at(0));
    suspects.note(7, at(10));
    assert!(!suspects.is_barred(7, at(20)));
    let mut other = Suspects::default();
    other.learn(7, 2, at(30));
    other.note(7, at(40));
    assert!(other.is_barred(7, at(50)));
    assert!(!other.is_barred(8, at(50)));
    suspects.learn(7, 3, at(60));
    assert!(suspects.is_barred(7, at(70)));
    suspects.clear(7);
    assert!(!suspects.is_barred(7, at(80)));
}
