//! Settings of a node that runs as a gateway on a platform.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::fault::SettingsError;
use super::reader::Reader;
use super::types::{LogSettings, NodeSettings};
use super::{decimal, integer, sections};

/// Settings of a node that runs as a gateway on a platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayFile {
    /// Who the node is: `[node]`.
    pub node: NodeSettings,
    /// Where it listens: `[listen]`.
    pub listen: GatewayListen,
    /// Address of the platform's store: `platform.key_value`.
    pub key_value: SocketAddr,
    /// Bounds that the platform sets: `[gateway]`.
    pub bounds: GatewayBounds,
    /// Logs: `[log]`.
    pub log: LogSettings,
}

/// Where the node listens; port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's question whether the node is ready.
    pub readiness: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

/// Bounds that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayBounds {
    /// Within what time an API key that was taken away must have no effect, in
    /// milliseconds.
    pub revoke_ms: u64,
    /// Repeats allowed for each request, over all nodes.
    pub repeat_ratio: f64,
    /// Repeats allowed besides, over all nodes.
    pub repeat_allowance: f64,
    /// The window in which repeats are counted, in seconds.
    pub repeat_window_s: f64,
    /// By what factor the rate of a cold endpoint may be passed.
    pub cold_factor: f64,
    /// Requests a second to a cold endpoint that are allowed besides.
    pub cold_allowance: f64,
    /// How long a prompt part stays cached at an endpoint, in seconds.
    pub part_kept_s: f64,
    /// How long a session keeps its version after a request, in seconds.
    pub session_s: f64,
    /// How long a stopping node may take, in seconds.
    pub grace_s: f64,
    /// What the VM's link carries, in megabits a second.
    pub link_mbps: f64,
    /// The part of a core, or the cores, that the node has.
    pub cores: f64,
    /// The most requests that the node has in hand at once.
    pub in_flight: u64,
}

impl GatewayFile {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Lists every fault of the file.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        super::read_file(path.as_ref(), Self::parse)
    }

    /// Parses the text of a settings file; `file_name` is named in faults.
    ///
    /// # Errors
    ///
    /// Lists every fault of the text.
    pub fn parse(text: &str, file_name: &str) -> Result<Self, SettingsError> {
        super::parse(text, file_name, read)
    }
}

fn read(reader: &mut Reader) -> Option<GatewayFile> {
    let node = sections::node(reader);
    let callers = reader.address("listen", "callers");
    let readiness = reader.address("listen", "readiness");
    let peers = reader.address("listen", "peers");
    let metrics = reader.address("listen", "metrics");
    let key_value = reader.address("platform", "key_value");
    let bounds = GatewayBounds {
        revoke_ms: reader.number(&integer::REVOKE_MS),
        repeat_ratio: decimal::REPEAT_RATIO.read(reader),
        repeat_allowance: decimal::REPEAT_ALLOWANCE.read(reader),
        repeat_window_s: decimal::REPEAT_WINDOW_S.read(reader),
        cold_factor: decimal::COLD_FACTOR.read(reader),
        cold_allowance: decimal::COLD_ALLOWANCE.read(reader),
        part_kept_s: decimal::PART_KEPT_S.read(reader),
        session_s: decimal::SESSION_S.read(reader),
        grace_s: decimal::GRACE_S.read(reader),
        link_mbps: decimal::LINK_MBPS.read(reader),
        cores: decimal::CORES.read(reader),
        in_flight: reader.number(&integer::GATEWAY_IN_FLIGHT),
    };
    let log = sections::log(reader);
    Some(GatewayFile {
        node: node?,
        listen: GatewayListen {
            callers: callers?,
            readiness: readiness?,
            peers: peers?,
            metrics: metrics?,
        },
        key_value: key_value?,
        bounds,
        log,
    })
}
