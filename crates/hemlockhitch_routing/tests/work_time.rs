//! The estimate of how long work takes at an endpoint, and its effect on the choice.

mod support;

use hemlockhitch_model::mix;
use hemlockhitch_routing::fleet::work_time::{
    MAX_MEAN_AGE_MS, MAX_PERCENT, MAX_READING_AGE_MS, MIN_PERCENT,
};
use hemlockhitch_routing::fleet::{
    CircuitBreaker, Fleet, Load, Sign, StatedWorkTime, WorkTimeEstimate,
};
use hemlockhitch_routing::limits::NodeShares;
use hemlockhitch_routing::selection::{
    Prompt, PromptPart, SelectionRequest, VersionFilter, choose_endpoint,
};
use support::{at, entry, fleet};

/// Returns the estimate after readings of an endpoint that is slow in each third turn.
fn estimate(turn_ms: u64, interval_ms: u64) -> WorkTimeEstimate {
    let mut estimate = WorkTimeEstimate::new(StatedWorkTime::Percent(100), at(0));
    for now_ms in (0..30_000).step_by(usize::try_from(interval_ms).expect("small")) {
        estimate.record(percent((now_ms / turn_ms).is_multiple_of(3)), at(now_ms));
    }
    estimate
}

fn percent(is_slow: bool) -> StatedWorkTime {
    StatedWorkTime::Percent(if is_slow { 300 } else { 100 })
}

fn load(work_time: Option<StatedWorkTime>) -> Load {
    Load {
        running: 0,
        waiting: 0,
        slots: 8,
        work_time,
    }
}

/// Guards against use of a reading after the figure has probably changed, and against
/// neglect of one that still holds.
#[test]
fn weight_of_a_reading_falls_as_fast_as_the_figure_changes() {
    // About two thirds of a turn, within the bounds of the estimate.
    for (turn_ms, expected_ms) in [
        (100, 50.0..=80.0),
        (600, 300.0..=500.0),
        (2_000, 1_100.0..=1_700.0),
        (6_000, 2_000.0..=2_000.0),
    ] {
        let constant_ms = estimate(turn_ms, 50).time_constant_ms();
        assert!(
            expected_ms.contains(&constant_ms),
            "turns of {turn_ms} ms: {constant_ms}"
        );
    }
    // Readings too rare to show the changes tell nothing about the next moment.
    assert!(estimate(100, 700).time_constant_ms() < 700.0);
}

#[test]
fn estimate_returns_to_the_mean_and_then_to_the_usual_time() {
    let mut estimate = estimate(600, 50);
    estimate.record(percent(true), at(30_000));
    let after = |age_ms| estimate.percent(at(30_000 + age_ms));
    assert!((after(0) - 300.0).abs() < 0.1);
    let mean_percent = 100.0 + 200.0 / 3.0;
    assert!(
        (after(3_000) - mean_percent).abs() < 40.0,
        "{}",
        after(3_000)
    );
    assert_eq!(
        estimate.reading_weight(at(30_000 + MAX_READING_AGE_MS)),
        0.0
    );
    assert_eq!(after(MAX_MEAN_AGE_MS), 100.0);
}

/// Guards against a false figure that attracts or repels every request.
#[test]
fn false_figures_are_clamped() {
    for (stated, expected) in [(0, MIN_PERCENT), (1_000_000, MAX_PERCENT), (300, 300)] {
        let estimate = WorkTimeEstimate::new(StatedWorkTime::Percent(stated), at(0));
        assert_eq!(estimate.percent(at(0)), f64::from(expected));
    }
    let estimate = WorkTimeEstimate::new(StatedWorkTime::Unreadable, at(0));
    assert_eq!(estimate.percent(at(0)), 100.0);
}

#[test]
fn reading_that_arrives_late_does_not_replace_a_later_one() {
    let mut estimate = WorkTimeEstimate::new(percent(true), at(500));
    estimate.record(percent(false), at(400));
    assert_eq!(estimate.percent(at(500)), 300.0);
}

#[test]
fn endpoint_that_no_longer_states_its_work_time_works_as_usual() {
    let mut fleet = fleet(1);
    let (key, _) = fleet.upsert(entry("e-0", "a", "v1"), at(0));
    let endpoint = fleet.get_mut(key).expect("known");
    endpoint.record_load(load(None), at(0));
    assert_eq!(endpoint.work_time(), None);
    assert!(endpoint.record_load(load(Some(StatedWorkTime::Unreadable)), at(1)));
    assert!(!endpoint.record_load(load(Some(StatedWorkTime::Unreadable)), at(2)));
    endpoint.record_load(load(Some(percent(true))), at(10));
    assert_eq!(endpoint.slowdown_ratio(at(10)), 2.0);
    endpoint.record_load(load(None), at(20));
    assert!(endpoint.slowdown_ratio(at(20)).abs() < 0.01);
}

/// Returns a request, with or without a prompt, and its endpoint in a fleet.
fn choose(fleet: &Fleet, prompt: Option<&[PromptPart]>, tie_breaker: u64, at_ms: u64) -> usize {
    let tokens = |parts: &[PromptPart]| parts.iter().map(|part| part.tokens).sum();
    let request = SelectionRequest {
        service: &"models".into(),
        local_data_centre: &"a".into(),
        tried: &[],
        body_bytes: tie_breaker % 5_000,
        prompt: prompt.map(|parts| Prompt {
            model_hash: 7,
            model_size: usize::try_from(tie_breaker % 3).expect("small"),
            parts,
            tokens: tokens(parts),
            cache_ttl_ms: 8_000,
        }),
        nodes: NodeShares::default(),
        cold_rate: None,
        tie_breaker,
    };
    let choice = choose_endpoint(fleet, &request, VersionFilter::Any, at(at_ms));
    let key = choice.expect("a choice").endpoint;
    let names = fleet.get(key).expect("known").entry.name.as_str();
    names[2..].parse().expect("a number")
}

#[test]
fn slow_endpoint_gets_requests_when_the_others_are_full() {
    let mut fleet = Fleet::default();
    let keys = ["e-0", "e-1"].map(|name| fleet.upsert(entry(name, "a", "v1"), at(0)).0);
    let slow = fleet.get_mut(keys[0]).expect("known");
    slow.record_load(load(Some(percent(true))), at(0));
    let part = [PromptPart { id: 1, tokens: 900 }];
    for prompt in [None, Some(&part[..])] {
        for in_flight in 0..=8 {
            fleet.get_mut(keys[1]).expect("known").in_flight = in_flight;
            let chosen = choose(&fleet, prompt, 1, 10);
            match (prompt.is_some(), in_flight) {
                (_, 8) => assert_eq!(chosen, 0, "the other is full"),
                (false, _) | (true, ..=4) => assert_eq!(chosen, 1, "{in_flight}"),
                (true, _) => {}
            }
        }
    }
}

/// Guards against another choice at endpoints that never state their work time: the digest
/// of the choices is that of 6929ef1, where the figure was not read.
#[test]
fn endpoints_that_never_state_their_work_time_are_chosen_as_before() {
    let mut rng = fastrand::Rng::with_seed(23);
    let mut digest = 0;
    for _ in 0..400 {
        let mut fleet = Fleet::default();
        for index in 0..rng.usize(1..20) {
            let data_centre = ["a", "b"][rng.usize(..2)];
            let (key, _) = fleet.upsert(entry(&format!("e-{index}"), data_centre, "v1"), at(0));
            let endpoint = fleet.get_mut(key).expect("known");
            endpoint.in_flight = rng.u32(..10);
            endpoint.pending_prefill_tokens = rng.u64(..20_000);
            endpoint.circuit_breaker = CircuitBreaker::default();
            if rng.u8(..4) == 0 {
                endpoint.circuit_breaker.record(Sign::Bad, at(100));
            }
            let load = Load {
                running: rng.u32(..10),
                waiting: rng.u32(..4),
                ..load(None)
            };
            endpoint.record_load(load, at(rng.u64(100..2_000)));
        }
        for request in 0..20 {
            let parts = [1, 2].map(|_| PromptPart {
                id: rng.u64(..50),
                tokens: rng.u64(..9_000),
            });
            let prompt = (request % 2 == 0).then_some(&parts[..]);
            let chosen = choose(&fleet, prompt, rng.u64(..), 2_000);
            digest = mix(digest, chosen as u64);
        }
    }
    assert_eq!(digest, 3_748_762_331_725_067_346);
}
