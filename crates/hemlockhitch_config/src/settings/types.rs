//! The settings by section.

use std::net::SocketAddr;

use hemlockhitch_model::{DataCentreName, NodeName, OrganisationName, RegionName};
use serde::{Deserialize, Serialize};

use super::integer;

/// All settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the node is: `[node]`.
    pub node: NodeSettings,
    /// Where it listens: `[listen]`.
    pub listen: ListenSettings,
    /// Where others reach it: `[advertise]`.
    pub advertise: AdvertiseSettings,
    /// Where the platform's services are: `[platform]`.
    pub platform: PlatformSettings,
    /// Who may use the administration API: `[operators]`.
    pub operators: Vec<OperatorToken>,
    /// Limits of requests: `[limits]`.
    pub limits: LimitSettings,
    /// Control between nodes: `[control]`.
    pub control: ControlSettings,
    /// Logs: `[log]`.
    pub log: LogSettings,
}

/// Who the node is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Its name; no other node may have it.
    pub name: NodeName,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// The region that it stands in.
    pub region: RegionName,
}

/// Where the node listens; port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the administration API.
    pub operators: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

/// Where others reach the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdvertiseSettings {
    /// Address for other nodes; `None` means the address that it listens on.
    pub peers: Option<SocketAddr>,
}

/// Where the platform's services are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub key_value: SocketAddr,
    /// Address of the VM list.
    pub vm_list: Option<SocketAddr>,
    /// Address of the rating service.
    pub rating: Option<SocketAddr>,
    /// Address of the weight store.
    pub weights: Option<SocketAddr>,
}

/// What an operator's token permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permission {
    /// Reading.
    Read,
    /// Reading and changing.
    Operate,
}

impl Permission {
    /// Returns whether the permission covers what an act needs.
    #[must_use]
    pub fn allows(self, needed: Self) -> bool {
        self >= needed
    }
}

/// One operator's token.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorToken {
    /// The operator's name, for the history of changes.
    pub name: String,
    /// SHA-256 of the token, in lower-case hexadecimal.
    pub sha256: String,
    /// What the token permits.
    pub permission: Permission,
    /// The only organisation that the token concerns; `None` means all.
    pub organisation: Option<OrganisationName>,
}

/// Limits of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest body of a request, in bytes.
    pub body_bytes: u64,
    /// The largest head of a request, in bytes.
    pub header_bytes: u64,
    /// The longest wait for an endpoint before a refusal, in milliseconds.
    pub queue_ms: u64,
    /// The longest time of a whole answer, in milliseconds.
    pub answer_ms: u64,
    /// The longest wait between two chunks of an answer, in milliseconds.
    pub chunk_ms: u64,
    /// The longest time that a stopping node waits for its requests, in
    /// milliseconds.
    pub drain_ms: u64,
    /// The most requests that the node has in hand at once.
    pub in_flight: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: integer::BODY_BYTES.default,
            header_bytes: integer::HEADER_BYTES.default,
            queue_ms: integer::QUEUE_MS.default,
            answer_ms: integer::ANSWER_MS.default,
            chunk_ms: integer::CHUNK_MS.default,
            drain_ms: integer::DRAIN_MS.default,
            in_flight: integer::IN_FLIGHT.default,
        }
    }
}

/// Control between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// How long a lease lasts after its last renewal, in milliseconds.
    pub lease_ms: u64,
    /// The time between two exchanges with peers, in milliseconds.
    pub heartbeat_ms: u64,
    /// How long a node that hears neither the store nor a peer goes on taking
    /// new work, in milliseconds.
    pub self_stop_ms: u64,
    /// The number of ledger shards; the same on every node.
    pub shards: u64,
    /// The number of ownership buckets; the same on every node.
    pub buckets: u64,
    /// The nodes of each data centre that watch the store.
    pub watchers_per_data_centre: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            lease_ms: integer::LEASE_MS.default,
            heartbeat_ms: integer::HEARTBEAT_MS.default,
            self_stop_ms: integer::SELF_STOP_MS.default,
            shards: integer::SHARDS.default,
            buckets: integer::BUCKETS.default,
            watchers_per_data_centre: integer::WATCHERS_PER_DATA_CENTRE.default,
        }
    }
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The form of the lines.
    pub format: LogFormat,
    /// The least level that is written, and levels of single packages, as
    /// `info,hemlockhitch_router=debug`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            level: "info".to_owned(),
        }
    }
}
