//! Compares endpoints by one number.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{EndpointKey, Key, Now, mix};

use super::{EndpointLoad, Placement};

/// The part of its limit from which an endpoint's queue would grow.
const FULL_RATIO: f64 = 0.7;

/// Added to a full endpoint, so that work goes elsewhere first.
const FULL_PENALTY: f64 = 1.0;

/// Added to an endpoint of another data centre.
const AWAY_PENALTY: f64 = 0.5;

/// Added to the second endpoint of a prefix.
const SECOND_PENALTY: f64 = 0.1;

/// Added to an endpoint that the prefix does not map to.
const OTHER_PENALTY: f64 = 0.25;

/// Added to an endpoint that has just failed.
const FAILED_PENALTY: f64 = 100.0;

/// How an endpoint stands to the prefix of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rank {
    First,
    Second,
    Other,
}

/// An endpoint with its score; lower is better.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scored {
    pub(super) key: EndpointKey,
    score: f64,
}

impl Scored {
    pub(super) fn new(
        table: &RoutingTable,
        key: EndpointKey,
        load: EndpointLoad,
        rank: Rank,
        placement: Placement,
        now: Now,
    ) -> Self {
        let entry = &table.endpoints[key];
        let limit = f64::from(entry.row.warm_limit.max(1));
        let used_ratio = (load.estimate() + 1.0) / limit;
        let mut score = used_ratio;
        if used_ratio > FULL_RATIO {
            score += FULL_PENALTY;
        }
        if entry.data_centre != placement.home {
            score += AWAY_PENALTY;
        }
        score += match rank {
            Rank::First => 0.0,
            Rank::Second => SECOND_PENALTY,
            Rank::Other => OTHER_PENALTY,
        };
        if load.has_just_failed(now) {
            score += FAILED_PENALTY;
        }
        Self { key, score }
    }
}

/// Orders endpoints by score; `draw` decides between equal ones.
pub(super) fn order_by_score(mut scored: Vec<Scored>, draw: u64) -> Vec<EndpointKey> {
    scored.sort_by(|a, b| {
        let by_score = a.score.total_cmp(&b.score);
        by_score.then_with(|| tie(a.key, draw).cmp(&tie(b.key, draw)))
    });
    scored.into_iter().map(|scored| scored.key).collect()
}

fn tie(key: EndpointKey, draw: u64) -> u64 {
    mix(key.index() as u64, draw)
}
