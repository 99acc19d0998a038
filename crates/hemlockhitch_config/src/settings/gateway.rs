//! Settings of a node that runs as a gateway of a platform.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::fault::{FaultKind, SettingsError};
use super::reader::Reader;
use super::types::{LogSettings, NodeSettings};
use super::{decimal, integer, sections};

/// Settings of a node that runs as a gateway of a platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayFile {
    /// Identity of the node: `[node]`.
    pub node: NodeSettings,
    /// Listen addresses: `[listen]`.
    pub listen: GatewayListenSettings,
    /// Whether the whole fleet starts for the first time: `node.first_start`.
    pub first_start: bool,
    /// Address from which the node connects to endpoints: `node.source_address`; `None`
    /// if the operating system chooses it.
    pub source_address: Option<IpAddr>,
    /// Address of the platform's key-value service: `platform.key_value`.
    pub key_value: SocketAddr,
    /// Names of what the platform has agreed with its customers: `platform.contracts`,
    /// separated by commas.
    pub contracts: Vec<String>,
    /// Limits set by the platform: `[gateway]`.
    pub bounds: GatewayLimits,
    /// Logging options: `[log]`.
    pub log: LogSettings,
}

/// Listen addresses of the node; port 0 selects a free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListenSettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness probes of the load balancer.
    pub readiness: SocketAddr,
    /// Traffic from other nodes.
    pub peers: SocketAddr,
    /// Metrics scrapes.
    pub metrics: SocketAddr,
}

/// Limits set by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayLimits {
    /// Maximum time until a revoked API key is rejected, in milliseconds.
    pub revoke_ms: u64,
    /// Maximum time until a change of the configuration is in force, in milliseconds.
    pub apply_ms: u64,
    /// Retry budget: retries allowed per request, over all nodes.
    pub repeat_ratio: f64,
    /// Retries allowed in addition to `repeat_ratio`, over all nodes.
    pub repeat_allowance: f64,
    /// Length of the window in which retries are counted, in seconds.
    pub repeat_window_s: f64,
    /// Factor applied to the rate limit of a cold endpoint.
    pub cold_factor: f64,
    /// Requests per second added to the rate limit of a cold endpoint.
    pub cold_allowance: f64,
    /// Share of a service's requests, from 0 to 1, that a bad version may get.
    pub exposure_share: f64,
    /// Longest pause that an endpoint may ask a node for, in seconds.
    pub max_pause_s: f64,
    /// Maximum number of probes of work times per second; 0 for none.
    pub probes_per_s: f64,
    /// Time for which a prompt part stays cached at an endpoint, in seconds.
    pub part_kept_s: f64,
    /// Time for which a session keeps its version after a request, in seconds.
    pub session_s: f64,
    /// Grace period of a node that shuts down, in seconds.
    pub grace_s: f64,
    /// Bandwidth of the VM's network link, in megabits per second.
    pub link_mbps: f64,
    /// Number of CPU cores available to the node; may be fractional.
    pub cores: f64,
    /// Maximum number of concurrent requests of the node.
    pub in_flight: u64,
    /// Memory of the VM, in megabytes; `None` if requests and answers are not limited by it.
    pub memory_mb: Option<u64>,
    /// Whether the capacity of services is divided fairly among organisations.
    pub shares: bool,
    /// Price of a response of the largest model, as a ratio of the worth of a good response.
    pub model_price: f64,
}

/// Memory that a node needs itself, in megabytes: 13 when it is idle, and 32 for what it
/// keeps of the largest fleet that it is designed for.
pub const NODE_MEMORY_MB: u64 = 48;

/// Smallest memory of a VM on which a node serves requests, in megabytes.
const MIN_MEMORY_MB: u64 = NODE_MEMORY_MB + 16;

impl GatewayFile {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault in the file.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        super::read_file(path.as_ref(), Self::parse)
    }

    /// Parses the text of a settings file; `file_name` is used in fault messages.
    ///
    /// # Errors
    ///
    /// Returns every fault in the text.
    pub fn parse(text: &str, file_name: &str) -> Result<Self, SettingsError> {
        super::parse(text, file_name, read_gateway)
    }
}

fn read_gateway(reader: &mut Reader) -> Option<GatewayFile> {
    let node = sections::read_node(reader);
    let first_start = reader.flag("node", "first_start");
    let source_address = reader.optional_ip("node", "source_address");
    let callers = reader.address("listen", "callers");
    let readiness = reader.address("listen", "readiness");
    let peers = reader.address("listen", "peers");
    let metrics = reader.address("listen", "metrics");
    let key_value = reader.address("platform", "key_value");
    let contracts = reader.list("platform", "contracts");
    let bounds = GatewayLimits {
        revoke_ms: reader.integer(&integer::REVOKE_MS),
        apply_ms: reader.integer(&integer::APPLY_MS),
        repeat_ratio: decimal::REPEAT_RATIO.read(reader),
        repeat_allowance: decimal::REPEAT_ALLOWANCE.read(reader),
        repeat_window_s: decimal::REPEAT_WINDOW_S.read(reader),
        cold_factor: decimal::COLD_FACTOR.read(reader),
        cold_allowance: decimal::COLD_ALLOWANCE.read(reader),
        exposure_share: decimal::EXPOSURE_SHARE.read(reader),
        max_pause_s: decimal::MAX_PAUSE_S.read(reader),
        probes_per_s: decimal::PROBES_PER_S.read(reader),
        part_kept_s: decimal::PART_KEPT_S.read(reader),
        session_s: decimal::SESSION_S.read(reader),
        grace_s: decimal::GRACE_S.read(reader),
        link_mbps: decimal::LINK_MBPS.read(reader),
        cores: decimal::CORES.read(reader),
        in_flight: reader.integer(&integer::GATEWAY_IN_FLIGHT),
        memory_mb: read_memory_mb(reader),
        shares: reader.flag("gateway", "shares"),
        model_price: decimal::MODEL_PRICE.read(reader),
    };
    let log = sections::read_log(reader);
    Some(GatewayFile {
        node: node?,
        first_start,
        source_address,
        listen: GatewayListenSettings {
            callers: callers?,
            readiness: readiness?,
            peers: peers?,
            metrics: metrics?,
        },
        key_value: key_value?,
        contracts,
        bounds,
        log,
    })
}

/// Reads the memory of the VM. An empty value stands for a platform that states none.
fn read_memory_mb(reader: &mut Reader) -> Option<u64> {
    let entry = reader.take("gateway", "memory_mb")?;
    if entry.value.is_empty() {
        return None;
    }
    let memory_mb = entry.value.parse::<u64>().ok();
    let message = match memory_mb {
        Some(memory_mb) if memory_mb >= MIN_MEMORY_MB => return Some(memory_mb),
        Some(memory_mb) => format!(
            "{memory_mb} MB is too little, a node needs {NODE_MEMORY_MB} MB without requests"
        ),
        None => format!("{:?} is not a whole number of megabytes", entry.value),
    };
    let kind = memory_mb.map_or(FaultKind::BadValue, |_| FaultKind::OutOfBounds);
    let remedy =
        format!("use a VM with {MIN_MEMORY_MB} MB or more, or remove the key to set no limit");
    reader.add_entry_fault(kind, &entry, message, &remedy);
    None
}
