//! Tests of sheets: faults by row and column, CSV dialects, differences and kept state.

mod support;

use hemlockhitch_config::configuration::{
    Configuration, Endpoint, OrderCheck, Row, RowKey, RowKind, Share, StopTarget, Version,
};
use hemlockhitch_config::sheet::Sheet;
use hemlockhitch_config::{Change, RoutingTable, RowEdit};
use insta::assert_snapshot;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use support::{NOW, change};

const MIDLANDS: &[u8] = include_bytes!("../../../examples/midlands.csv");
const KARJAMAA: &[u8] = include_bytes!("../../../examples/karjamaa.csv");

fn faults(bytes: &[u8]) -> String {
    match Sheet::parse(bytes, "sheet.csv") {
        Ok(_) => "no fault".to_owned(),
        Err(error) => error.to_string(),
    }
}

fn parse(bytes: &[u8]) -> Sheet {
    Sheet::parse(bytes, "sheet.csv").expect("the sheet has no fault")
}

fn configuration_from(sheet: &Sheet) -> Configuration {
    let mut configuration = Configuration::default();
    configuration.apply(&sheet.change(&configuration, "planner", NOW));
    configuration
}

fn apply_edit(configuration: &mut Configuration, row: Row) {
    let edit = change(1, configuration.generation, [RowEdit::set(row)]);
    configuration.apply(&edit);
}

#[test]
fn sample_sheets_are_accepted() {
    for (bytes, engines, organisations) in [(MIDLANDS, 9, 10), (KARJAMAA, 9, 10)] {
        let table = RoutingTable::compile(&configuration_from(&parse(bytes)));
        assert_eq!(table.endpoints.len(), engines + 3);
        assert_eq!(table.organisations.len(), organisations);
        assert_eq!(table.data_centres.len(), 3);
        for (_, organisation) in table.organisations.iter() {
            for allowed in organisation.allowed.values() {
                let sum: f64 = allowed.iter().map(|version| version.share_percent).sum();
                assert!((sum - 100.0).abs() < 0.01);
            }
        }
    }
}

#[test]
fn each_fault_names_row_column_and_remedy() {
    let sheet = "\
kind;organisation;token_sha256;weight;limit_per_s;version;withdrawn;prompt_price_micros;completion_price_micros;share_percent;class;models;quality_target_ratio;data_centre;region;out;endpoint;address;service;versions;cold_limit;warm_limit;orders;method;path;idempotent;starts_at;ends_at;from_version;to_version;state
organisation;derby;12ab;1;5
organisation;leicester;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa;0;1 000
organisation;coventry;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa;1;7
organisation;coventry;bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb;1;7
organisation;lin/coln;cccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccccc;1;7
version;;;;;small@1;no;10;20
version;;;;;small@2;yes;10;20
version;;;;;large;maybe;10;-3
allowance;derby;;;;small@1;;;;60
allowance;derby;;;;small@2;;;;30,5
allowance;coventry;;;;small@1;;;;1.000,0
allowance;nobody;;;;small@9;;;;100
cascade;derby;;;;;;;;;chat;small small;1,5
cascade;derby;;;;;;;;;noon;small;0,5
cascade;coventry;;;;;;;;;chat;huge;0,5
data_centre;;;;;;;;;;;;;em-a;east-mids
data_centre;;;;;;;;;;;;;em-b
endpoint;;;;;;;;;;;;;em-a;;;e-1;;pool;small@1;2;8
endpoint;;;;;;;;;;;;;em-z;;;e-2;10.0.0.5;pool;small@7;0;8;perhaps
endpoint;;;;;;;;;;;;;em-a;;;e-3;10.0.0.5:80;pool;;4;2
endpoint;;;;;;;;;;;;;em-a;;;e-4;10.0.0.5:80;app;;4;9
service_call;;;;;;;;;;till;;;;;;;;app;;;;;TAKE;holds;no
service_call;;;;;;;;;;till;;;;;;;;shop;;;;;GET;/holds;
planned_stop;;;;;;;;;;;;;em-a;;;;;;;;;;;;;2026-12-05T02:00:00Z;2026-12-05T01:00:00Z
planned_stop;;;;;;;;;;;;;;;;e-9;;;;;;;;;;tomorrow;5
planned_stop;;;;;;;;;;;;;;;;;;;;;;;;;;1;2
roll_out;;;;;;;;;101;;;;;;;;;;;;;;;;;;;small@1;large;running
roll_out;;;;;;;;;10;;;;;;;;;;;;;;;;;;;small@1;small@1;paused
organisation;hinckley;dddddddddddddddddddddddddddddddddddddddddddddddddddddddddddddddd;1;7;small@1
shop;derby
;derby
organisation;newark;eeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeee;1;7;;;;;;;;;;;;;;;;;;;;;;;;;;;x
";
    assert_snapshot!(faults(sheet.as_bytes()), @r#"
    sheet.csv: row 2, token_sha256: is not a SHA-256 hash; give the hash of the token in 64 lower-case hexadecimal digits
    sheet.csv: row 3, limit_per_s: "1 000" is not a whole number; write digits alone
    sheet.csv: row 3, weight: is 0; use 1 or more
    sheet.csv: row 3, token_sha256: is the token of another organisation too; give each organisation a token of its own
    sheet.csv: row 4, token_sha256: is the token of another organisation too; give each organisation a token of its own
    sheet.csv: row 5, kind: organisation/coventry stands in row 4 already; keep one of the two rows
    sheet.csv: row 6, organisation: "lin/coln" is not a name; use letters, digits, '-', '_', '.' and '@'
    sheet.csv: row 9, withdrawn: "maybe" is not a choice; use yes, no
    sheet.csv: row 9, completion_price_micros: "-3" is not a whole number; write digits alone
    sheet.csv: row 9, version: "large" is not a version; write model@version
    sheet.csv: row 10, share_percent: the shares of derby on small add up to 90.5; make them add up to 100
    sheet.csv: row 11, share_percent: small@2 is withdrawn and has a share; give its share to another version
    sheet.csv: row 12, share_percent: "1.000,0" is not a number; write digits with one point or comma
    sheet.csv: row 13, organisation: "nobody" does not exist; add a row of kind organisation for it, or correct the name
    sheet.csv: row 13, version: "small@9" does not exist; add a row of kind version for it, or correct the name
    sheet.csv: row 14, models: names small twice; name each model once
    sheet.csv: row 14, quality_target_ratio: 1.5 is not a ratio; use 0 to 1
    sheet.csv: row 15, class: "noon" is not a choice; use till, chat, lookup, summary, overnight
    sheet.csv: row 16, models: no version of huge is listed; add a row of kind version, or correct the name
    sheet.csv: row 18, region: is empty; fill the cell
    sheet.csv: row 19, address: is empty; fill the cell
    sheet.csv: row 20, orders: "perhaps" is not a choice; use ignored, checked
    sheet.csv: row 20, address: "10.0.0.5" is not an address; write an IP number and a port, such as 10.0.0.5:8080
    sheet.csv: row 20, cold_limit: is 0; use 1 or more
    sheet.csv: row 20, data_centre: "em-z" does not exist; add a row of kind data_centre for it, or correct the name
    sheet.csv: row 20, versions: "small@7" does not exist; add a row of kind version for it, or correct the name
    sheet.csv: row 21, warm_limit: 2 is less than cold_limit; use 4 or more
    sheet.csv: row 21, address: 10.0.0.5:80 is the address of another endpoint too; give each endpoint an address of its own
    sheet.csv: row 22, address: 10.0.0.5:80 is the address of another endpoint too; give each endpoint an address of its own
    sheet.csv: row 23, method: "TAKE" is not a method; use one of DELETE, GET, PATCH, POST, PUT
    sheet.csv: row 23, path: "holds" is not a path; start it with /
    sheet.csv: row 24, idempotent: is empty; fill the cell
    sheet.csv: row 24, service: "shop" does not exist; add a row of kind endpoint for it, or correct the name
    sheet.csv: row 25, ends_at: is not after the start; give an end later than starts_at
    sheet.csv: row 26, starts_at: "tomorrow" is not a time; write it as 2026-12-05T02:00:00Z, with Z or an offset such as +02:00
    sheet.csv: row 27, endpoint: and data_centre are both empty; fill one of the two
    sheet.csv: row 28, share_percent: 101 is not a percentage; use 0 to 100
    sheet.csv: row 28, to_version: large is not a version of small; name two versions of one model
    sheet.csv: row 29, state: "paused" is not a choice; use running, held, stopped
    sheet.csv: row 29, to_version: is the version that goes; name two versions of one model
    sheet.csv: row 30, version: is not a column of kind organisation; clear the cell, or correct the kind
    sheet.csv: row 31, kind: "shop" is not a kind; use organisation, version, allowance, cascade, data_centre, endpoint, service_call, planned_stop, roll_out
    sheet.csv: row 32, kind: is empty; fill the cell
    sheet.csv: row 33, row: "x" stands beyond the last column; quote fields that hold a delimiter, and name every column
    "#);
}

#[test]
fn each_csv_fault_has_a_remedy() {
    let cases: [(&str, &[u8]); 8] = [
        ("empty", b""),
        ("header alone", b"kind;organisation\n"),
        ("no kind", b"name;organisation\nx;y\n"),
        ("unknown column", b"kind;colour\n"),
        ("column twice", b"kind;region;Region\n"),
        ("not UTF-8", b"kind;region\ndata_centre;\xf5stamaa\n"),
        (
            "wide row",
            b"kind,data_centre,region\ndata_centre,em-a,east-mids,1,5\n",
        ),
        (
            "open quote",
            b"kind,data_centre,region\ndata_centre,em-a,\"east\n",
        ),
    ];
    let table: Vec<String> = cases
        .iter()
        .map(|(name, bytes)| format!("# {name}\n{}", faults(bytes)))
        .collect();
    assert_snapshot!(table.join("\n"), @r#"
    # empty
    sheet.csv: file: has no row; export the sheet with its header row
    # header alone
    sheet.csv: file: has no row below its header; export the sheet again
    # no kind
    sheet.csv: row 1, kind: is missing in the header; name the first column kind and separate columns by ; or ,
    # unknown column
    sheet.csv: file: has no row below its header; export the sheet again
    sheet.csv: row 1, colour: is not a known column; use one of kind, organisation, token_sha256, weight, limit_per_s, version, withdrawn, prompt_price_micros, completion_price_micros, share_percent, class, models, quality_target_ratio, data_centre, region, out, endpoint, address, service, versions, cold_limit, warm_limit, orders, method, path, idempotent, starts_at, ends_at, from_version, to_version, state, note
    # column twice
    sheet.csv: file: has no row below its header; export the sheet again
    sheet.csv: row 1, region: stands twice in the header; keep one of them
    # not UTF-8
    sheet.csv: row 2, file: is not UTF-8 text; export the sheet as CSV in UTF-8
    # wide row
    sheet.csv: row 2, row: "1" stands beyond the last column; quote fields that hold a delimiter, and name every column
    # open quote
    sheet.csv: file: has a quote that is not closed; export the sheet again, and double each quote within a field
    "#);
}

#[test]
fn csv_dialects_parse_to_the_same_sheet() {
    let plain = "kind,data_centre,region,organisation,token_sha256,limit_per_s,version,prompt_price_micros,completion_price_micros,share_percent,starts_at,ends_at,note\n\
        data_centre,em-a,east-mids\n\
        organisation,,,derby,aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa,5\n\
        version,,,,,,m@1,1,2\nversion,,,,,,m@2,1,2\n\
        allowance,,,derby,,,m@1,,,87.5\nallowance,,,derby,,,m@2,,,12.5\n\
        planned_stop,em-a,,,,,,,,,2026-12-05T02:00:00Z,1796439600000\n";
    let expected = parse(plain.as_bytes());
    let local = plain
        .replace(',', ";")
        .replace("87.5", "87,5")
        .replace("12.5", "12,5%");
    let dialects = [
        format!("\u{feff}{}", plain.replace('\n', "\r\n")),
        local.replace('\n', "\r\n"),
        local.replace("\nversion", "\n\n;;;\nversion"),
        plain.replace(',', "\t"),
        plain.replace("2026-12-05T02:00:00Z", "\" 2026-12-05T04:00:00+02:00 \""),
        plain.replace("aaaa", "AAAA").replace("kind,", "Kind,"),
        plain.replace(
            "data_centre,em-a,east-mids\n",
            "data_centre,\"em-a\",east-mids,,,,,,,,,,\"a, \"\"note\"\"\nof two lines\"\n",
        ),
    ];
    for text in dialects {
        assert_eq!(parse(text.as_bytes()), expected, "{text}");
    }
}

#[test]
fn applied_sheet_produces_no_edits() {
    let sheet = parse(MIDLANDS);
    let configuration = configuration_from(&sheet);
    assert!(
        sheet
            .change(&configuration, "planner", NOW)
            .edits
            .is_empty()
    );
    assert_eq!(Sheet::from_configuration(&configuration), sheet);
}

#[test]
fn sheet_never_reverts_runtime_state() {
    let sheet = parse(MIDLANDS);
    let mut configuration = configuration_from(&sheet);
    for row in sheet.rows() {
        match row.clone() {
            Row::Version(mut row) if row.name.as_str() == "pull-small@2" => {
                row.withdrawn = true;
                apply_edit(&mut configuration, Row::Version(row));
            }
            Row::DataCentre(mut row) if row.name.as_str() == "em-b" => {
                row.out = true;
                apply_edit(&mut configuration, Row::DataCentre(row));
            }
            Row::Endpoint(mut row) if row.name.as_str() == "pull-app-1" => {
                row.out = true;
                apply_edit(&mut configuration, Row::Endpoint(row));
            }
            Row::RollOut(mut row) => {
                row.share = Share { percent: 50.0 };
                row.state = serde_json::from_str("\"stopped\"").expect("a state");
                apply_edit(&mut configuration, Row::RollOut(row));
            }
            _ => {}
        }
    }
    let mut next = MIDLANDS.to_vec();
    next.extend_from_slice(b"data_centre,,,,,,,,,,,,,em-d,east-mids\n");
    let next = String::from_utf8(next).expect("text");
    let next = parse(next.replace("newark", "grantham").as_bytes());
    assert_snapshot!(next.diff(&configuration), @r#"
    + allowance/grantham/pull-large@1
    + allowance/grantham/pull-large@2
    + allowance/grantham/pull-small@1
    + allowance/grantham/pull-small@2
    + cascade/grantham/chat
    + cascade/grantham/summary
    + data_centre/em-d
    + organisation/grantham
    - allowance/newark/pull-large@1
    - allowance/newark/pull-large@2
    - allowance/newark/pull-small@1
    - allowance/newark/pull-small@2
    - cascade/newark/chat
    - cascade/newark/summary
    - organisation/newark
    = data_centre/em-b keeps out = yes; undo it with: hemlockhitchctl data-centre in em-b
    = endpoint/pull-app-1 keeps out = yes; undo it with: hemlockhitchctl endpoint in pull-app-1
    = roll_out/pull-large@2 keeps share_percent = 50; change it with: hemlockhitchctl rollout resume, hold or finish pull-large@2
    = roll_out/pull-large@2 keeps state = stopped; change it with: hemlockhitchctl rollout resume, hold or finish pull-large@2
    = version/pull-small@2 keeps withdrawn = yes; undo it with: hemlockhitchctl version restore pull-small@2
    "#);
    configuration.apply(&next.change(&configuration, "planner", NOW));
    assert!(next.change(&configuration, "planner", NOW).edits.is_empty());
}

#[test]
fn sheet_can_hold_roll_outs_and_withdraw_versions() {
    let sheet = parse(KARJAMAA);
    let configuration = configuration_from(&sheet);
    let text = String::from_utf8(KARJAMAA.to_vec()).expect("text");
    let next = text
        .replace("loom-pro@2;running", "loom-pro@2;held")
        .replace("loom-vet@2;no", "loom-vet@2;yes");
    assert_snapshot!(parse(next.as_bytes()).diff(&configuration), @r#"
    ~ roll_out/loom-pro@2
        state: running -> held
    ~ version/loom-vet@2
        withdrawn: no -> yes
    "#);
}

#[test]
fn roll_out_missing_from_the_sheet_is_kept_while_its_versions_exist() {
    let text = String::from_utf8(MIDLANDS.to_vec()).expect("text");
    let configuration = configuration_from(&parse(MIDLANDS));
    let without_roll_out: String = text
        .split_inclusive('\n')
        .filter(|line| !line.starts_with("roll_out"))
        .collect();
    assert_snapshot!(parse(without_roll_out.as_bytes()).diff(&configuration), @"= roll_out/pull-large@2 keeps kind = roll_out; change it with: hemlockhitchctl rollout resume, hold or finish pull-large@2");
    let without_version: String = without_roll_out
        .split_inclusive('\n')
        .filter(|line| !line.contains("pull-large@2,no") && !line.contains("pull-large@2,,"))
        .map(|line| line.replace("pull-large@1 pull-large@2", "pull-large@1"))
        .collect();
    let difference = parse(without_version.as_bytes()).diff(&configuration);
    assert!(difference.kept.is_empty());
    let key = RowKey::new(RowKind::RollOut, ["pull-large@2"]);
    assert!(difference.rows.iter().any(|row| row.key == key));
}

#[test]
fn address_of_an_endpoint_can_be_replaced() {
    let mut sheet = parse(MIDLANDS);
    assert!(sheet.set_endpoint_address("pull-app-2", "127.0.0.1:41234"));
    assert!(!sheet.set_endpoint_address("pull-app-9", "127.0.0.1:41235"));
    let table = RoutingTable::compile(&configuration_from(&sheet));
    let key = table.endpoint("pull-app-2").expect("it exists");
    assert_eq!(table.endpoints[key].row.address, "127.0.0.1:41234");
}

/// Random rows that are valid together.
#[derive(Clone, Debug)]
struct ConsistentRows(Vec<Row>);

impl Arbitrary for ConsistentRows {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut rows = Vec::new();
        for number in 0..=u64::arbitrary(g) % 3 {
            rows.push(support::data_centre(number, bool::arbitrary(g)));
        }
        let versions = 1 + u32::arbitrary(g) % 4;
        for number in 0..versions {
            rows.push(Row::Version(Version {
                name: format!("m@{number}").as_str().into(),
                withdrawn: bool::arbitrary(g),
                prompt_price_micros: u64::arbitrary(g),
                completion_price_micros: u64::arbitrary(g),
            }));
        }
        for number in 0..u16::arbitrary(g) % 20 {
            let warm_limit = 1 + u32::arbitrary(g) % 64;
            rows.push(Row::Endpoint(Endpoint {
                name: format!("e-{number}").as_str().into(),
                address: format!("10.0.0.1:{}", 1 + number),
                data_centre: "dc-0".into(),
                service: "pool".into(),
                versions: vec![
                    format!("m@{}", u32::arbitrary(g) % versions)
                        .as_str()
                        .into(),
                ],
                cold_limit: 1 + u32::arbitrary(g) % warm_limit,
                warm_limit,
                orders: *g
                    .choose(&[OrderCheck::Checked, OrderCheck::Ignored])
                    .expect("two"),
                out: bool::arbitrary(g),
            }));
        }
        let from_unix_ms = u64::arbitrary(g) % 4_000_000_000_000;
        let stop = hemlockhitch_config::configuration::PlannedStop {
            target: StopTarget::DataCentre("dc-0".into()),
            from_unix_ms,
            until_unix_ms: from_unix_ms + 1 + u64::arbitrary(g) % 1_000_000,
        };
        rows.push(Row::PlannedStop(stop));
        Self(rows)
    }
}

#[test]
fn export_parses_back_to_the_same_sheet() {
    fn property(rows: ConsistentRows) -> bool {
        let mut configuration = Configuration::default();
        let edits = rows.0.into_iter().map(RowEdit::set);
        let change: Change = change(1, 0, edits);
        configuration.apply(&change);
        let sheet = Sheet::from_configuration(&configuration);
        let reparsed = parse(sheet.to_csv().as_bytes());
        reparsed == sheet && reparsed.diff(&configuration).rows.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 0x5EE7))
        .tests(200)
        .quickcheck(property as fn(ConsistentRows) -> bool);
}

#[test]
fn documentation_lists_every_column_and_kind() {
    let page = include_str!("../../../docs/SHEET.md");
    let all = [faults(b"kind;colour\nx;y\n"), faults(b"kind\nshop\n")].join("\n");
    let lists = all.lines().filter_map(|line| line.split_once("; use "));
    let names: Vec<&str> = lists
        .flat_map(|(_, list)| list.trim_start_matches("one of ").split(", "))
        .collect();
    assert!(names.len() > 40, "{all}");
    for name in names {
        assert!(
            page.contains(&format!("`{name}`")),
            "{name} is not documented"
        );
    }
}

#[test]
fn mutated_sample_yields_a_sheet_or_faults_with_remedies() {
    fn property(edits: Vec<(usize, u8)>) -> bool {
        let mut bytes = KARJAMAA.to_vec();
        for (offset, byte) in edits {
            let offset = offset % bytes.len();
            match byte % 4 {
                0 => bytes.truncate(offset.max(1)),
                1 => bytes[offset] = byte,
                2 => bytes.insert(offset, byte),
                _ => bytes[offset] = b';',
            }
        }
        match Sheet::parse(&bytes, "sheet.csv") {
            Ok(sheet) => sheet.rows().count() > 0,
            Err(error) => {
                !error.faults.is_empty()
                    && error.faults.iter().all(|fault| !fault.remedy.is_empty())
            }
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 0x2222))
        .tests(2_000)
        .quickcheck(property as fn(Vec<(usize, u8)>) -> bool);
}
