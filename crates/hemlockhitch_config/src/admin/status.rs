//! Messages about the state of nodes and endpoints.

use hemlockhitch_model::{DataCentreName, EndpointName, NodeName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// The state of a node as the answering node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It is heard.
    Live,
    /// It was not heard for a while.
    Suspect,
    /// It finishes its requests and leaves.
    Leaving,
    /// It heard neither the store nor a peer and takes no new work.
    Stopped,
    /// It is gone.
    Dead,
}

/// One node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeStatus {
    /// Its name.
    pub name: NodeName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its state.
    pub state: NodeState,
    /// The newest generation that it is known to obey.
    pub generation: u64,
    /// How long ago it was last heard, in milliseconds.
    pub age_ms: u64,
}

/// The state of an endpoint as the answering node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It bears its full load.
    Warm,
    /// It bears little load.
    Cold,
    /// It failed lately and gets no new work.
    Failing,
    /// It, or its data centre, was taken out or is about to stop.
    Out,
    /// Nothing is known of it yet.
    Unknown,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointStatus {
    /// Its name.
    pub name: EndpointName,
    /// Its service.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its state.
    pub state: EndpointState,
    /// The node that grants its slots, if one is known.
    pub owner: Option<NodeName>,
    /// The most requests that it may have at once now.
    pub limit: u32,
    /// The requests that it has now.
    pub in_flight: u32,
    /// The age of its last load report, in milliseconds.
    pub report_age_ms: Option<u64>,
}

/// A roll-out that the guard stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoppedRollOut {
    /// The version that was coming.
    pub version: VersionName,
    /// Why it was stopped, in words for operators.
    pub reason: String,
    /// When it was stopped, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// The state of the system as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The node that answers.
    pub node: NodeName,
    /// The generation that it obeys.
    pub generation: u64,
    /// The nodes.
    pub nodes: Vec<NodeStatus>,
    /// The endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// The roll-outs that the guard stopped.
    pub stopped_roll_outs: Vec<StoppedRollOut>,
}
