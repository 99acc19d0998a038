//! Lookup of routes, organisations and services.

use hemlockhitch_routing::catalogue::{Catalogue, Organisation, Route, WeightedService};
use hemlockhitch_routing::retry::RouteKind;

fn route(name: &str, prefix: &str) -> Route {
    let weighted = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    Route {
        name: name.to_owned(),
        host: "Shop.Example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        slo_ms: 100,
        inter_event_slo_ms: None,
        priority: 0,
        max_attempts: 2,
        public: false,
        sizes: Vec::new(),
        services: vec![weighted("models", 90), weighted("others", 10)],
    }
}

fn catalogue() -> Catalogue {
    let organisation = Organisation {
        name: "leicester".into(),
        priority: None,
    };
    Catalogue::new(3)
        .organisation(organisation, ["key-1".to_owned(), "key-2".to_owned()])
        .routes([route("short", "/a/"), route("long", "/a/b/")])
}

#[test]
fn longest_matching_prefix_of_the_host_wins() {
    let catalogue = catalogue();
    let name = |host: &str, path: &str| {
        let route = catalogue.find_route(host, path);
        route.map_or("none", |route| route.name.as_str()).to_owned()
    };
    assert_eq!(name("shop.example", "/a/x"), "short");
    assert_eq!(name("SHOP.example:8080", "/a/b/x"), "long");
    assert_eq!(name("shop.example", "/a/b"), "short");
    assert_eq!(name("shop.example", "/a"), "none");
    assert_eq!(name("other.example", "/a/x"), "none");
}

#[test]
fn api_keys_identify_their_organisation() {
    let catalogue = catalogue();
    let found = catalogue.find_organisation("key-2").expect("known");
    assert_eq!(found.name.as_str(), "leicester");
    assert!(catalogue.find_organisation("key-3").is_none());
}

#[test]
fn services_are_chosen_by_weight() {
    let route = route("short", "/a/");
    let others = (0..1_000).filter(|draw| {
        let service = route.choose_service(*draw);
        service.is_some_and(|service| service.as_str() == "others")
    });
    assert_eq!(others.count(), 100);
}
