//! Tests of settings: defaults, and the line, key and remedy of each fault.

use hemlockhitch_config::settings::{GatewayFile, Permission, Settings};
use insta::assert_snapshot;
use quickcheck::{Gen, QuickCheck};

const EXAMPLE: &str = include_str!("../../../examples/node.ini");

fn faults(text: &str) -> String {
    match Settings::parse(text, "node.ini") {
        Ok(_) => "no fault".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// Returns the example with one line replaced.
fn example_with(line: &str, replacement: &str) -> String {
    assert!(EXAMPLE.contains(line), "the example has no line {line:?}");
    EXAMPLE.replacen(line, replacement, 1)
}

#[test]
fn example_is_accepted() {
    let settings = Settings::parse(EXAMPLE, "node.ini").expect("the example has no fault");
    assert_eq!(settings.operators.len(), 2);
    assert_eq!(settings.operators[0].permission, Permission::Operate);
    assert_eq!(settings.limits.header_bytes, 16_384);
    assert!(settings.operators[1].permission.allows(Permission::Read));
    assert!(!settings.operators[1].permission.allows(Permission::Operate));
}

#[test]
fn each_fault_names_line_key_and_remedy() {
    let cases = [
        (
            "unknown key",
            example_with("queue_ms = 2000", "queue = 2000\nspeed = 3"),
        ),
        ("unknown section", example_with("[log]", "[logs]")),
        (
            "unit in value",
            example_with("queue_ms = 2000", "queue_ms = 2s"),
        ),
        (
            "unit in key",
            example_with("queue_ms = 2000", "queue_s = 2"),
        ),
        (
            "not a number",
            example_with("queue_ms = 2000", "queue_ms = soon"),
        ),
        (
            "out of bounds",
            example_with("in_flight = 1000", "in_flight = 0"),
        ),
        (
            "missing address",
            example_with("callers = 127.0.0.1:8080", ""),
        ),
        (
            "name for address",
            example_with("callers = 127.0.0.1:8080", "callers = localhost:8080"),
        ),
        (
            "port 0 of platform",
            example_with("key_value = 127.0.0.1:7001", "key_value = 127.0.0.1:0"),
        ),
        (
            "duplicate key",
            example_with("format = text", "format = text\nformat = json"),
        ),
        (
            "duplicate in second section",
            format!("{EXAMPLE}\n[node]\nname = other\n"),
        ),
        ("not INI", example_with("format = text", "format text")),
        ("empty name", example_with("name = em-a-1", "name =")),
        (
            "short hash",
            example_with("[operators]", "[operators]\ntoken.anna = 12ab operate"),
        ),
        (
            "lease too short",
            example_with("lease_ms = 10000", "lease_ms = 3000"),
        ),
        ("bad level", example_with("level = info", "level = loud")),
        (
            "level of a package",
            example_with("level = info", "level = warn,hemlockhitch_router=debug"),
        ),
        (
            "bad level of a package",
            example_with("level = info", "level = warn,hemlockhitch_router=loud"),
        ),
        ("entry before any section", format!("x = 1\n{EXAMPLE}")),
        ("empty file", String::new()),
    ];
    let table: Vec<String> = cases
        .iter()
        .map(|(name, text)| format!("# {name}\n{}", faults(text)))
        .collect();
    assert_snapshot!(table.join("\n"), @r#"
    # unknown key
    node.ini:27: limits.queue: has another unit than the setting; use queue_ms and convert the value
    node.ini:28: limits.speed: is not a known key; use one of body_bytes, header_bytes, queue_ms, answer_ms, chunk_ms, drain_ms, in_flight
    # unknown section
    node.ini:38: logs: is not a known section; use one of node, listen, advertise, platform, operators, limits, control, log
    # unit in value
    node.ini:27: limits.queue_ms: "2s" is not a whole number; write digits alone; the unit is milliseconds
    # unit in key
    node.ini:27: limits.queue_s: has another unit than the setting; use queue_ms and convert the value
    # not a number
    node.ini:27: limits.queue_ms: "soon" is not a whole number; write digits alone; the unit is milliseconds
    # out of bounds
    node.ini:31: limits.in_flight: 0 is out of bounds; use 1 to 100000
    # missing address
    node.ini:8: listen.callers: is missing; add an ip:port address under [listen]
    # name for address
    node.ini:9: listen.callers: "localhost:8080" is not an address; write an IP number and a port, such as 10.0.0.5:8080
    # port 0 of platform
    node.ini:15: platform.key_value: port 0 cannot be reached; give the port that the service listens on
    # duplicate key
    node.ini:40: log.format: stands twice; keep one of them
    # duplicate in second section
    node.ini:43: node.name: stands twice; keep one of them
    # not INI
    node.ini:39: line: "format text" is neither a section nor a key; write [section] or key = value
    # empty name
    node.ini:4: node.name: "" is not a name; use letters, digits, '-', '_' and '.'
    # short hash
    node.ini:22: operators.token.anna: is not an operator's token; write token.NAME = SHA-256 of the token in 64 hexadecimal digits, then read or operate, then an organisation if it is limited to one
    # lease too short
    node.ini:34: control.lease_ms: is not longer than self_stop_ms; use more than 4000, or shorten self_stop_ms
    # bad level
    node.ini:40: log.level: "loud" is not a choice; use off, error, warn, info, debug, trace; for one package, add ,PACKAGE=LEVEL
    # level of a package
    no fault
    # bad level of a package
    node.ini:40: log.level: "warn,hemlockhitch_router=loud" is not a choice; use off, error, warn, info, debug, trace; for one package, add ,PACKAGE=LEVEL
    # entry before any section
    node.ini:1: x: is not a known key; move it below a section
    # empty file
    node.ini: node.name: is missing; add a name under [node]
    node.ini: node.data_centre: is missing; add a name under [node]
    node.ini: node.region: is missing; add a name under [node]
    node.ini: listen.callers: is missing; add an ip:port address under [listen]
    node.ini: listen.operators: is missing; add an ip:port address under [listen]
    node.ini: listen.peers: is missing; add an ip:port address under [listen]
    node.ini: listen.metrics: is missing; add an ip:port address under [listen]
    node.ini: platform.key_value: is missing; add an ip:port address under [platform]
    "#);
}

#[test]
fn all_faults_are_reported_together() {
    let text = example_with("in_flight = 1000", "in_flight = 0\nnonsense\nqueue_ms = x")
        .replace("region = east-mids", "");
    let error = Settings::parse(&text, "node.ini").expect_err("four faults");
    assert_eq!(error.faults.len(), 4, "{error}");
}

#[test]
fn builder_checks_bounds() {
    let mut control = Settings::builder().build().expect("defaults").control;
    control.shards = 0;
    let error = Settings::builder()
        .control(control)
        .build()
        .expect_err("no shard");
    assert_snapshot!(error, @"settings: control.shards: 0 is out of bounds; use 1 to 64");
}

#[test]
fn unreadable_file_is_named() {
    let error = Settings::read("no-such-file.ini").expect_err("no file");
    assert!(
        error
            .to_string()
            .starts_with("no-such-file.ini: file: cannot be read")
    );
}

/// Returns the cells of a key's row in the documentation of the settings.
fn documented_row(key: &str) -> Option<Vec<&'static str>> {
    let page = include_str!("../../../docs/SETTINGS.md");
    let start = format!("| `{key}` |");
    let row = page.lines().find(|line| line.starts_with(&start))?;
    Some(row.trim_matches('|').split('|').map(str::trim).collect())
}

#[test]
fn documentation_lists_every_key_with_default_and_bounds() {
    let settings = Settings::builder().build().expect("defaults");
    let settings = serde_json::to_value(settings).expect("JSON");
    for section in ["node", "listen", "platform", "limits", "control", "log"] {
        let keys = settings[section].as_object().expect("a section");
        for (key, default) in keys {
            let key = format!("{section}.{key}");
            let row = documented_row(&key).unwrap_or_else(|| panic!("{key} is not documented"));
            let Some(number) = default.as_u64() else {
                continue;
            };
            assert_eq!(row[1], number.to_string(), "default of {key}");
            let (_, name) = key.split_once('.').expect("section.key");
            let text = format!("[{section}]\n{name} = 99999999999\n");
            assert!(
                faults(&text).contains(&format!("use {}\n", row[2])),
                "bounds of {key}"
            );
        }
    }
}

#[test]
fn arbitrary_text_yields_settings_or_faults_with_remedies() {
    const PIECES: [&str; 14] = [
        "[", "]", "[node]", "[limits]", "name", "queue_ms", "=", ":", "\n", "\r\n", ";", "7", "\"",
        "\u{e4}",
    ];
    fn property(choices: Vec<u8>) -> bool {
        let pieces = choices
            .into_iter()
            .map(|choice| PIECES[usize::from(choice) % PIECES.len()]);
        let text: String = pieces.collect();
        let error = Settings::parse(&text, "node.ini").expect_err("no address is given");
        let lines = text.lines().count();
        let in_range = |line: Option<usize>| line.is_none_or(|line| (1..=lines).contains(&line));
        !error.faults.is_empty()
            && error
                .faults
                .iter()
                .all(|fault| !fault.remedy.is_empty() && in_range(fault.line))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 0x1111))
        .tests(2_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a node that starts on a VM too small for it, or that sets a limit where
/// the platform states no memory.
#[test]
fn memory_of_a_gateway_is_checked() {
    let text = "[node]\nname = n\ndata_centre = a\nregion = north\n\
        [listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n\
        peers = 127.0.0.1:0\nmetrics = 127.0.0.1:0\n\
        [platform]\nkey_value = 127.0.0.1:1\n[gateway]\n";
    let read = |line: &str| match GatewayFile::parse(&format!("{text}{line}"), "node.ini") {
        Ok(file) => format!("{:?}", file.bounds.memory_mb),
        Err(error) => error.to_string(),
    };
    let results = [
        "",
        "memory_mb =",
        "memory_mb = 112",
        "memory_mb = 63",
        "memory_mb = many",
    ]
    .map(|line| format!("{line}: {}", read(line)));
    assert_snapshot!(results.join("\n"), @r#"
    : None
    memory_mb =: None
    memory_mb = 112: Some(112)
    memory_mb = 63: node.ini:13: gateway.memory_mb: 63 MB is too little, a node needs 48 MB without requests; use a VM with 64 MB or more, or remove the key to set no limit
    memory_mb = many: node.ini:13: gateway.memory_mb: "many" is not a whole number of megabytes; use a VM with 64 MB or more, or remove the key to set no limit
    "#);
}
