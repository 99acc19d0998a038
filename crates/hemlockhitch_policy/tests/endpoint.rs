//! Endpoint choice: order, affinity and load against other rules.

use std::collections::HashSet;

use fastrand::Rng;
use hemlockhitch_config::configuration::{
    DataCentre, Endpoint, OrderCheck, PlannedStop, StopTarget,
};
use hemlockhitch_config::{Configuration, RoutingTable, Row, VersionedRow};
use hemlockhitch_model::{EndpointKey, Key, Now};
use hemlockhitch_policy::endpoint::{EndpointLoad, EndpointPool, Placement, order_endpoints};

const WARM: u32 = 8;

fn at(mono_ms: u64) -> Now {
    Now {
        mono_ms,
        unix_ms: 1_700_000_000_000 + mono_ms,
    }
}

/// Builds a table with `each` endpoints in every data centre.
fn table(centres: &[&str], each: usize, more: impl IntoIterator<Item = Row>) -> RoutingTable {
    let mut rows: Vec<Row> = more.into_iter().collect();
    for centre in centres {
        rows.push(Row::DataCentre(DataCentre {
            name: (*centre).into(),
            region: "r".into(),
            out: false,
        }));
        rows.extend((0..each).map(|number| {
            Row::Endpoint(Endpoint {
                name: format!("{centre}{number}").into(),
                address: "127.0.0.1:1".to_owned(),
                data_centre: (*centre).into(),
                service: "llm".into(),
                versions: Vec::new(),
                cold_limit: 1,
                warm_limit: WARM,
                orders: OrderCheck::Checked,
                out: false,
            })
        }));
    }
    let mut configuration = Configuration::default();
    for row in rows {
        let key = row.key();
        let row = Some(row);
        configuration
            .rows
            .insert(key, VersionedRow { row, generation: 1 });
    }
    RoutingTable::compile(&configuration)
}

fn keys(table: &RoutingTable) -> Vec<EndpointKey> {
    table.endpoints.iter().map(|(key, _)| key).collect()
}

fn placement(table: &RoutingTable, prefix_hash: u64) -> Placement {
    Placement {
        home: table.data_centre("a").unwrap(),
        prefix_hash,
        expected_ms: 10_000,
    }
}

fn names(table: &RoutingTable, order: &[EndpointKey]) -> String {
    let names = order
        .iter()
        .map(|key| table.endpoints[*key].row.name.to_string());
    names.collect::<Vec<_>>().join(" ")
}

#[test]
fn order_by_load() {
    let table = table(&["a", "b"], 2, []);
    let home = table.data_centre("a").unwrap();
    let pool = EndpointPool::new(&table, &keys(&table), home);
    let idle = EndpointLoad::default();
    let own = |count| EndpointLoad {
        own_in_flight: count,
        ..idle
    };
    let report = |count, age_ms| EndpointLoad {
        reported: count,
        report_age_ms: age_ms,
        ..idle
    };
    let failed = EndpointLoad {
        failed_mono_ms: Some(9_000),
        ..idle
    };
    // loads of a0, a1, b0, b1
    let cases = [
        ("home first", [own(2), own(3), own(0), own(1)]),
        (
            "spill before the queue grows",
            [own(6), own(6), own(4), own(3)],
        ),
        ("fresh report", [report(6, 0), own(1), own(8), own(8)]),
        ("old report", [report(6, 60_000), own(1), own(8), own(8)]),
        ("failed goes last", [failed, own(8), own(7), own(8)]),
    ];
    let mut rows = String::new();
    for (name, loads) in cases {
        let load = |key: EndpointKey| loads[key.index()];
        let order = pool.order(&table, load, placement(&table, 0), 1, at(10_000));
        rows.push_str(&format!("{name}: {}\n", names(&table, &order)));
    }
    insta::assert_snapshot!(rows, @"
    home first: a0 a1 b0 b1
    spill before the queue grows: b1 b0 a0 a1
    fresh report: a1 a0 b1 b0
    old report: a0 a1 b1 b0
    failed goes last: a1 b0 b1 a0
    ");
}

#[test]
fn stopping_endpoints_get_no_work() {
    let stop = PlannedStop {
        target: StopTarget::DataCentre("a".into()),
        from_unix_ms: at(15_000).unix_ms,
        until_unix_ms: at(60_000).unix_ms,
    };
    let table = table(&["a", "b"], 20, [Row::PlannedStop(stop)]);
    let all = keys(&table);
    let home = table.data_centre("a").unwrap();
    let pool = EndpointPool::new(&table, &all, home);
    for draw in 0..200 {
        let placement = placement(&table, draw);
        let idle = |_| EndpointLoad::default();
        let by_pool = pool.order(&table, idle, placement, draw, at(10_000));
        let by_all = order_endpoints(&table, &all, idle, placement, at(10_000));
        assert_eq!(by_all.len(), 20);
        assert!(!by_pool.is_empty());
        let mut chosen = by_pool.into_iter().chain(by_all);
        assert!(chosen.all(|key| table.endpoints[key].data_centre != home));
    }
}

#[test]
fn last_endpoint_that_takes_work_is_found() {
    let mut table = table(&["a"], 500, []);
    for key in keys(&table) {
        table.endpoints[key].row.out = table.endpoints[key].row.name.as_str() != "a321";
    }
    let all = keys(&table);
    let pool = EndpointPool::new(&table, &all, table.data_centre("a").unwrap());
    let idle = |_| EndpointLoad::default();
    let order = pool.order(&table, idle, placement(&table, 5), 9, at(0));
    insta::assert_snapshot!(names(&table, &order), @"a321");
}

#[test]
fn prefix_keeps_its_endpoint_when_another_leaves() {
    let table = table(&["a"], 20, []);
    let all = keys(&table);
    let fewer: Vec<EndpointKey> = all.iter().copied().filter(|key| key.index() != 7).collect();
    let home = table.data_centre("a").unwrap();
    let pools = [&all, &fewer].map(|keys| EndpointPool::new(&table, keys, home));
    let idle = |_| EndpointLoad::default();
    let moved = (1..=1_000).filter(|prefix| {
        let placement = placement(&table, *prefix);
        let firsts = pools
            .each_ref()
            .map(|pool| pool.order(&table, idle, placement, 3, at(0))[0]);
        firsts[0] != firsts[1]
    });
    insta::assert_snapshot!(format!("{} of 1000 moved, 50 expected", moved.count()), @"48 of 1000 moved, 50 expected");
}

/// How an endpoint is chosen.
#[derive(Clone, Copy)]
enum Rule {
    Random,
    LeastLoaded,
    PrefixOnly,
    All,
    Pool,
}

/// Nine nodes send work to 18 endpoints of three data centres, and each sees its
/// own requests at once and the others' by reports that are a second old.
/// Returns requests over the limit, requests whose prefix was cached, and
/// requests that left the home data centre, of all.
fn drive(rule: Rule) -> [usize; 4] {
    const NODES: usize = 9;
    const PREFIXES: f64 = 60.0;
    const CACHED: usize = 8;
    let table = table(&["a", "b", "c"], 6, []);
    let all = keys(&table);
    let homes = ["a", "b", "c"].map(|name| table.data_centre(name).unwrap());
    let pools = homes.map(|home| EndpointPool::new(&table, &all, home));
    let mut rng = Rng::with_seed(4);
    let mut choice = Rng::with_seed(5);
    let mut running: Vec<Vec<(u64, usize)>> = vec![Vec::new(); all.len()];
    let mut caches: Vec<Vec<u64>> = vec![Vec::new(); all.len()];
    let mut history: Vec<Vec<u32>> = Vec::new();
    let mut counts = [0; 4];
    for step in 0..6_000_usize {
        let mono_ms = step as u64 * 10;
        running
            .iter_mut()
            .for_each(|ends| ends.retain(|(end_ms, _)| *end_ms > mono_ms));
        history.push(running.iter().map(|ends| ends.len() as u32).collect());
        let reported = &history[step.saturating_sub(100)];
        // A wave of work every ten seconds, most of it in the first data centre.
        let rate = if step % 1_000 < 300 { 1.1 } else { 0.4 };
        while rng.f64() < rate / (1.0 + rate) {
            let node = if rng.f64() < 0.5 {
                0
            } else {
                rng.usize(0..NODES)
            };
            let prefix = 1 + (rng.f64().powi(3) * PREFIXES) as u64;
            let load = |key: EndpointKey| {
                let own = running[key.index()].iter().filter(|(_, by)| *by == node);
                EndpointLoad {
                    own_in_flight: own.count() as u32,
                    reported: reported[key.index()],
                    report_age_ms: 1_000,
                    failed_mono_ms: None,
                }
            };
            let home = homes[node % 3];
            let prefix_hash = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let placement = Placement {
                home,
                prefix_hash,
                expected_ms: 1_000,
            };
            let now = at(mono_ms);
            let key = match rule {
                Rule::Random => all[choice.usize(0..all.len())],
                Rule::LeastLoaded => *all.iter().min_by_key(|key| reported[key.index()]).unwrap(),
                Rule::PrefixOnly => all[(prefix_hash % all.len() as u64) as usize],
                Rule::All => order_endpoints(&table, &all, load, placement, now)[0],
                Rule::Pool => {
                    pools[node % 3].order(&table, load, placement, choice.u64(..), now)[0]
                }
            };
            let index = key.index();
            counts[0] += usize::from(running[index].len() as u32 >= WARM);
            let hit = caches[index].contains(&prefix);
            counts[1] += usize::from(hit);
            counts[2] += usize::from(table.endpoints[key].data_centre != home);
            counts[3] += 1;
            caches[index].retain(|cached| *cached != prefix);
            caches[index].push(prefix);
            if caches[index].len() > CACHED {
                caches[index].remove(0);
            }
            let run_ms = if hit { 700 } else { 1_000 };
            running[index].push((mono_ms + run_ms, node));
        }
    }
    counts
}

#[test]
fn against_other_rules() {
    let cases = [
        ("random", Rule::Random),
        ("least reported load", Rule::LeastLoaded),
        ("prefix only", Rule::PrefixOnly),
        ("own requests, then home", Rule::All),
        ("pool", Rule::Pool),
    ];
    let rows = cases.map(|(name, rule)| {
        let [over, cached, away, all] = drive(rule);
        format!("{name}: of {all}, {over} over the limit, {cached} cached, {away} away")
    });
    insta::assert_snapshot!(rows.join("\n"), @"
    random: of 3408, 166 over the limit, 1306 cached, 2238 away
    least reported load: of 3408, 2820 over the limit, 1292 cached, 1143 away
    prefix only: of 3408, 834 over the limit, 3348 cached, 2403 away
    own requests, then home: of 3408, 34 over the limit, 1299 cached, 1257 away
    pool: of 3408, 49 over the limit, 1917 cached, 412 away
    ");
}

#[test]
fn equal_endpoints_are_spread() {
    let table = table(&["a"], 9, []);
    let home = table.data_centre("a").unwrap();
    let pool = EndpointPool::new(&table, &keys(&table), home);
    let idle = |_| EndpointLoad::default();
    let firsts: HashSet<EndpointKey> = (0..200)
        .map(|draw| pool.order(&table, idle, placement(&table, 0), draw, at(0))[0])
        .collect();
    assert_eq!(firsts.len(), 9);
}
