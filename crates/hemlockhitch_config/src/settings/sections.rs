//! Reading and validation of the sections of the settings.

use hemlockhitch_model::{DataCentreName, NodeName, OrganisationName, RegionName};

use super::fault::{Fault, FaultKind};
use super::integer;
use super::reader::Reader;
use super::source::SourceEntry;
use super::types::{
    AdvertiseSettings, ControlSettings, LimitSettings, ListenSettings, LogFormat, LogSettings,
    NodeSettings, OperatorToken, Permission, PlatformSettings, Settings,
};
use crate::digest::is_sha256_hex;

/// Minimum number of heartbeat intervals within the self-stop timeout.
const MIN_HEARTBEATS_PER_SELF_STOP: u64 = 2;

const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Reads all sections; `None` if a required setting is missing or invalid.
pub(super) fn read_settings(reader: &mut Reader) -> Option<Settings> {
    let node = read_node(reader);
    let listen = read_listen(reader);
    let advertise = AdvertiseSettings {
        peers: reader.optional_address("advertise", "peers"),
    };
    let platform = read_platform(reader);
    let operators = read_operators(reader);
    let limits = read_limits(reader);
    let control = read_control(reader);
    let log = read_log(reader);
    for fault in constraint_faults(&limits, &control) {
        reader.add_fault(fault);
    }
    Some(Settings {
        node: node?,
        listen: listen?,
        advertise,
        platform: platform?,
        operators,
        limits,
        control,
        log,
    })
}

pub(super) fn read_node(reader: &mut Reader) -> Option<NodeSettings> {
    let name = reader.name("node", "name");
    let data_centre = reader.name("node", "data_centre");
    let region = reader.name("node", "region");
    Some(NodeSettings {
        name: NodeName::new(name?),
        data_centre: DataCentreName::new(data_centre?),
        region: RegionName::new(region?),
    })
}

fn read_listen(reader: &mut Reader) -> Option<ListenSettings> {
    let callers = reader.address("listen", "callers");
    let operators = reader.address("listen", "operators");
    let peers = reader.address("listen", "peers");
    let metrics = reader.address("listen", "metrics");
    Some(ListenSettings {
        callers: callers?,
        operators: operators?,
        peers: peers?,
        metrics: metrics?,
    })
}

fn read_platform(reader: &mut Reader) -> Option<PlatformSettings> {
    let key_value = reader.address("platform", "key_value");
    let vm_list = reader.optional_address("platform", "vm_list");
    let rating = reader.optional_address("platform", "rating");
    let weights = reader.optional_address("platform", "weights");
    Some(PlatformSettings {
        key_value: key_value?,
        vm_list,
        rating,
        weights,
    })
}

fn read_limits(reader: &mut Reader) -> LimitSettings {
    LimitSettings {
        body_bytes: reader.integer(&integer::BODY_BYTES),
        header_bytes: reader.integer(&integer::HEADER_BYTES),
        queue_ms: reader.integer(&integer::QUEUE_MS),
        answer_ms: reader.integer(&integer::ANSWER_MS),
        chunk_ms: reader.integer(&integer::CHUNK_MS),
        drain_ms: reader.integer(&integer::DRAIN_MS),
        in_flight: reader.integer(&integer::IN_FLIGHT),
    }
}

fn read_control(reader: &mut Reader) -> ControlSettings {
    ControlSettings {
        lease_ms: reader.integer(&integer::LEASE_MS),
        heartbeat_ms: reader.integer(&integer::HEARTBEAT_MS),
        self_stop_ms: reader.integer(&integer::SELF_STOP_MS),
        shards: reader.integer(&integer::SHARDS),
        buckets: reader.integer(&integer::BUCKETS),
        watchers_per_data_centre: reader.integer(&integer::WATCHERS_PER_DATA_CENTRE),
    }
}

pub(super) fn read_log(reader: &mut Reader) -> LogSettings {
    let mut log = LogSettings::default();
    if let Some(entry) = reader.take("log", "format") {
        match entry.value.as_str() {
            "text" => log.format = LogFormat::Text,
            "json" => log.format = LogFormat::Json,
            _ => add_invalid_choice(reader, &entry, "text or json"),
        }
    }
    if let Some(entry) = reader.take("log", "level") {
        if entry.value.split(',').all(is_level_directive) {
            log.level = entry.value;
        } else {
            let choices = format!(
                "{}; for one package, add ,PACKAGE=LEVEL",
                LOG_LEVELS.join(", ")
            );
            add_invalid_choice(reader, &entry, &choices);
        }
    }
    log
}

/// Returns whether the text is a log level, or `PACKAGE=LEVEL`.
fn is_level_directive(text: &str) -> bool {
    let is_package = |name: &str| {
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | ':');
        !name.is_empty() && name.chars().all(is_name_char)
    };
    match text.split_once('=') {
        Some((package, level)) => is_package(package) && LOG_LEVELS.contains(&level),
        None => LOG_LEVELS.contains(&text),
    }
}

fn add_invalid_choice(reader: &mut Reader, entry: &SourceEntry, choices: &str) {
    let message = format!("{:?} is not a choice", entry.value);
    let remedy = format!("use {choices}");
    reader.add_entry_fault(FaultKind::BadValue, entry, message, &remedy);
}

fn read_operators(reader: &mut Reader) -> Vec<OperatorToken> {
    let mut tokens: Vec<OperatorToken> = Vec::new();
    for entry in reader.take_prefixed("operators", "token.") {
        let Some(token) = read_operator(reader, &entry) else {
            continue;
        };
        if tokens.iter().any(|other| other.name == token.name) {
            reader.add_duplicate(&entry);
        } else if tokens.iter().any(|other| other.sha256 == token.sha256) {
            let message = "has the token of another operator".to_owned();
            let remedy = "give each operator a token of their own";
            reader.add_entry_fault(FaultKind::DuplicateKey, &entry, message, remedy);
        } else {
            tokens.push(token);
        }
    }
    tokens
}

fn read_operator(reader: &mut Reader, entry: &SourceEntry) -> Option<OperatorToken> {
    let token = parse_operator(entry);
    if token.is_none() {
        let message = "is not an operator's token".to_owned();
        let remedy = "write token.NAME = SHA-256 of the token in 64 hexadecimal digits, \
                      then read or operate, then an organisation if it is limited to one";
        reader.add_entry_fault(FaultKind::BadValue, entry, message, remedy);
    }
    token
}

fn parse_operator(entry: &SourceEntry) -> Option<OperatorToken> {
    let name = entry.key.strip_prefix("token.")?;
    let mut words = entry.value.split_whitespace();
    let sha256 = words.next()?.to_ascii_lowercase();
    let permission = match words.next()? {
        "read" => Permission::Read,
        "operate" => Permission::Operate,
        _ => return None,
    };
    let organisation = words.next().map(OrganisationName::from);
    if !is_sha256_hex(&sha256) || name.is_empty() || words.next().is_some() {
        return None;
    }
    Some(OperatorToken {
        name: name.to_owned(),
        sha256,
        permission,
        organisation,
    })
}

/// Validates settings that were created in code.
pub(super) fn validate(settings: &Settings) -> Vec<Fault> {
    let limits = &settings.limits;
    let control = &settings.control;
    let values = [
        (integer::BODY_BYTES, limits.body_bytes),
        (integer::HEADER_BYTES, limits.header_bytes),
        (integer::QUEUE_MS, limits.queue_ms),
        (integer::ANSWER_MS, limits.answer_ms),
        (integer::CHUNK_MS, limits.chunk_ms),
        (integer::DRAIN_MS, limits.drain_ms),
        (integer::IN_FLIGHT, limits.in_flight),
        (integer::LEASE_MS, control.lease_ms),
        (integer::HEARTBEAT_MS, control.heartbeat_ms),
        (integer::SELF_STOP_MS, control.self_stop_ms),
        (integer::SHARDS, control.shards),
        (integer::BUCKETS, control.buckets),
        (
            integer::WATCHERS_PER_DATA_CENTRE,
            control.watchers_per_data_centre,
        ),
    ];
    let mut faults: Vec<Fault> = values
        .into_iter()
        .filter(|(setting, value)| !setting.is_in_bounds(*value))
        .map(|(setting, value)| setting.out_of_bounds(value))
        .collect();
    faults.extend(constraint_faults(limits, control));
    faults
}

/// Checks the constraints between settings.
fn constraint_faults(limits: &LimitSettings, control: &ControlSettings) -> Vec<Fault> {
    let min_self_stop_ms = control.heartbeat_ms * MIN_HEARTBEATS_PER_SELF_STOP;
    let constraints = [
        (
            control.self_stop_ms < min_self_stop_ms,
            "control.self_stop_ms",
            format!("is less than {MIN_HEARTBEATS_PER_SELF_STOP} heartbeats"),
            format!("use at least {min_self_stop_ms}, or shorten heartbeat_ms"),
        ),
        (
            control.lease_ms <= control.self_stop_ms,
            "control.lease_ms",
            "is not longer than self_stop_ms".to_owned(),
            format!(
                "use more than {}, or shorten self_stop_ms",
                control.self_stop_ms
            ),
        ),
        (
            limits.answer_ms < limits.chunk_ms,
            "limits.answer_ms",
            "is shorter than chunk_ms".to_owned(),
            format!("use at least {}, or shorten chunk_ms", limits.chunk_ms),
        ),
    ];
    constraints
        .into_iter()
        .filter(|(violated, ..)| *violated)
        .map(|(_, key, message, remedy)| Fault {
            kind: FaultKind::OutOfBounds,
            line: None,
            key: key.to_owned(),
            message,
            remedy,
        })
        .collect()
}
