//! Tests of compiled routing tables: planned stops and roll-outs.

use hemlockhitch_config::sheet::Sheet;
use hemlockhitch_config::{Configuration, RoutingTable};
use hemlockhitch_model::Now;
use insta::assert_snapshot;

const STOP_START_UNIX_MS: u64 = 1_796_522_400_000;
const STOP_END_UNIX_MS: u64 = 1_796_526_000_000;

fn compile(rows: &str) -> RoutingTable {
    let text = format!(
        "kind,organisation,token_sha256,limit_per_s,version,prompt_price_micros,\
         completion_price_micros,share_percent,data_centre,region,endpoint,address,service,\
         versions,cold_limit,warm_limit,starts_at,ends_at,from_version,to_version,state\n\
         data_centre,,,,,,,,dc-a,r\n\
         data_centre,,,,,,,,dc-b,r\n\
         version,,,,m@1,1,1\n\
         version,,,,m@2,1,1\n\
         version,,,,m@3,1,1\n\
         organisation,derby,{hash},5\n\
         allowance,derby,,,m@1,,,60\n\
         allowance,derby,,,m@2,,,10\n\
         allowance,derby,,,m@3,,,30\n\
         endpoint,,,,,,,,dc-a,,e-1,10.0.0.1:1,pool,m@1,1,2\n\
         endpoint,,,,,,,,dc-a,,e-2,10.0.0.2:1,pool,m@1,1,2\n\
         endpoint,,,,,,,,dc-b,,e-3,10.0.0.3:1,pool,m@1,1,2\n\
         {rows}\n",
        hash = "a".repeat(64),
    );
    let sheet = Sheet::parse(text.as_bytes(), "sheet.csv").expect("no fault");
    let now = Now {
        mono_ms: 0,
        unix_ms: 0,
    };
    let mut configuration = Configuration::default();
    configuration.apply(&sheet.change(&configuration, "planner", now));
    RoutingTable::compile(&configuration)
}

fn accepting_endpoints(table: &RoutingTable, now_unix_ms: u64) -> String {
    let names: Vec<&str> = table
        .endpoints
        .iter()
        .filter(|(key, _)| table.accepts_work(*key, 1_000, now_unix_ms))
        .map(|(_, entry)| entry.row.name.as_str())
        .collect();
    names.join(" ")
}

fn shares(table: &RoutingTable) -> String {
    let mut shares = Vec::new();
    for (_, organisation) in table.organisations.iter() {
        for allowed in organisation.allowed.values().flatten() {
            let name = &table.versions[allowed.version].row.name;
            shares.push(format!("{name}={}", allowed.share_percent));
        }
    }
    shares.join(" ")
}

#[test]
fn planned_stops_exclude_only_their_targets() {
    let times = [
        ("long before", STOP_START_UNIX_MS - 60_000),
        ("work would overlap", STOP_START_UNIX_MS - 1_000),
        ("during", STOP_START_UNIX_MS + 1),
        ("after", STOP_END_UNIX_MS),
    ];
    let stops = [
        "planned_stop,,,,,,,,,,e-2,,,,,,1796522400000,1796526000000",
        "planned_stop,,,,,,,,dc-a,,,,,,,,1796522400000,1796526000000",
    ];
    let mut lines = Vec::new();
    for stop in stops {
        let table = compile(stop);
        for (name, now_unix_ms) in times {
            lines.push(format!(
                "{name}: {}",
                accepting_endpoints(&table, now_unix_ms)
            ));
        }
    }
    assert_snapshot!(lines.join("\n"), @r#"
    long before: e-1 e-2 e-3
    work would overlap: e-1 e-3
    during: e-1 e-3
    after: e-1 e-2 e-3
    long before: e-1 e-2 e-3
    work would overlap: e-3
    during: e-3
    after: e-1 e-2 e-3
    "#);
}

#[test]
fn roll_outs_split_the_combined_share_of_two_versions() {
    let states = ["running", "held", "stopped"];
    let lines: Vec<String> = states
        .iter()
        .map(|state| {
            let row = format!("roll_out,,,,,,,20,,,,,,,,,,,m@1,m@2,{state}");
            format!("{state}: {}", shares(&compile(&row)))
        })
        .collect();
    assert_snapshot!(lines.join("\n"), @r#"
    running: m@1=56 m@2=14 m@3=30
    held: m@1=70 m@2=0 m@3=30
    stopped: m@1=70 m@2=0 m@3=30
    "#);
}
