//! Endpoints that leave, ask for a pause, or reappear in a restored copy of the store.

mod support;

use std::collections::BTreeMap;

use hemlockhitch_model::{EndpointKey, Now, hash_bytes};
use hemlockhitch_routing::fleet::{EndpointEntry, Fleet, Outstanding};
use hemlockhitch_routing::limits::{NodeShares, PauseSettings, RequestedPause};
use hemlockhitch_routing::selection::{SelectionRequest, VersionFilter, choose_endpoint};
use support::{at, entry, fleet};

fn choose_version(fleet: &Fleet, filter: VersionFilter<'_>, now: Now) -> Option<EndpointKey> {
    let request = SelectionRequest {
        service: &"models".into(),
        local_data_centre: &"a".into(),
        tried: &[],
        body_bytes: 0,
        prompt: None,
        nodes: NodeShares::default(),
        cold_rate: None,
        tie_breaker: now.mono_ms,
    };
    choose_endpoint(fleet, &request, filter, now).map(|choice| choice.endpoint)
}

fn choose(fleet: &Fleet, now: Now) -> Option<EndpointKey> {
    choose_version(fleet, VersionFilter::Any, now)
}

fn key_of(fleet: &Fleet, name: &str) -> EndpointKey {
    let service = "models".into();
    let mut endpoints = fleet.of_service(&service);
    let found = endpoints.find(|(_, endpoint)| endpoint.entry.name.as_str() == name);
    found.expect("listed").0
}

fn restarted(name: &str) -> EndpointEntry {
    EndpointEntry {
        started_unix_ms: Some(2),
        ..entry(name, "a", "v1")
    }
}

fn settings(node: &str) -> PauseSettings {
    PauseSettings {
        node_hash: hash_bytes(node),
        max_pause_ms: 60_000,
    }
}

#[test]
fn leaving_endpoint_gets_nothing_until_another_instance_takes_its_place() {
    let mut fleet = fleet(1);
    let leaving = key_of(&fleet, "e-0");
    assert!(fleet.record_leaving(leaving, at(0)));
    assert!(!fleet.record_leaving(leaving, at(1)), "known already");
    for mono_ms in [0, 10_000, 3_600_000] {
        assert_eq!(choose(&fleet, at(mono_ms)), None);
    }
    fleet.upsert(restarted("e-0"), at(3_600_000));
    assert!(choose(&fleet, at(3_600_000)).is_some());
}

/// A registration may lapse while the store is down, and return.
#[test]
fn leaving_endpoint_stays_so_when_its_registration_returns() {
    let mut fleet = fleet(1);
    fleet.record_leaving(key_of(&fleet, "e-0"), at(0));
    fleet.remove(&"e-0".into(), at(1));
    fleet.upsert(entry("e-0", "a", "v1"), at(2));
    assert_eq!(choose(&fleet, at(3)), None);
}

#[test]
fn leaving_endpoint_is_made_known_to_a_node_that_lists_it_later() {
    let mut informed = fleet(3);
    informed.record_leaving(key_of(&informed, "e-1"), at(0));
    let hashes: Vec<u64> = informed.leaving().collect();
    let mut starting = Fleet::default();
    starting.merge_leaving(hashes, at(5));
    for index in 0..3 {
        starting.upsert(entry(&format!("e-{index}"), "a", "v1"), at(6));
    }
    let leaving = key_of(&starting, "e-1");
    for mono_ms in 6..100 {
        assert_ne!(choose(&starting, at(mono_ms)), Some(leaving));
    }
}

/// Bounds what nodes exchange: a draining registration says as much.
#[test]
fn leaving_endpoint_is_no_longer_passed_on_once_it_is_listed_as_draining() {
    let mut fleet = fleet(1);
    fleet.record_leaving(key_of(&fleet, "e-0"), at(0));
    assert_eq!(fleet.leaving().count(), 1);
    let draining = EndpointEntry {
        draining: true,
        ..entry("e-0", "a", "v1")
    };
    fleet.upsert(draining, at(1));
    assert_eq!(fleet.leaving().count(), 0);
}

#[test]
fn leaving_endpoint_that_is_the_last_of_its_version_leaves_the_version_without_any() {
    let mut fleet = fleet(2);
    fleet.upsert(entry("new", "a", "v2"), at(0));
    fleet.record_leaving(key_of(&fleet, "new"), at(0));
    let version = "v2".into();
    assert_eq!(
        choose_version(&fleet, VersionFilter::Only(&version), at(1)),
        None
    );
    assert!(choose_version(&fleet, VersionFilter::Except(&version), at(1)).is_some());
}

#[test]
fn endpoint_pause_keeps_every_request_away_until_its_end() {
    let mut fleet = fleet(1);
    let key = key_of(&fleet, "e-0");
    fleet.get_mut(key).expect("listed").record_pause(800, at(0));
    let service = "models".into();
    for mono_ms in [0, 1, 400, 799] {
        assert_eq!(choose(&fleet, at(mono_ms)), None, "{mono_ms}");
        let resumption_ms =
            fleet.earliest_resumption_ms(&service, NodeShares::default(), at(mono_ms));
        assert_eq!(resumption_ms, Some(800 - mono_ms));
    }
    assert_eq!(choose(&fleet, at(800)), Some(key));
    assert_eq!(
        fleet.earliest_resumption_ms(&service, NodeShares::default(), at(800)),
        None
    );
}

#[test]
fn endpoint_pause_ends_at_the_latest_requested_time() {
    let mut fleet = fleet(1);
    let key = key_of(&fleet, "e-0");
    let endpoint = fleet.get_mut(key).expect("listed");
    endpoint.record_pause(2_000, at(0));
    endpoint.record_pause(300, at(100));
    assert_eq!(endpoint.pause_remaining_ms(at(500)), 1_500);
}

#[test]
fn endpoint_pause_of_one_sends_requests_to_the_others() {
    let mut fleet = fleet(3);
    let paused = key_of(&fleet, "e-0");
    fleet
        .get_mut(paused)
        .expect("listed")
        .record_pause(5_000, at(0));
    let service = "models".into();
    assert_eq!(
        fleet.earliest_resumption_ms(&service, NodeShares::default(), at(1)),
        None
    );
    for mono_ms in 1..200 {
        let chosen = choose(&fleet, at(mono_ms));
        assert!(chosen.is_some_and(|chosen| chosen != paused));
    }
}

#[test]
fn endpoint_pause_that_is_invalid_is_bounded() {
    let settings = settings("node-1");
    let years = RequestedPause::Ms(u64::MAX);
    assert!(settings.pause_ms(years, 7) <= 61_000);
    assert!(settings.is_invalid(years));
    assert_eq!(settings.pause_ms(RequestedPause::Unreadable, 7), 0);
    assert!(settings.is_invalid(RequestedPause::Unreadable));
    assert!(!settings.is_invalid(RequestedPause::Ms(60_000)));
}

/// Plays 60 nodes that were turned away at the same moment by an endpoint with 8 slots
/// that takes 100 ms for a request. Without the stagger all 60 return in the same tenth
/// of a second.
#[test]
fn endpoint_pause_ends_at_different_times_on_different_nodes() {
    let mut returns_by_tenth: BTreeMap<u64, u32> = BTreeMap::new();
    for node in 0..60 {
        let settings = settings(&format!("node-{node}"));
        let pause_ms = settings.pause_ms(RequestedPause::Ms(2_000), 7);
        assert!((2_000..=3_000).contains(&pause_ms), "{pause_ms}");
        *returns_by_tenth.entry(pause_ms / 100).or_default() += 1;
    }
    let most = returns_by_tenth.values().max().copied();
    assert!(most <= Some(16), "{returns_by_tenth:?}");
}

/// A hint of another node makes the endpoint the last choice, but not a forbidden one.
#[test]
fn endpoint_pause_of_another_node_counts_in_the_cost() {
    let mut fleet = fleet(1);
    let hinted = key_of(&fleet, "e-0");
    let hint = Outstanding {
        pause_remaining_ms: 1_000,
        ..Outstanding::default()
    };
    fleet.record_peer_requests(&"a".into(), |_| hint, at(0));
    assert_eq!(choose(&fleet, at(1)), Some(hinted), "there is no other");
    fleet.upsert(entry("other", "b", "v1"), at(1));
    assert_ne!(choose(&fleet, at(2)), Some(hinted));
    assert_eq!(choose(&fleet, at(1_001)), Some(hinted), "the pause is over");
}

#[test]
fn store_epoch_restores_no_endpoint_that_was_gone_or_replaced() {
    let mut fleet = fleet(1);
    fleet.remove(&"e-0".into(), at(0));
    let gone = entry("e-0", "a", "v1");
    assert!(fleet.is_outdated(&gone, at(1)));
    assert!(!fleet.is_outdated(&restarted("e-0"), at(1)));
    assert!(!fleet.is_outdated(&entry("other", "a", "v1"), at(1)));
    fleet.upsert(restarted("e-0"), at(2));
    assert!(fleet.is_outdated(&gone, at(60_000)), "replaced");
}

#[test]
fn store_epoch_does_not_end_the_draining_of_an_endpoint() {
    let mut fleet = fleet(1);
    let draining = EndpointEntry {
        draining: true,
        ..entry("e-0", "a", "v1")
    };
    fleet.upsert(draining, at(0));
    fleet.upsert(entry("e-0", "a", "v1"), at(1));
    assert_eq!(choose(&fleet, at(2)), None);
    fleet.upsert(restarted("e-0"), at(3));
    assert!(choose(&fleet, at(4)).is_some());
}

#[test]
fn removed_endpoint_that_registers_again_keeps_its_key_and_pause() {
    let mut fleet = fleet(1);
    let key = key_of(&fleet, "e-0");
    let endpoint = fleet.get_mut(key).expect("listed");
    endpoint.record_pause(10_000, at(0));
    endpoint.in_flight = 2;
    assert_eq!(fleet.remove(&"e-0".into(), at(1_000)), Some(key));
    assert!(fleet.get(key).is_none());
    assert_eq!(choose(&fleet, at(1_000)), None);
    // A request that was under way ends in between.
    fleet.get_mut(key).expect("remembered").in_flight -= 1;
    assert_eq!(
        fleet.upsert(entry("e-0", "a", "v1"), at(2_000)),
        (key, None)
    );
    assert_eq!(choose(&fleet, at(2_000)), None);
    assert_eq!(fleet.get(key).expect("listed").in_flight, 1);
    assert_eq!(choose(&fleet, at(10_000)), Some(key));
}

#[test]
fn removed_endpoint_that_restarted_or_returns_late_has_no_history() {
    for (returned, at_ms) in [(restarted("e-0"), 2_000), (entry("e-0", "a", "v1"), 61_000)] {
        let mut fleet = fleet(1);
        let key = key_of(&fleet, "e-0");
        let endpoint = fleet.get_mut(key).expect("listed");
        endpoint.record_pause(100_000, at(0));
        fleet.remove(&"e-0".into(), at(1_000));
        let (new_key, _) = fleet.upsert(returned, at(at_ms));
        assert_ne!(new_key, key);
        assert_eq!(choose(&fleet, at(at_ms)), Some(new_key));
    }
}

/// An entry of another writer may lack the start time.
#[test]
fn registration_without_a_start_time_shows_no_restart() {
    let mut fleet = fleet(1);
    let key = key_of(&fleet, "e-0");
    fleet.record_leaving(key, at(0));
    let unknown_start = EndpointEntry {
        started_unix_ms: None,
        ..entry("e-0", "a", "v1")
    };
    assert_eq!(fleet.upsert(unknown_start, at(1)), (key, None));
    assert_eq!(choose(&fleet, at(1)), None);
    let (new_key, replaced) = fleet.upsert(restarted("e-0"), at(2));
    assert_eq!(replaced, Some(key));
    assert_eq!(choose(&fleet, at(2)), Some(new_key));
}
