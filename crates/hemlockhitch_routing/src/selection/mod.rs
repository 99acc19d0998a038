//! Load balancing: the choice of an endpoint for a request.
//!
//! The endpoint with the lowest estimated cost is chosen: one with few requests, few
//! prompt tokens to prefill, and the parts of the prompt in its cache. Endpoints with
//! an open circuit breaker are used only if no other is left, cold ones are
//! rate-limited, as are those that named a rate, those that asked this node for a pause
//! get nothing, and those that are brittle no more than they have slots for.

mod cost;
mod probe;

pub use probe::is_probe_worthwhile;

use hemlockhitch_model::{DataCentreName, EndpointKey, Now, ServiceName, VersionName};

use crate::fleet::{Endpoint, Fleet};
use crate::limits::{ColdRate, NodeShares};

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// The properties of a prompt that matter for the choice of the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Hash of the name of the model that processes the prompt.
    pub model_hash: u64,
    /// Index of the model among the sizes of the route, smallest first; 0 if the caller
    /// names the model.
    pub model_size: usize,
    /// Parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// Total length in tokens.
    pub tokens: u64,
    /// Time for which an endpoint caches a part after it was prefilled, in
    /// milliseconds.
    pub cache_ttl_ms: u64,
}

/// Filter on the versions that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Any version.
    Any,
    /// Only this version.
    Only(&'a VersionName),
    /// Any version but this one.
    Except(&'a VersionName),
}

impl VersionFilter<'_> {
    fn allows(self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(allowed) => version == allowed,
            Self::Except(excluded) => version != excluded,
        }
    }
}

/// The request that an endpoint is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct SelectionRequest<'a> {
    /// Service that the request goes to.
    pub service: &'a ServiceName,
    /// Data centre of this node.
    pub local_data_centre: &'a DataCentreName,
    /// Endpoints that earlier attempts went to.
    pub tried: &'a [EndpointKey],
    /// Length of the request's body, in bytes.
    pub body_bytes: u64,
    /// Prompt of the request; `None` if no model processes one.
    pub prompt: Option<Prompt<'a>>,
    /// The nodes that share the rates of endpoints.
    pub nodes: NodeShares<'a>,
    /// Rate limit of cold endpoints; `None` if they are not limited.
    pub cold_rate: Option<ColdRate<'a>>,
    /// Uniformly distributed random number that breaks ties between nearly equal
    /// endpoints.
    pub tie_breaker: u64,
}

/// An endpoint that was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Estimated work of the endpoint before the request's first event, as the number of
    /// prompt tokens of the smallest model; 0 without a prompt.
    pub prefill_cost_tokens: u64,
}

/// Chooses an endpoint among those whose version may serve the request; `None` if no
/// endpoint may get it now.
#[must_use]
pub fn choose_endpoint(
    fleet: &Fleet,
    request: &SelectionRequest<'_>,
    filter: VersionFilter<'_>,
    now: Now,
) -> Option<Choice> {
    let is_brittle = fleet.is_brittle(request.service, now);
    let slot_shares = is_brittle.then(|| request.nodes.slot_shares());
    let candidates: Vec<(EndpointKey, &Endpoint)> = fleet
        .eligible(request.service)
        .filter(|(_, endpoint)| filter.allows(&endpoint.entry.version))
        .filter(|(_, endpoint)| endpoint.pause_remaining_ms(now) == 0)
        .filter(|(_, endpoint)| fleet.rate_wait_ms(endpoint, request.nodes, now) == Some(0))
        .filter(|(_, endpoint)| {
            slot_shares.is_none_or(|shares| {
                let slots = shares.slots(endpoint.entry.slots, endpoint.name_hash);
                endpoint.in_flight < slots
            })
        })
        .filter(|(_, endpoint)| {
            !endpoint.is_cold(now) || allows_cold_request(request, endpoint, now)
        })
        .collect();
    let is_untried = |key: &EndpointKey| !request.tried.contains(key);
    let is_healthy = |endpoint: &Endpoint| {
        let probe_in_flight = endpoint.circuit_breaker.is_recovering() && endpoint.in_flight > 0;
        !endpoint.circuit_breaker.is_open(now) && !probe_in_flight
    };
    let best_of_tier = |tier: Tier| {
        let tier_candidates = candidates
            .iter()
            .copied()
            .filter(|(key, endpoint)| match tier {
                Tier::UntriedAndHealthy => is_untried(key) && is_healthy(endpoint),
                Tier::Untried => is_untried(key),
                Tier::Any => true,
            });
        cost::lowest_cost(tier_candidates, request, now)
    };
    best_of_tier(Tier::UntriedAndHealthy)
        .or_else(|| best_of_tier(Tier::Untried))
        .or_else(|| best_of_tier(Tier::Any))
}

fn allows_cold_request(request: &SelectionRequest<'_>, endpoint: &Endpoint, now: Now) -> bool {
    request.cold_rate.is_none_or(|cold_rate| {
        let node_rate_per_s = cold_rate.node_rate_per_s(endpoint.name_hash);
        endpoint.cold_limiter.allows(node_rate_per_s, now)
    })
}

/// Requirements on an endpoint, which are relaxed until one is found.
#[derive(Clone, Copy, Debug)]
enum Tier {
    UntriedAndHealthy,
    Untried,
    Any,
}
