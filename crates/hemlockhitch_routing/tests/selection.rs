//! Load balancing under simulated loads.

mod support;

use std::collections::HashMap;

use hemlockhitch_model::{EndpointKey, Now};
use hemlockhitch_routing::fleet::{Fleet, Load, Sign};
use hemlockhitch_routing::limits::{ColdRate, NodeShares};
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
        body_bytes: 0,
        prompt: (!parts.is_empty()).then_some(Prompt {
            model_hash: 7,
            model_size: 0,
            parts,
            tokens,
            cache_ttl_ms: 8_000,
        }),
        nodes: NodeShares::default(),
        cold_rate: None,
        tie_breaker,
    };
    let choice = choose_endpoint(fleet, &request, VersionFilter::Any, now);
    choice.map(|choice| choice.endpoint)
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
        body_bytes: 0,
        prompt: None,
        nodes: NodeShares::default(),
        cold_rate: None,
        tie_breaker: 1,
    };
    let v2 = "v2".into();
    let chosen = |filter| {
        let choice = choose_endpoint(&fleet, &request, filter, at(0));
        name(&fleet, choice.map(|choice| choice.endpoint))
    };
    assert_eq!(chosen(VersionFilter::Only(&v2)), "new");
    assert_eq!(chosen(VersionFilter::Except(&v2)), "e-0");
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
        work_time: None,
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
                    nodes: NodeShares {
                        own_node_hash: *own_node_hash,
                        node_hashes: &hashes,
                    },
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

/// Load: prompts of three lengths arrive at endpoints that prefill them one after the
/// other, and each answer of the smallest model is followed by one of the largest with a
/// probability of two fifths. The largest takes ten times as long for a token.
struct PrefillLoad {
    fleet: Fleet,
    /// When each endpoint has prefilled all its prompts, in milliseconds.
    busy_until_ms: HashMap<EndpointKey, f64>,
    /// Prompts under way: time of the first event, endpoint and counted work.
    under_way: Vec<(f64, EndpointKey, u64)>,
    late: u32,
    requests: u32,
}

impl PrefillLoad {
    /// Tokens that an endpoint prefills in a millisecond for the smallest and the largest
    /// model.
    const TOKENS_PER_MS: [f64; 2] = [250.0, 25.0];

    /// Time to a first event without any queue, in milliseconds.
    const UNLOADED_MS: f64 = 70.0;

    fn send(&mut self, tokens: u64, is_largest: bool, id: u64, now_ms: f64) -> f64 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let now = at(now_ms as u64);
        for (_, key, work) in self.under_way.extract_if(.., |(at, ..)| *at <= now_ms) {
            let endpoint = self.fleet.get_mut(key).expect("known");
            endpoint.pending_prefill_tokens -= work;
            endpoint.in_flight -= 1;
        }
        let service = "models".into();
        let local_data_centre = "a".into();
        let prompt_part = PromptPart { id, tokens };
        let request = SelectionRequest {
            service: &service,
            local_data_centre: &local_data_centre,
            tried: &[],
            body_bytes: 0,
            prompt: Some(Prompt {
                model_hash: u64::from(is_largest),
                model_size: if is_largest { 2 } else { 0 },
                parts: &[prompt_part],
                tokens,
                cache_ttl_ms: 8_000,
            }),
            nodes: NodeShares::default(),
            cold_rate: None,
            tie_breaker: id,
        };
        let choice = choose_endpoint(&self.fleet, &request, VersionFilter::Any, now);
        let choice = choice.expect("a choice");
        #[allow(clippy::cast_precision_loss)]
        let work_ms = tokens as f64 / Self::TOKENS_PER_MS[usize::from(is_largest)];
        let busy_until_ms = self.busy_until_ms.entry(choice.endpoint).or_default();
        *busy_until_ms = busy_until_ms.max(now_ms) + work_ms;
        let first_event_ms = *busy_until_ms + Self::UNLOADED_MS;
        let endpoint = self.fleet.get_mut(choice.endpoint).expect("known");
        endpoint.in_flight += 1;
        endpoint.pending_prefill_tokens += choice.prefill_cost_tokens;
        self.under_way
            .push((first_event_ms, choice.endpoint, choice.prefill_cost_tokens));
        first_event_ms - now_ms
    }

    fn record(&mut self, took_ms: f64, objective_ms: f64) {
        self.requests += 1;
        self.late += u32::from(took_ms > objective_ms);
    }
}

/// Guards against queues behind long prompts of the largest model, which count for ten
/// times their length.
#[test]
fn short_prompts_avoid_endpoints_that_prefill_for_the_largest_model() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut load = PrefillLoad {
        fleet: fleet(9),
        busy_until_ms: HashMap::new(),
        under_way: Vec::new(),
        late: 0,
        requests: 0,
    };
    let mut now_ms = 0.0;
    for id in 0..6_000 {
        now_ms += 13.0 * (0.5 + rng.f64());
        let tokens = [700, 2_400, 9_000][rng.usize(..3)];
        let took_ms = load.send(tokens, false, id, now_ms);
        if rng.u32(..5) < 2 {
            load.send(tokens, true, id, now_ms);
        }
        load.record(took_ms, 300.0);
    }
    let late_ratio = f64::from(load.late) / f64::from(load.requests);
    assert!(
        late_ratio < 0.05,
        "{late_ratio} of the first events are late"
    );
}

/// Plays prompts of different sizes at a node whose own data centre is busier than the
/// other: traffic between data centres is charged by volume, so that short prompts go
/// there and long ones stay.
#[test]
fn long_bodies_stay_in_the_data_centre_where_short_ones_leave_it() {
    let mut fleet = Fleet::default();
    fleet.upsert(entry("local", "a", "v1"), at(0));
    fleet.upsert(entry("remote", "b", "v1"), at(0));
    let local = choose(&fleet, &parts(1, 1), 0, at(0)).expect("a choice");
    fleet.get_mut(local).expect("known").pending_prefill_tokens = 12_000;
    let chosen = |body_bytes| {
        let request = SelectionRequest {
            service: &"models".into(),
            local_data_centre: &"a".into(),
            tried: &[],
            body_bytes,
            prompt: Some(Prompt {
                model_hash: 7,
                model_size: 0,
                parts: &[],
                tokens: 1_000,
                cache_ttl_ms: 8_000,
            }),
            nodes: NodeShares::default(),
            cold_rate: None,
            tie_breaker: 5,
        };
        let choice = choose_endpoint(&fleet, &request, VersionFilter::Any, at(0));
        name(&fleet, choice.map(|choice| choice.endpoint))
    };
    assert_eq!(chosen(1_500), "remote");
    assert_eq!(chosen(17_000), "local");
}
