//! The choice of an endpoint.
//!
//! The endpoint is taken where the request probably starts soonest: few requests,
//! little unread prompt, the prompt's parts in its cache. Endpoints that fail are
//! left alone while others are there, and cold ones get a bounded rate.

mod score;

use hemlockhitch_model::{DataCentreName, EndpointKey, Now, ServiceName, VersionName};

use crate::allowance::ColdRate;
use crate::fleet::{Endpoint, Fleet};

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The prompt of a request, as far as it decides the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// A hash of the model that reads it.
    pub model_hash: u64,
    /// Its parts in order.
    pub parts: &'a [PromptPart],
    /// Its whole length in tokens.
    pub tokens: u64,
    /// How long a part that was read stays in a cache, in milliseconds.
    pub kept_ms: u64,
}

/// Which versions may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted<'a> {
    /// Any version.
    Any,
    /// This version alone.
    Only(&'a VersionName),
    /// Any but this version.
    Not(&'a VersionName),
}

impl Wanted<'_> {
    fn allows(self, version: &VersionName) -> bool {
        match self {
            Self::Any => true,
            Self::Only(wanted) => version == wanted,
            Self::Not(unwanted) => version != unwanted,
        }
    }
}

/// What an endpoint is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The node's data centre.
    pub home: &'a DataCentreName,
    /// Endpoints that were tried already.
    pub tried: &'a [EndpointKey],
    /// The prompt, if a model reads one.
    pub prompt: Option<Prompt<'a>>,
    /// How fast cold endpoints may be asked; `None` if they need not be spared.
    pub cold: Option<ColdRate<'a>>,
    /// An evenly drawn number that decides between nearly equal endpoints.
    pub draw: u64,
}

/// Chooses the endpoint for a request among the versions that may serve it; `None`
/// if none may be asked now.
#[must_use]
pub fn choose_endpoint(
    fleet: &Fleet,
    demand: &Demand<'_>,
    wanted: Wanted<'_>,
    now: Now,
) -> Option<EndpointKey> {
    let allowed: Vec<(EndpointKey, &Endpoint)> = fleet
        .usable(demand.service)
        .filter(|(_, endpoint)| wanted.allows(&endpoint.entry.version))
        .filter(|(_, endpoint)| !endpoint.is_cold(now) || allows_cold(demand, endpoint, now))
        .collect();
    let untried = |key: &EndpointKey| !demand.tried.contains(key);
    let sound = |endpoint: &Endpoint| {
        let on_trial = endpoint.health.is_on_trial() && endpoint.in_flight > 0;
        !endpoint.health.is_paused(now) && !on_trial
    };
    let among = |least: Least| {
        let choices = allowed
            .iter()
            .copied()
            .filter(|(key, endpoint)| match least {
                Least::UntriedAndSound => untried(key) && sound(endpoint),
                Least::Untried => untried(key),
                Least::Any => true,
            });
        score::best(choices, demand, now)
    };
    among(Least::UntriedAndSound)
        .or_else(|| among(Least::Untried))
        .or_else(|| among(Least::Any))
}

fn allows_cold(demand: &Demand<'_>, endpoint: &Endpoint, now: Now) -> bool {
    demand.cold.is_none_or(|cold| {
        let part_per_s = cold.part_per_s(endpoint.name_hash);
        endpoint.cold_pace.allows(part_per_s, now)
    })
}

/// The least that is asked of an endpoint.
#[derive(Clone, Copy, Debug)]
enum Least {
    UntriedAndSound,
    Untried,
    Any,
}
