//! Reads each section of the settings.

use hemlockhitch_model::{DataCentreName, NodeName, OrganisationName, RegionName};

use super::fault::{Fault, FaultKind};
use super::integer;
use super::reader::Reader;
use super::source::SourceEntry;
use super::types::{
    AdvertiseSettings, ControlSettings, LimitSettings, ListenSettings, LogFormat, LogSettings,
    NodeSettings, OperatorToken, Permission, PlatformSettings, Settings,
};
use crate::digest::is_sha256;

/// The fewest heartbeats that must fit in the self-stop time.
const HEARTBEATS_PER_SELF_STOP: u64 = 2;

const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Reads all sections; `None` when something without default is missing.
pub(super) fn read(reader: &mut Reader) -> Option<Settings> {
    let node = node(reader);
    let listen = listen(reader);
    let advertise = AdvertiseSettings {
        peers: reader.optional_address("advertise", "peers"),
    };
    let platform = platform(reader);
    let operators = operators(reader);
    let limits = limits(reader);
    let control = control(reader);
    let log = log(reader);
    for fault in relations(&limits, &control) {
        reader.add(fault);
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

pub(super) fn node(reader: &mut Reader) -> Option<NodeSettings> {
    let name = reader.name("node", "name");
    let data_centre = reader.name("node", "data_centre");
    let region = reader.name("node", "region");
    Some(NodeSettings {
        name: NodeName::new(name?),
        data_centre: DataCentreName::new(data_centre?),
        region: RegionName::new(region?),
    })
}

fn listen(reader: &mut Reader) -> Option<ListenSettings> {
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

fn platform(reader: &mut Reader) -> Option<PlatformSettings> {
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

fn limits(reader: &mut Reader) -> LimitSettings {
    LimitSettings {
        body_bytes: reader.number(&integer::BODY_BYTES),
        header_bytes: reader.number(&integer::HEADER_BYTES),
        queue_ms: reader.number(&integer::QUEUE_MS),
        answer_ms: reader.number(&integer::ANSWER_MS),
        chunk_ms: reader.number(&integer::CHUNK_MS),
        drain_ms: reader.number(&integer::DRAIN_MS),
        in_flight: reader.number(&integer::IN_FLIGHT),
    }
}

fn control(reader: &mut Reader) -> ControlSettings {
    ControlSettings {
        lease_ms: reader.number(&integer::LEASE_MS),
        heartbeat_ms: reader.number(&integer::HEARTBEAT_MS),
        self_stop_ms: reader.number(&integer::SELF_STOP_MS),
        shards: reader.number(&integer::SHARDS),
        buckets: reader.number(&integer::BUCKETS),
        watchers_per_data_centre: reader.number(&integer::WATCHERS_PER_DATA_CENTRE),
    }
}

pub(super) fn log(reader: &mut Reader) -> LogSettings {
    let mut log = LogSettings::default();
    if let Some(entry) = reader.take("log", "format") {
        match entry.value.as_str() {
            "text" => log.format = LogFormat::Text,
            "json" => log.format = LogFormat::Json,
            _ => bad_choice(reader, &entry, "text or json"),
        }
    }
    if let Some(entry) = reader.take("log", "level") {
        if entry.value.split(',').all(is_level) {
            log.level = entry.value;
        } else {
            let choices = format!("{}; for one package, add ,PACKAGE=LEVEL", LEVELS.join(", "));
            bad_choice(reader, &entry, &choices);
        }
    }
    log
}

/// Returns whether the text is a level, or the level of one package.
fn is_level(text: &str) -> bool {
    let is_package = |name: &str| {
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | ':');
        !name.is_empty() && name.chars().all(plain)
    };
    match text.split_once('=') {
        Some((package, level)) => is_package(package) && LEVELS.contains(&level),
        None => LEVELS.contains(&text),
    }
}

fn bad_choice(reader: &mut Reader, entry: &SourceEntry, choices: &str) {
    let message = format!("{:?} is not a choice", entry.value);
    let remedy = format!("use {choices}");
    reader.fault(FaultKind::BadValue, entry, message, &remedy);
}

fn operators(reader: &mut Reader) -> Vec<OperatorToken> {
    let mut tokens: Vec<OperatorToken> = Vec::new();
    for entry in reader.take_prefixed("operators", "token.") {
        let Some(token) = operator(reader, &entry) else {
            continue;
        };
        if tokens.iter().any(|other| other.name == token.name) {
            reader.duplicate(&entry);
        } else if tokens.iter().any(|other| other.sha256 == token.sha256) {
            let message = "has the token of another operator".to_owned();
            let remedy = "give each operator a token of their own";
            reader.fault(FaultKind::DuplicateKey, &entry, message, remedy);
        } else {
            tokens.push(token);
        }
    }
    tokens
}

fn operator(reader: &mut Reader, entry: &SourceEntry) -> Option<OperatorToken> {
    let token = parse_operator(entry);
    if token.is_none() {
        let message = "is not an operator's token".to_owned();
        let remedy = "write token.NAME = SHA-256 of the token in 64 hexadecimal digits, \
                      then read or operate, then an organisation if it is limited to one";
        reader.fault(FaultKind::BadValue, entry, message, remedy);
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
    if !is_sha256(&sha256) || name.is_empty() || words.next().is_some() {
        return None;
    }
    Some(OperatorToken {
        name: name.to_owned(),
        sha256,
        permission,
        organisation,
    })
}

/// Checks settings that were made in code.
pub(super) fn check(settings: &Settings) -> Vec<Fault> {
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
        .filter(|(number, value)| !number.holds(*value))
        .map(|(number, value)| number.out_of_bounds(value))
        .collect();
    faults.extend(relations(limits, control));
    faults
}

/// Checks the settings that must fit each other.
fn relations(limits: &LimitSettings, control: &ControlSettings) -> Vec<Fault> {
    let least_self_stop_ms = control.heartbeat_ms * HEARTBEATS_PER_SELF_STOP;
    let relations = [
        (
            control.self_stop_ms < least_self_stop_ms,
            "control.self_stop_ms",
            format!("is less than {HEARTBEATS_PER_SELF_STOP} heartbeats"),
            format!("use at least {least_self_stop_ms}, or shorten heartbeat_ms"),
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
    relations
        .into_iter()
        .filter(|(broken, ..)| *broken)
        .map(|(_, key, message, remedy)| Fault {
            kind: FaultKind::OutOfBounds,
            line: None,
            key: key.to_owned(),
            message,
            remedy,
        })
        .collect()
}
