//! The choice of endpoints under played loads.

mod support;

use std::collections::HashMap;

use hemlockhitch_model::{EndpointKey, Now};
use hemlockhitch_routing::allowance::ColdRate;
use hemlockhitch_routing::fleet::{Fleet, Load, Sign};
use hemlockhitch_routing::place::{Demand, Prompt, PromptPart, Wanted, choose_endpoint};
use support::{at, entry, fleet};

const SUBJECT_TOKENS: u64 = 6_000;

/// A prompt of two shared parts and one of its own.
fn parts(subject: u64, own: u64) -> [PromptPart; 3] {
    let part = |id, tokens| PromptPart { id, tokens };
    [
        part(1, 500),
        part(100 + subject, SUBJECT_TOKENS),
        part(10_000 + own, 800),
    ]
}

fn choose(fleet: &Fleet, parts: &[PromptPart], draw: u64, now: Now) -> Option<EndpointKey> {
    let home = "a".into();
    let service = "models".into();
    let tokens = parts.iter().map(|part| part.tokens).sum();
    let demand = Demand {
        service: &service,
        home: &home,
        tried: &[],
        prompt: (!parts.is_empty()).then_some(Prompt {
            model_hash: 7,
            parts,
            tokens,
            kept_ms: 8_000,
        }),
        cold: None,
        draw,
    };
    choose_endpoint(fleet, &demand, Wanted::Any, now)
}

fn name(fleet: &Fleet, key: Option<EndpointKey>) -> String {
    let endpoint = key.and_then(|key| fleet.get(key));
    endpoint.map_or("none".to_owned(), |endpoint| {
        endpoint.entry.name.to_string()
    })
}

/// Answers: requests about the same subject on the heavy days, where prompts that
/// are read again take the endpoints' time.
#[test]
fn nodes_send_a_subject_to_the_same_endpoint() {
    let fleet = fleet(9);
    for subject in 0..50 {
        let chosen: Vec<String> = (0..8)
            .map(|node| {
                let key = choose(&fleet, &parts(subject, node), node * 77, at(1_000));
                name(&fleet, key)
            })
            .collect();
        assert!(chosen.iter().all(|other| *other == chosen[0]), "{chosen:?}");
    }
}

/// Answers: a subject that gets much of the traffic must not make a hot spot.
#[test]
fn hot_subject_is_spread_before_queues_form() {
    let mut fleet = fleet(9);
    let mut counts: HashMap<EndpointKey, u32> = HashMap::new();
    for request in 0..90 {
        let key = choose(&fleet, &parts(1, request), request, at(1_000)).expect("a choice");
        let endpoint = fleet.get_mut(key).expect("known");
        endpoint.in_flight += 1;
        endpoint.unread_tokens += SUBJECT_TOKENS;
        *counts.entry(key).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert_eq!(counts.len(), 9, "every endpoint takes a part: {counts:?}");
    assert!(most <= 20, "one endpoint took {most} of 90");
}

#[test]
fn subjects_spread_over_the_endpoints() {
    let fleet = fleet(9);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for subject in 0..900 {
        let key = choose(&fleet, &parts(subject, subject), subject, at(1_000));
        *counts.entry(name(&fleet, key)).or_default() += 1;
    }
    assert_eq!(counts.len(), 9);
    assert!(
        counts.values().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn work_without_a_prompt_stays_at_home_until_home_is_busy() {
    let mut fleet = fleet(3);
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(0))), "e-0");
    let home = choose(&fleet, &[], 1, at(0)).expect("a choice");
    fleet.get_mut(home).expect("known").in_flight = 4;
    assert_ne!(name(&fleet, choose(&fleet, &[], 1, at(0))), "e-0");
}

/// Answers: an endpoint that fails part of its requests while its health is good.
#[test]
fn failing_endpoint_is_left_alone_and_comes_back() {
    let mut fleet = fleet(1);
    fleet.put(entry("good", "b", "v1"), at(0));
    let failing = choose(&fleet, &[], 1, at(0)).expect("a choice");
    assert_eq!(name(&fleet, Some(failing)), "e-0");
    for _ in 0..3 {
        fleet
            .get_mut(failing)
            .expect("known")
            .health
            .note(Sign::Bad, at(100));
    }
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(200))), "good");
    for _ in 0..12 {
        fleet
            .get_mut(failing)
            .expect("known")
            .health
            .note(Sign::Good, at(6_000));
    }
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(6_100))), "e-0");
}

#[test]
fn only_endpoint_is_asked_although_it_failed() {
    let mut fleet = fleet(1);
    let only = choose(&fleet, &[], 1, at(0)).expect("a choice");
    fleet
        .get_mut(only)
        .expect("known")
        .health
        .note(Sign::Unreachable, at(100));
    assert_eq!(choose(&fleet, &[], 1, at(200)), Some(only));
}

#[test]
fn draining_and_evacuated_endpoints_get_nothing() {
    let mut fleet = Fleet::default();
    let mut draining = entry("draining", "a", "v1");
    draining.draining = true;
    fleet.put(draining, at(0));
    fleet.put(entry("evacuated", "b", "v1"), at(0));
    fleet.set_evacuated("b".into(), true);
    assert_eq!(choose(&fleet, &[], 1, at(0)), None);
    fleet.set_evacuated("b".into(), false);
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(0))), "evacuated");
}

#[test]
fn versions_are_kept_apart() {
    let mut fleet = fleet(1);
    fleet.put(entry("new", "a", "v2"), at(0));
    let home = "a".into();
    let service = "models".into();
    let demand = Demand {
        service: &service,
        home: &home,
        tried: &[],
        prompt: None,
        cold: None,
        draw: 1,
    };
    let v2 = "v2".into();
    let only = choose_endpoint(&fleet, &demand, Wanted::Only(&v2), at(0));
    assert_eq!(name(&fleet, only), "new");
    let others = choose_endpoint(&fleet, &demand, Wanted::Not(&v2), at(0));
    assert_eq!(name(&fleet, others), "e-0");
}

#[test]
fn endpoint_that_started_again_under_its_name_is_a_new_one() {
    let mut fleet = fleet(1);
    let first = choose(&fleet, &[], 1, at(0)).expect("a choice");
    fleet.get_mut(first).expect("known").in_flight = 5;
    let mut again = entry("e-0", "a", "v1");
    again.started_unix_ms = Some(2);
    let (second, replaced) = fleet.put(again, at(10));
    assert_eq!(replaced, Some(first));
    assert_ne!(second, first);
    assert_eq!(fleet.get(second).expect("known").in_flight, 0);
    assert!(fleet.get(first).is_none());
}

#[test]
fn reported_queue_turns_requests_away_until_the_report_is_old() {
    let mut fleet = fleet(1);
    fleet.put(entry("other", "b", "v1"), at(0));
    let home = choose(&fleet, &[], 1, at(0)).expect("a choice");
    let load = Load {
        running: 8,
        waiting: 6,
        slots: 8,
    };
    fleet.get_mut(home).expect("known").note_load(load, at(0));
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(50))), "other");
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(8_000))), "e-0");
}

/// Answers: endpoints that come back cold while many nodes have work for them. The
/// bound is the one that the operator's platform states: 16 a second, times 1.5,
/// and 5.
#[test]
fn cold_endpoint_gets_its_bound_from_all_nodes_together() {
    for nodes in [1, 8, 12, 63, 340] {
        let hashes: Vec<u64> = (0..nodes)
            .map(|node| hemlockhitch_routing::hash_bytes(format!("node-{node}")))
            .collect();
        for endpoint in ["e-1", "e-2", "e-3"] {
            let parts = hashes.iter().map(|own_hash| {
                let rate = ColdRate {
                    all_per_s: 16.0 * 1.5 + 5.0,
                    own_hash: *own_hash,
                    node_hashes: &hashes,
                };
                rate.part_per_s(hemlockhitch_routing::hash_bytes(endpoint))
                    .floor()
            });
            let sum: f64 = parts.sum();
            assert!(sum <= 29.0, "{nodes} nodes: {sum}");
            assert!(sum >= 16.0, "{nodes} nodes leave it idle: {sum}");
        }
    }
}
