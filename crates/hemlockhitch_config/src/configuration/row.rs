//! The rows that a configuration holds.

use hemlockhitch_model::{
    Class, DataCentreName, EndpointName, ModelName, OrganisationName, RegionName, ServiceName,
    VersionName,
};
use serde::{Deserialize, Serialize};

use super::key::{RowKey, RowKind};

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// SHA-256 of its callers' token, in hexadecimal.
    pub token_sha256: String,
    /// Its weight in fair shares.
    pub weight: u32,
    /// The most requests a second that it may send, over all nodes.
    pub limit_per_s: u32,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Its name, `model@version`.
    pub name: VersionName,
    /// Whether it was withdrawn and gets no new work.
    pub withdrawn: bool,
    /// Price of a million prompt tokens, in millionths of the currency unit.
    pub prompt_price_micros: u64,
    /// Price of a million generated tokens, in millionths of the currency unit.
    pub completion_price_micros: u64,
}

/// A percentage of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share {
    /// Between 0 and 100.
    pub percent: f64,
}

/// Permission of an organisation to use a version.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The version.
    pub version: VersionName,
    /// The version's share of the organisation's new sessions on the model.
    pub share: Share,
}

/// An order of models that an organisation's requests of one class may try.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The class of request.
    pub class: Class,
    /// The models, cheapest first.
    pub models: Vec<ModelName>,
    /// The least mean quality that answers must reach, between 0 and 1.
    pub quality_target_ratio: f64,
}

/// One data centre.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: DataCentreName,
    /// The region that it belongs to.
    pub region: RegionName,
    /// Whether operators have taken it out.
    pub out: bool,
}

/// Whether an endpoint refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderCheck {
    /// It refuses an old number.
    Checked,
    /// It takes any order.
    Ignored,
}

/// One endpoint: a model engine, or one process of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its name.
    pub name: EndpointName,
    /// The address that it serves on, `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The versions that it serves; empty for a plain service.
    pub versions: Vec<VersionName>,
    /// The most requests that it bears at once while cold.
    pub cold_limit: u32,
    /// The most requests that it bears at once when warm.
    pub warm_limit: u32,
    /// How it treats orders.
    pub orders: OrderCheck,
    /// Whether operators have taken it out.
    pub out: bool,
}

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceName,
    /// HTTP method, in capitals.
    pub method: String,
    /// Path below the service, starting with `/`.
    pub path: String,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// The class of the call.
    pub class: Class,
}

/// What a planned stop stops.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopTarget {
    /// One endpoint.
    Endpoint(EndpointName),
    /// One data centre.
    DataCentre(DataCentreName),
}

/// A time during which an endpoint or data centre must be idle.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStop {
    /// What stops.
    pub target: StopTarget,
    /// Start, in milliseconds since the Unix epoch.
    pub from_unix_ms: u64,
    /// End, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

/// The state of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RollOutState {
    /// New sessions go to the new version at its share.
    Running,
    /// An operator holds the roll-out.
    Held,
    /// The guard stopped the roll-out; only an operator may resume it.
    Stopped,
}

/// The replacement of one version of a model by another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollOut {
    /// The version that goes.
    pub from: VersionName,
    /// The version that comes.
    pub to: VersionName,
    /// The new version's share of the model's new sessions.
    pub share: Share,
    /// Its state.
    pub state: RollOutState,
}

/// One row of the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Row {
    /// An organisation.
    Organisation(Organisation),
    /// A version of a model.
    Version(Version),
    /// A permission of an organisation to use a version.
    Allowance(Allowance),
    /// A cascade of an organisation.
    Cascade(Cascade),
    /// A data centre.
    DataCentre(DataCentre),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A call of a plain service.
    ServiceCall(ServiceCall),
    /// A planned stop.
    PlannedStop(PlannedStop),
    /// A roll-out.
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
