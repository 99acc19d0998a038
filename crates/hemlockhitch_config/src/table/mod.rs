//! The routing table: a configuration compiled into arenas for the request path.

mod compile;

use std::collections::HashMap;

use hemlockhitch_model::{
    Arena, Class, DataCentreKey, DataCentreName, EndpointKey, EndpointName, ModelKey, ModelName,
    OrganisationKey, OrganisationName, ServiceKey, ServiceName, VersionKey, VersionName,
};

use crate::configuration::{Cascade, DataCentre, Endpoint, Organisation, ServiceCall, Version};

/// An organisation and what it may use.
#[derive(Clone, Debug)]
pub struct OrganisationEntry {
    /// The row.
    pub row: Organisation,
    /// The versions that it may use, with shares, by model.
    pub allowed: HashMap<ModelKey, Vec<AllowedVersion>>,
    /// Its cascades by class.
    pub cascades: HashMap<Class, CascadeEntry>,
}

/// A version that an organisation may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowedVersion {
    /// The version.
    pub version: VersionKey,
    /// The share of new sessions, in percent.
    pub share_percent: f64,
}

/// A cascade with its models resolved.
#[derive(Clone, Debug)]
pub struct CascadeEntry {
    /// The row.
    pub row: Cascade,
    /// The models, cheapest first.
    pub models: Vec<ModelKey>,
}

/// A version and the endpoints that serve it.
#[derive(Clone, Debug)]
pub struct VersionEntry {
    /// The row.
    pub row: Version,
    /// The model that it belongs to.
    pub model: ModelKey,
    /// The endpoints that serve it.
    pub endpoints: Vec<EndpointKey>,
}

/// A model and its versions.
#[derive(Clone, Debug)]
pub struct ModelEntry {
    /// Its name.
    pub name: ModelName,
    /// Its versions.
    pub versions: Vec<VersionKey>,
}

/// An endpoint with its names resolved.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The row.
    pub row: Endpoint,
    /// Its data centre.
    pub data_centre: DataCentreKey,
    /// Its service.
    pub service: ServiceKey,
    /// Planned stops of the endpoint or its data centre.
    pub stops: Vec<StopWindow>,
}

/// The time of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopWindow {
    /// Start, in milliseconds since the Unix epoch.
    pub from_unix_ms: u64,
    /// End, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

/// A plain service.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ServiceName,
    /// The calls that may be routed.
    pub calls: Vec<ServiceCall>,
    /// Its endpoints.
    pub endpoints: Vec<EndpointKey>,
}

/// A configuration compiled for the request path; immutable once built.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// The generation of the configuration.
    pub generation: u64,
    /// All organisations.
    pub organisations: Arena<OrganisationKey, OrganisationEntry>,
    /// All models.
    pub models: Arena<ModelKey, ModelEntry>,
    /// All versions.
    pub versions: Arena<VersionKey, VersionEntry>,
    /// All data centres.
    pub data_centres: Arena<DataCentreKey, DataCentre>,
    /// All endpoints.
    pub endpoints: Arena<EndpointKey, EndpointEntry>,
    /// All plain services.
    pub services: Arena<ServiceKey, ServiceEntry>,
    organisation_by_token: HashMap<String, OrganisationKey>,
    organisation_by_name: HashMap<OrganisationName, OrganisationKey>,
    model_by_name: HashMap<ModelName, ModelKey>,
    version_by_name: HashMap<VersionName, VersionKey>,
    data_centre_by_name: HashMap<DataCentreName, DataCentreKey>,
    endpoint_by_name: HashMap<EndpointName, EndpointKey>,
    service_by_name: HashMap<ServiceName, ServiceKey>,
}

impl RoutingTable {
    /// Finds an organisation by the SHA-256 of its token, in hexadecimal.
    #[must_use]
    pub fn organisation_by_token(&self, token_sha256: &str) -> Option<OrganisationKey> {
        self.organisation_by_token.get(token_sha256).copied()
    }

    /// Finds an organisation by name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<OrganisationKey> {
        self.organisation_by_name.get(name).copied()
    }

    /// Finds a model by name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<ModelKey> {
        self.model_by_name.get(name).copied()
    }

    /// Finds a version by name.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<VersionKey> {
        self.version_by_name.get(name).copied()
    }

    /// Finds a data centre by name.
    #[must_use]
    pub fn data_centre(&self, name: &str) -> Option<DataCentreKey> {
        self.data_centre_by_name.get(name).copied()
    }

    /// Finds an endpoint by name.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<EndpointKey> {
        self.endpoint_by_name.get(name).copied()
    }

    /// Finds a plain service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_by_name.get(name).copied()
    }

    /// Returns whether the endpoint may get new work at `now_unix_ms`, given
    /// that the work lasts about `expected_ms`.
    #[must_use]
    pub fn accepts_work(&self, endpoint: EndpointKey, expected_ms: u64, now_unix_ms: u64) -> bool {
        let entry = &self.endpoints[endpoint];
        let out = entry.row.out || self.data_centres[entry.data_centre].out;
        let end_unix_ms = now_unix_ms + expected_ms;
        let stopping = entry
            .stops
            .iter()
            .any(|stop| end_unix_ms >= stop.from_unix_ms && now_unix_ms < stop.until_unix_ms);
        !out && !stopping
    }
}
