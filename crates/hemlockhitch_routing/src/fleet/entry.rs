//! Endpoint registrations.

use std::net::SocketAddr;

use hemlockhitch_model::{DataCentreName, EndpointName, ServiceName, VersionName, hash_bytes, mix};

/// An endpoint's registration in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Name of the endpoint; it usually changes when the endpoint restarts.
    pub name: EndpointName,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address that the endpoint listens on; another endpoint may reuse it later.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: DataCentreName,
    /// Version of the software that the endpoint runs.
    pub version: VersionName,
    /// Requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining before it stops.
    pub draining: bool,
    /// Remaining time for which the endpoint is cold, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Start time by the endpoint's own clock, in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<u64>,
}

impl EndpointEntry {
    /// Returns whether both registrations come from the same instance, that is, without
    /// a restart or a move in between. One that states no start time shows no restart.
    #[must_use]
    pub fn is_same_instance(&self, other: &Self) -> bool {
        let is_same_start = match (self.started_unix_ms, other.started_unix_ms) {
            (Some(started), Some(other_started)) => started == other_started,
            (None, _) | (_, None) => true,
        };
        self.name == other.name
            && self.service == other.service
            && self.address == other.address
            && self.version == other.version
            && is_same_start
    }

    /// Returns a hash that identifies the instance; the same on every node.
    #[must_use]
    pub fn instance_hash(&self) -> u64 {
        let started_unix_ms = self.started_unix_ms.unwrap_or_default();
        let address_hash = hash_bytes(self.address.to_string());
        mix(
            mix(hash_bytes(self.name.as_str()), address_hash),
            started_unix_ms,
        )
    }
}
