//! The kinds of rows in a configuration.

use hemlockhitch_model::{
    Class, DataCentreName, EndpointName, ModelName, OrganisationName, RegionName, ServiceName,
    VersionName,
};
use serde::{Deserialize, Serialize};

use super::key::{RowKey, RowKind};

/// An organisation whose callers use the router.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub name: OrganisationName,
    /// SHA-256 of its callers' token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Weight in fair queueing; at least 1.
    pub weight: u32,
    /// Rate limit over all nodes, in requests per second.
    pub limit_per_s: u32,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the form `model@version`.
    pub name: VersionName,
    /// Whether the version is withdrawn and receives no new work.
    pub withdrawn: bool,
    /// Price of a million prompt tokens, in millionths of a currency unit.
    pub prompt_price_micros: u64,
    /// Price of a million completion tokens, in millionths of a currency unit.
    pub completion_price_micros: u64,
}

/// A percentage of new sessions.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share {
    /// Percentage from 0 to 100.
    pub percent: f64,
}

/// Permission of an organisation to use a version.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// Organisation that the row applies to.
    pub organisation: OrganisationName,
    /// Permitted version.
    pub version: VersionName,
    /// Share of the organisation's new sessions on the model that the version gets.
    pub share: Share,
}

/// The sequence of models that an organisation's requests of one class escalate
/// through.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Organisation that the row applies to.
    pub organisation: OrganisationName,
    /// Class of the requests.
    pub class: Class,
    /// Models in order of escalation, cheapest first.
    pub models: Vec<ModelName>,
    /// Minimum mean quality of the responses, from 0 to 1.
    pub quality_target_ratio: f64,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Unique name.
    pub name: DataCentreName,
    /// Region that it belongs to.
    pub region: RegionName,
    /// Whether operators took it out of service.
    pub out: bool,
}

/// Whether an endpoint rejects orders with a stale fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderCheck {
    /// Orders with a stale fencing token are rejected.
    Checked,
    /// Every order is accepted; fencing tokens are ignored.
    Ignored,
}

/// An endpoint: a model engine, or a process of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name.
    pub name: EndpointName,
    /// Address that it listens on, as `ip:port`.
    pub address: String,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Versions that it serves; empty for a plain service.
    pub versions: Vec<VersionName>,
    /// Maximum number of concurrent requests while cold.
    pub cold_limit: u32,
    /// Maximum number of concurrent requests once warm.
    pub warm_limit: u32,
    /// Whether it checks the fencing tokens of orders.
    pub orders: OrderCheck,
    /// Whether operators took it out of service.
    pub out: bool,
}

/// A call that a plain service offers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCall {
    /// Service that offers the call.
    pub service: ServiceName,
    /// HTTP method in upper case.
    pub method: String,
    /// Path relative to the service, starting with `/`.
    pub path: String,
    /// Whether the call is idempotent and may be retried.
    pub idempotent: bool,
    /// Class of the call.
    pub class: Class,
}

/// Target of a planned stop.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopTarget {
    /// One endpoint.
    Endpoint(EndpointName),
    /// One data centre.
    DataCentre(DataCentreName),
}

/// A maintenance window during which an endpoint or data centre must be idle.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStop {
    /// Endpoint or data centre that stops.
    pub target: StopTarget,
    /// Start, in milliseconds since the Unix epoch.
    pub from_unix_ms: u64,
    /// End, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

/// State of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RollOutState {
    /// The new version receives its share of new sessions.
    Running,
    /// Paused by an operator.
    Held,
    /// Stopped by the roll-out guard; only an operator may resume it.
    Stopped,
}

/// The gradual replacement of a version of a model by another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollOut {
    /// Version that is replaced.
    pub from: VersionName,
    /// Version that replaces it.
    pub to: VersionName,
    /// Share of the two versions' new sessions that go to the new version.
    pub share: Share,
    /// Current state.
    pub state: RollOutState,
}

/// A row of the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Row {
    /// An organisation.
    Organisation(Organisation),
    /// A version of a model.
    Version(Version),
    /// Permission of an organisation to use a version.
    Allowance(Allowance),
    /// A model cascade of an organisation.
    Cascade(Cascade),
    /// A data centre.
    DataCentre(DataCentre),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A call that a plain service offers.
    ServiceCall(ServiceCall),
    /// A maintenance window of an endpoint or data centre.
    PlannedStop(PlannedStop),
    /// A roll-out of a version.
    RollOut(RollOut),
}

impl Row {
    /// Returns the key that identifies the row.
    #[must_use]
    pub fn key(&self) -> RowKey {
        match self {
            Self::Organisation(row) => RowKey::new(RowKind::Organisation, [&row.name]),
            Self::Version(row) => RowKey::new(RowKind::Version, [&row.name]),
            Self::Allowance(row) => RowKey::new(
                RowKind::Allowance,
                [row.organisation.as_str(), row.version.as_str()],
            ),
            Self::Cascade(row) => RowKey::new(
                RowKind::Cascade,
                [row.organisation.as_str(), row.class.as_str()],
            ),
            Self::DataCentre(row) => RowKey::new(RowKind::DataCentre, [&row.name]),
            Self::Endpoint(row) => RowKey::new(RowKind::Endpoint, [&row.name]),
            Self::ServiceCall(row) => RowKey::new(
                RowKind::ServiceCall,
                [row.service.as_str(), row.method.as_str(), row.path.as_str()],
            ),
            Self::PlannedStop(row) => row.key(),
            Self::RollOut(row) => RowKey::new(RowKind::RollOut, [&row.to]),
        }
    }
}

impl PlannedStop {
    fn key(&self) -> RowKey {
        let target = match &self.target {
            StopTarget::Endpoint(name) => format!("endpoint/{name}"),
            StopTarget::DataCentre(name) => format!("data_centre/{name}"),
        };
        RowKey::new(
            RowKind::PlannedStop,
            [target, self.from_unix_ms.to_string()],
        )
    }
}
