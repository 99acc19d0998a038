//! Scores endpoints by utilisation, locality, prefix affinity and recent failures.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{EndpointKey, Key, Now, mix};

use super::{EndpointLoad, Placement};

/// Utilisation above which requests start to queue at an endpoint.
const SATURATION_RATIO: f64 = 0.7;

/// Added to the score of a saturated endpoint, so that unsaturated ones are
/// preferred.
const SATURATION_PENALTY: f64 = 1.0;

/// Added to the score of an endpoint in another data centre.
const REMOTE_PENALTY: f64 = 0.5;

/// Added to the score of the second endpoint that the prefix maps to.
const SECONDARY_PENALTY: f64 = 0.1;

/// Added to the score of an endpoint that the prefix does not map to.
const UNMAPPED_PENALTY: f64 = 0.25;

/// Added to the score of an endpoint that failed recently, so that it ranks last.
const RECENT_FAILURE_PENALTY: f64 = 100.0;

/// Position of an endpoint among those that the prefix of a request maps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AffinityRank {
    Primary,
    Secondary,
    Unmapped,
}

/// An endpoint and its score; lower is better.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoredEndpoint {
    pub(super) key: EndpointKey,
    score: f64,
}

impl ScoredEndpoint {
    pub(super) fn new(
        table: &RoutingTable,
        key: EndpointKey,
        load: EndpointLoad,
        rank: AffinityRank,
        placement: Placement,
        now: Now,
    ) -> Self {
        let entry = &table.endpoints[key];
        let limit = f64::from(entry.row.warm_limit.max(1));
        let utilisation_ratio = (load.estimated_in_flight() + 1.0) / limit;
        let mut score = utilisation_ratio;
        if utilisation_ratio > SATURATION_RATIO {
            score += SATURATION_PENALTY;
        }
        if entry.data_centre != placement.local_data_centre {
            score += REMOTE_PENALTY;
        }
        score += match rank {
            AffinityRank::Primary => 0.0,
            AffinityRank::Secondary => SECONDARY_PENALTY,
            AffinityRank::Unmapped => UNMAPPED_PENALTY,
        };
        if load.failed_recently(now) {
            score += RECENT_FAILURE_PENALTY;
        }
        Self { key, score }
    }
}

/// Orders endpoints by score, best first; `draw` breaks ties at random.
pub(super) fn order_by_score(mut scored: Vec<ScoredEndpoint>, draw: u64) -> Vec<EndpointKey> {
    scored.sort_by(|a, b| {
        let by_score = a.score.total_cmp(&b.score);
        by_score.then_with(|| tie_breaker(a.key, draw).cmp(&tie_breaker(b.key, draw)))
    });
    scored.into_iter().map(|scored| scored.key).collect()
}

fn tie_breaker(key: EndpointKey, draw: u64) -> u64 {
    mix(key.index() as u64, draw)
}
