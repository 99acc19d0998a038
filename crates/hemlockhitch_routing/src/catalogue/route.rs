//! The rows of the catalogue.

use hemlockhitch_model::{ModelName, OrganisationName, ServiceName};

use crate::judge::Work;

/// Where requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub work: Work,
    /// The longest that a request is kept waiting, in milliseconds.
    pub limit_ms: u64,
    /// Within what time an answer, or the first event of a stream, is on time,
    /// in milliseconds.
    pub objective_ms: u64,
    /// The longest pause between events that is on time, in milliseconds.
    pub pause_ms: Option<u64>,
    /// The rank; 0 goes first.
    pub rank: u8,
    /// The most endpoints that one request is sent to.
    pub endpoints_most: u32,
    /// Whether requests need no API key.
    pub open: bool,
    /// The models that may answer, smallest first; empty if the caller names one.
    pub sizes: Vec<ModelName>,
    /// The services that serve the route, by weight.
    pub split: Vec<Split>,
}

impl Route {
    /// Chooses a service in proportion to the weights by an evenly drawn number.
    #[must_use]
    pub fn choose_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|split| split.weight).sum();
        let mut left = draw % total.max(1);
        for split in &self.split {
            if left < split.weight {
                return Some(&split.service);
            }
            left -= split.weight;
        }
        None
    }
}

/// One of the services of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests.
    pub weight: u64,
}

/// A group of endpoints that do the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// How fast a cold endpoint may be asked; `None` if it need not be spared.
    pub cold: Option<ColdPace>,
}

/// How fast a cold endpoint may be asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPace {
    /// Requests a second that a cold endpoint bears from all nodes together.
    pub requests_per_s: f64,
}

/// Who may call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: OrganisationName,
    /// The rank that goes before the route's; 0 goes first.
    pub rank: Option<u8>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take, in milliseconds.
    pub head_ms: u64,
    /// How long a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 1_024 * 1_024,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}
