//! Settings types, by section.

use std::net::SocketAddr;

use hemlockhitch_model::{DataCentreName, NodeName, OrganisationName, RegionName};
use serde::{Deserialize, Serialize};

use super::integer;

/// All settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the node: `[node]`.
    pub node: NodeSettings,
    /// Listen addresses: `[listen]`.
    pub listen: ListenSettings,
    /// Advertised addresses: `[advertise]`.
    pub advertise: AdvertiseSettings,
    /// Addresses of platform services: `[platform]`.
    pub platform: PlatformSettings,
    /// Tokens for the administration API: `[operators]`.
    pub operators: Vec<OperatorToken>,
    /// Request limits: `[limits]`.
    pub limits: LimitSettings,
    /// Cluster control parameters: `[control]`.
    pub control: ControlSettings,
    /// Logging options: `[log]`.
    pub log: LogSettings,
}

/// Identity and location of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the node; unique in the cluster.
    pub name: NodeName,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Region that it runs in.
    pub region: RegionName,
}

/// Listen addresses of the node; port 0 selects a free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Administration API.
    pub operators: SocketAddr,
    /// Traffic from other nodes.
    pub peers: SocketAddr,
    /// Metrics scrapes.
    pub metrics: SocketAddr,
}

/// Addresses advertised to other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdvertiseSettings {
    /// Address for traffic from other nodes; `None` means the listen address.
    pub peers: Option<SocketAddr>,
}

/// Addresses of platform services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub key_value: SocketAddr,
    /// Address of the VM list service, if used.
    pub vm_list: Option<SocketAddr>,
    /// Address of the rating service, if used.
    pub rating: Option<SocketAddr>,
    /// Address of the weight store, if used.
    pub weights: Option<SocketAddr>,
}

/// Permission granted by an operator token, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Permission {
    /// Read-only access.
    Read,
    /// Read and write access.
    Operate,
}

impl Permission {
    /// Returns whether the permission includes `needed`.
    #[must_use]
    pub fn allows(self, needed: Self) -> bool {
        self >= needed
    }
}

/// The hashed token of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorToken {
    /// Name of the operator, recorded as the author of changes.
    pub name: String,
    /// SHA-256 of the token, in lower-case hexadecimal.
    pub sha256: String,
    /// Permission granted by the token.
    pub permission: Permission,
    /// Organisation to which the token is restricted; `None` means all.
    pub organisation: Option<OrganisationName>,
}

/// Request limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: u64,
    /// Maximum wait for an endpoint before the request is refused, in milliseconds.
    pub queue_ms: u64,
    /// Maximum duration of a complete response, in milliseconds.
    pub answer_ms: u64,
    /// Maximum time between two chunks of a response, in milliseconds.
    pub chunk_ms: u64,
    /// Maximum time that a node waits for running requests on shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Maximum number of concurrent requests of the node.
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

/// Cluster control parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Time to live of a lease after its last renewal, in milliseconds.
    pub lease_ms: u64,
    /// Interval between exchanges with peers, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time after which a node that reaches neither the store nor a peer stops accepting
    /// new work, in milliseconds.
    pub self_stop_ms: u64,
    /// Number of ledger shards; must be the same on every node.
    pub shards: u64,
    /// Number of ownership buckets; must be the same on every node.
    pub buckets: u64,
    /// Number of nodes per data centre that watch the store.
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

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Logging options.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Format of the log lines.
    pub format: LogFormat,
    /// Minimum level, optionally followed by levels of individual packages, as in
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
