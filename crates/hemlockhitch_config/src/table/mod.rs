//! Routing table: a configuration compiled into arenas for the request path.

mod compile;

use std::collections::HashMap;

use hemlockhitch_model::{
    Arena, Class, DataCentreKey, DataCentreName, EndpointKey, EndpointName, ModelKey, ModelName,
    OrganisationKey, OrganisationName, ServiceKey, ServiceName, VersionKey, VersionName,
};

use crate::configuration::{Cascade, DataCentre, Endpoint, Organisation, ServiceCall, Version};

/// An organisation with its permitted versions and cascades.
#[derive(Clone, Debug)]
pub struct OrganisationEntry {
    /// Source row.
    pub row: Organisation,
    /// Permitted versions with their shares, by model.
    pub allowed: HashMap<ModelKey, Vec<AllowedVersion>>,
    /// Cascades by request class.
    pub cascades: HashMap<Class, CascadeEntry>,
}

/// A version that an organisation is permitted to use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowedVersion {
    /// Key of the version.
    pub version: VersionKey,
    /// Share of the organisation's new sessions on the model, in percent.
    pub share_percent: f64,
}

/// A cascade with resolved model keys.
#[derive(Clone, Debug)]
pub struct CascadeEntry {
    /// Source row.
    pub row: Cascade,
    /// Models in order of escalation, cheapest first.
    pub models: Vec<ModelKey>,
}

/// A version with its model and endpoints.
#[derive(Clone, Debug)]
pub struct VersionEntry {
    /// Source row.
    pub row: Version,
    /// Model that it belongs to.
    pub model: ModelKey,
    /// Endpoints that serve it.
    pub endpoints: Vec<EndpointKey>,
}

/// A model with its versions.
#[derive(Clone, Debug)]
pub struct ModelEntry {
    /// Unique name.
    pub name: ModelName,
    /// Configured versions.
    pub versions: Vec<VersionKey>,
}

/// An endpoint with resolved references.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Source row.
    pub row: Endpoint,
    /// Data centre that it runs in.
    pub data_centre: DataCentreKey,
    /// Service that it belongs to.
    pub service: ServiceKey,
    /// Planned stops of the endpoint and its data centre.
    pub stops: Vec<StopWindow>,
}

/// Time window of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopWindow {
    /// Start (inclusive), in milliseconds since the Unix epoch.
    pub from_unix_ms: u64,
    /// End (exclusive), in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

/// A service with its calls and endpoints.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Unique name.
    pub name: ServiceName,
    /// Calls that may be routed.
    pub calls: Vec<ServiceCall>,
    /// Endpoints that serve it.
    pub endpoints: Vec<EndpointKey>,
}

/// A configuration compiled for the request path.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// Generation of the source configuration.
    pub generation: u64,
    /// Organisations.
    pub organisations: Arena<OrganisationKey, OrganisationEntry>,
    /// Models.
    pub models: Arena<ModelKey, ModelEntry>,
    /// Versions.
    pub versions: Arena<VersionKey, VersionEntry>,
    /// Data centres.
    pub data_centres: Arena<DataCentreKey, DataCentre>,
    /// Endpoints.
    pub endpoints: Arena<EndpointKey, EndpointEntry>,
    /// Services that have endpoints.
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
    /// Finds an organisation by the SHA-256 of its token, in lower-case hexadecimal.
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

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_by_name.get(name).copied()
    }

    /// Returns whether the endpoint may receive new work at `now_unix_ms`: neither it nor
    /// its data centre is out of service, and work that takes `expected_ms` would not
    /// overlap a planned stop.
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
