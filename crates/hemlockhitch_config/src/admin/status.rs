//! Messages that report the status of nodes and endpoints.

use hemlockhitch_model::{DataCentreName, EndpointName, NodeName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// State of a node, as seen by the responding node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Heartbeats are received.
    Live,
    /// Heartbeats are overdue.
    Suspect,
    /// Draining its requests before it leaves the cluster.
    Leaving,
    /// Reached neither the store nor a peer and accepts no new work.
    Stopped,
    /// No longer part of the cluster.
    Dead,
}

/// Status of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeStatus {
    /// Unique name.
    pub name: NodeName,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Current state.
    pub state: NodeState,
    /// Newest generation that the node is known to apply.
    pub generation: u64,
    /// Time since its last heartbeat, in milliseconds.
    pub age_ms: u64,
}

/// State of an endpoint, as seen by the responding node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Accepts up to its warm limit.
    Warm,
    /// Accepts up to its cold limit.
    Cold,
    /// Failed recently and receives no new work.
    Failing,
    /// The endpoint or its data centre is out of service or about to stop.
    Out,
    /// No information is available yet.
    Unknown,
}

/// Status of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointStatus {
    /// Unique name.
    pub name: EndpointName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Current state.
    pub state: EndpointState,
    /// Node that grants its slots, if known.
    pub owner: Option<NodeName>,
    /// Current limit of concurrent requests.
    pub limit: u32,
    /// Current number of concurrent requests.
    pub in_flight: u32,
    /// Age of its last load report, in milliseconds; `None` before the first one.
    pub report_age_ms: Option<u64>,
}

/// A roll-out that the roll-out guard stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoppedRollOut {
    /// Version that was being rolled out.
    pub version: VersionName,
    /// Reason for the stop, as a text for operators.
    pub reason: String,
    /// Time of the stop, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// State of the system, as seen by one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Node that created the report.
    pub node: NodeName,
    /// Configuration generation that the node applies.
    pub generation: u64,
    /// Known nodes.
    pub nodes: Vec<NodeStatus>,
    /// Configured endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// Roll-outs that the roll-out guard stopped.
    pub stopped_roll_outs: Vec<StoppedRollOut>,
}
