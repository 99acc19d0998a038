//! Load balancing under simulated loads.

mod support;

use std::collections::HashMap;

use hemlockhitch_model::{EndpointKey, Now};
use hemlockhitch_routing::fleet::{Fleet, Load, Sign};
use hemlockhitch_routing::limits::ColdRate;
use hemlockhitch_routing::selection::{
    Prompt, PromptPart, SelectionRequest, VersionFilter, choose_endpoint,
};
use support::{at, entry, fleet};

const SHARED_PART_TOKENS: u64 = 6_000;

/// Returns a prompt of two shared parts and a unique one.
fn parts(shared: u64, unique: u64) -> [PromptPart; 3] {
    let part = |id, tokens| PromptPart { id, tokens };
    [
        part(1, 500),
        part(100 + shared, SHARED_PART_TOKENS),
        part(10_000 + unique, 800),
    ]
}

fn choose(fleet: &Fleet, parts: &[PromptPart], tie_breaker: u64, now: Now) -> Option<EndpointKey> {
    let local_data_centre = "a".into();
    let service = "models".into();
    let tokens = parts.iter().map(|part| part.tokens).sum();
    let request = SelectionRequest {
        service: &service,
        local_data_centre: &local_data_centre,
        tried: &[],
        prompt: (!parts.is_empty()).then_some(Prompt {
            model_hash: 7,
            parts,
            tokens,
            cache_ttl_ms: 8_000,
        }),
        cold_rate: None,
        tie_breaker,
    };
    choose_endpoint(fleet, &request, VersionFilter::Any, now)
}

fn name(fleet: &Fleet, key: Option<EndpointKey>) -> String {
    let endpoint = key.and_then(|key| fleet.get(key));
    endpoint.map_or("none".to_owned(), |endpoint| {
        endpoint.entry.name.to_string()
    })
}

/// Guards against repeated prefill at peak load: requests with the same shared prompt
/// on different nodes go to the same endpoint, where it is cached.
#[test]
fn nodes_send_a_shared_prompt_to_the_same_endpoint() {
    let fleet = fleet(9);
    for shared in 0..50 {
        let chosen: Vec<String> = (0..8)
            .map(|node| {
                let key = choose(&fleet, &parts(shared, node), node * 77, at(1_000));
                name(&fleet, key)
            })
            .collect();
        assert!(chosen.iter().all(|other| *other == chosen[0]), "{chosen:?}");
    }
}

/// Guards against a hot spot: a shared prompt that gets much of the traffic overloads
/// the endpoint that caches it.
#[test]
fn hot_shared_prompt_is_spread_before_queues_form() {
    let mut fleet = fleet(9);
    let mut counts: HashMap<EndpointKey, u32> = HashMap::new();
    for request in 0..90 {
        let key = choose(&fleet, &parts(1, request), request, at(1_000)).expect("a choice");
        let endpoint = fleet.get_mut(key).expect("known");
        endpoint.in_flight += 1;
        endpoint.pending_prefill_tokens += SHARED_PART_TOKENS;
        *counts.entry(key).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert_eq!(counts.len(), 9, "every endpoint gets requests: {counts:?}");
    assert!(most <= 20, "one endpoint took {most} of 90");
}

#[test]
fn shared_prompts_spread_over_the_endpoints() {
    let fleet = fleet(9);
    let mut counts: HashMap<String, u32> = HashMap::new();
    for shared in 0..900 {
        let key = choose(&fleet, &parts(shared, shared), shared, at(1_000));
        *counts.entry(name(&fleet, key)).or_default() += 1;
    }
    assert_eq!(counts.len(), 9);
    assert!(
        counts.values().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn request_without_a_prompt_stays_local_until_the_local_endpoint_is_busy() {
    let mut fleet = fleet(3);
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(0))), "e-0");
    let local = choose(&fleet, &[], 1, at(0)).expect("a choice");
    fleet.get_mut(local).expect("known").in_flight = 4;
    assert_ne!(name(&fleet, choose(&fleet, &[], 1, at(0))), "e-0");
}

/// Guards against sending requests to an endpoint that fails a part of them while it
/// reports good health.
#[test]
fn failing_endpoint_is_avoided_until_it_recovers() {
    let mut fleet = fleet(1);
    fleet.upsert(entry("good", "b", "v1"), at(0));
    let failing = choose(&fleet, &[], 1, at(0)).expect("a choice");
    assert_eq!(name(&fleet, Some(failing)), "e-0");
    for _ in 0..3 {
        fleet
            .get_mut(failing)
            .expect("known")
            .circuit_breaker
            .record(Sign::Bad, at(100));
    }
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(200))), "good");
    for _ in 0..12 {
        fleet
            .get_mut(failing)
            .expect("known")
            .circuit_breaker
            .record(Sign::Good, at(6_000));
    }
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(6_100))), "e-0");
}

#[test]
fn only_endpoint_is_chosen_although_it_failed() {
    let mut fleet = fleet(1);
    let only = choose(&fleet, &[], 1, at(0)).expect("a choice");
    fleet
        .get_mut(only)
        .expect("known")
        .circuit_breaker
        .record(Sign::Unreachable, at(100));
    assert_eq!(choose(&fleet, &[], 1, at(200)), Some(only));
}

#[test]
fn draining_and_evacuated_endpoints_get_no_requests() {
    let mut fleet = Fleet::default();
    let mut draining = entry("draining", "a", "v1");
    draining.draining = true;
    fleet.upsert(draining, at(0));
    fleet.upsert(entry("evacuated", "b", "v1"), at(0));
    fleet.set_evacuated("b".into(), true);
    assert_eq!(choose(&fleet, &[], 1, at(0)), None);
    fleet.set_evacuated("b".into(), false);
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(0))), "evacuated");
}

#[test]
fn version_filter_separates_versions() {
    let mut fleet = fleet(1);
    fleet.upsert(entry("new", "a", "v2"), at(0));
    let local_data_centre = "a".into();
    let service = "models".into();
    let request = SelectionRequest {
        service: &service,
        local_data_centre: &local_data_centre,
        tried: &[],
        prompt: None,
        cold_rate: None,
        tie_breaker: 1,
    };
    let v2 = "v2".into();
    let only = choose_endpoint(&fleet, &request, VersionFilter::Only(&v2), at(0));
    assert_eq!(name(&fleet, only), "new");
    let others = choose_endpoint(&fleet, &request, VersionFilter::Except(&v2), at(0));
    assert_eq!(name(&fleet, others), "e-0");
}

#[test]
fn endpoint_restarted_under_its_name_gets_a_new_key() {
    let mut fleet = fleet(1);
    let former_key = choose(&fleet, &[], 1, at(0)).expect("a choice");
    fleet.get_mut(former_key).expect("known").in_flight = 5;
    let mut restarted = entry("e-0", "a", "v1");
    restarted.started_unix_ms = Some(2);
    let (new_key, replaced) = fleet.upsert(restarted, at(10));
    assert_eq!(replaced, Some(former_key));
    assert_ne!(new_key, former_key);
    assert_eq!(fleet.get(new_key).expect("known").in_flight, 0);
    assert!(fleet.get(former_key).is_none());
}

#[test]
fn reported_queue_diverts_requests_until_the_report_is_old() {
    let mut fleet = fleet(1);
    fleet.upsert(entry("other", "b", "v1"), at(0));
    let local = choose(&fleet, &[], 1, at(0)).expect("a choice");
    let load = Load {
        running: 8,
        waiting: 6,
        slots: 8,
    };
    fleet
        .get_mut(local)
        .expect("known")
        .record_load(load, at(0));
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(50))), "other");
    assert_eq!(name(&fleet, choose(&fleet, &[], 1, at(8_000))), "e-0");
}

/// Guards against overload of endpoints that restart cold while many nodes have
/// requests for them. The platform's limit is 16 requests per second, times 1.5, plus
/// 5.
#[test]
fn nodes_together_keep_the_rate_limit_of_a_cold_endpoint() {
    for nodes in [1, 8, 12, 63, 340] {
        let hashes: Vec<u64> = (0..nodes)
            .map(|node| hemlockhitch_routing::hash_bytes(format!("node-{node}")))
            .collect();
        for endpoint in ["e-1", "e-2", "e-3"] {
            let node_rates = hashes.iter().map(|own_node_hash| {
                let rate = ColdRate {
                    total_per_s: 16.0 * 1.5 + 5.0,
                    own_node_hash: *own_node_hash,
                    node_hashes: &hashes,
                };
                rate.node_rate_per_s(hemlockhitch_routing::hash_bytes(endpoint))
                    .floor()
            });
            let sum: f64 = node_rates.sum();
            assert!(sum <= 29.0, "{nodes} nodes: {sum}");
            assert!(sum >= 16.0, "{nodes} nodes leave it idle: {sum}");
        }
    }
}
