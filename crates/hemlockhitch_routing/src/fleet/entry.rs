//! What an endpoint says of itself.

use std::net::SocketAddr;

use hemlockhitch_model::{DataCentreName, EndpointName, ServiceName, VersionName};

/// What an endpoint says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The endpoint's name; it changes at most starts.
    pub name: EndpointName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens; another endpoint may get the address later.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// The version of its software.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How long it stays cold, in milliseconds.
    pub cold_left_ms: u64,
    /// When it started, in milliseconds since the Unix epoch, by its own clock.
    pub started_unix_ms: Option<u64>,
}

impl EndpointEntry {
    /// Returns whether both entries come from the same start of the endpoint.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.name == other.name
            && self.service == other.service
            && self.address == other.address
            && self.version == other.version
            && self.started_unix_ms == other.started_unix_ms
    }
}
