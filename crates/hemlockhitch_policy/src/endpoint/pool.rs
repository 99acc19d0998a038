//! Selects endpoints from a large pool by sampling a few of them.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{DataCentreKey, EndpointKey, Now, mix};

use super::ring::{HashRing, sample_endpoints};
use super::score::{AffinityRank, ScoredEndpoint, order_by_score};
use super::{EndpointLoad, Placement};

/// Candidates from each group: the endpoints that the prefix maps to, a sample of
/// the local data centre, and a sample of the other data centres.
const CANDIDATES_PER_GROUP: usize = 2;

/// Maximum number of endpoints probed for the candidates of one group.
const MAX_PROBES: usize = 16;

/// The endpoints of a version or service, indexed for selection. Built once for
/// each generation of the routing table.
#[derive(Clone, Debug, Default)]
pub struct EndpointPool {
    ring: HashRing,
    local: Vec<EndpointKey>,
    remote: Vec<EndpointKey>,
}

impl EndpointPool {
    /// Creates a pool of `endpoints` for nodes in `local_data_centre`.
    #[must_use]
    pub fn new(
        table: &RoutingTable,
        endpoints: &[EndpointKey],
        local_data_centre: DataCentreKey,
    ) -> Self {
        let (local, remote): (Vec<_>, Vec<_>) = endpoints
            .iter()
            .copied()
            .partition(|key| table.endpoints[*key].data_centre == local_data_centre);
        Self {
            ring: HashRing::new(table, &local),
            local,
            remote,
        }
    }

    /// Returns up to six endpoints that accept new work, best first; empty only
    /// if no endpoint of the pool accepts work.
    ///
    /// `draw` is a random number that seeds the sampling and breaks ties.
    pub fn order(
        &self,
        table: &RoutingTable,
        load: impl Fn(EndpointKey) -> EndpointLoad,
        placement: Placement,
        draw: u64,
        now: Now,
    ) -> Vec<EndpointKey> {
        let accepts =
            |key: &EndpointKey| table.accepts_work(*key, placement.expected_ms, now.unix_ms);
        let mut chosen = Vec::with_capacity(3 * CANDIDATES_PER_GROUP);
        if placement.prefix_hash != 0 {
            let mapped = self.ring.walk_from(mix(placement.prefix_hash, 0));
            take_distinct(&mut chosen, mapped.take(MAX_PROBES).filter(accepts));
        }
        let mapped_count = chosen.len();
        take_distinct(
            &mut chosen,
            sample_endpoints(&self.local, draw)
                .take(MAX_PROBES)
                .filter(accepts),
        );
        take_distinct(
            &mut chosen,
            sample_endpoints(&self.remote, draw)
                .take(MAX_PROBES)
                .filter(accepts),
        );
        if chosen.is_empty() {
            let all = self.local.iter().chain(&self.remote).copied();
            take_distinct(&mut chosen, all.filter(accepts));
        }
        let scored = chosen.into_iter().enumerate().map(|(index, key)| {
            let rank = match index {
                0 if mapped_count > 0 => AffinityRank::Primary,
                1 if mapped_count > 1 => AffinityRank::Secondary,
                _ => AffinityRank::Unmapped,
            };
            ScoredEndpoint::new(table, key, load(key), rank, placement, now)
        });
        order_by_score(scored.collect(), draw)
    }
}

/// Appends up to [`CANDIDATES_PER_GROUP`] endpoints that are not in `chosen` yet.
fn take_distinct(chosen: &mut Vec<EndpointKey>, endpoints: impl Iterator<Item = EndpointKey>) {
    let max_len = chosen.len() + CANDIDATES_PER_GROUP;
    for key in endpoints {
        if chosen.len() == max_len {
            return;
        }
        if !chosen.contains(&key) {
            chosen.push(key);
        }
    }
}
