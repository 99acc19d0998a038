//! The entries of the catalogue.

use hemlockhitch_model::{ModelName, OrganisationName, ServiceName};

use crate::retry::RouteKind;

/// Routing and retry rules for a host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that requests are addressed to, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Which requests of the route may be executed more than once.
    pub kind: RouteKind,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective (SLO) of a response, or of the first event of a stream, in
    /// milliseconds.
    pub slo_ms: u64,
    /// Latency objective (SLO) between two events of a stream, in milliseconds.
    pub inter_event_slo_ms: Option<u64>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Models that may serve the request, smallest first; empty if the caller names the
    /// model.
    pub sizes: Vec<ModelName>,
    /// Services that serve the route, with their weights.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Chooses a service in proportion to the weights; `draw` is a uniformly
    /// distributed random number.
    #[must_use]
    pub fn choose_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|weighted| weighted.weight).sum();
        let mut remaining = draw % total.max(1);
        for weighted in &self.services {
            if remaining < weighted.weight {
                return Some(&weighted.service);
            }
            remaining -= weighted.weight;
        }
        None
    }
}

/// A service of a route and its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: u64,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Rate limit of a cold endpoint; `None` if cold endpoints are not limited.
    pub cold_rate_limit: Option<ColdRateLimit>,
    /// Path at which its endpoints answer at once, with their load.
    pub health_path: Option<String>,
}

/// Rate limit of a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRateLimit {
    /// Requests per second from all nodes together.
    pub requests_per_s: f64,
}

/// An organisation whose callers may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Priority that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 1_024 * 1_024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
