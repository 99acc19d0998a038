//! Choice among many endpoints by looking at a few.

use hemlockhitch_config::RoutingTable;
use hemlockhitch_model::{DataCentreKey, EndpointKey, Now, mix};

use super::ring::{Ring, draw_from};
use super::score::{Rank, Scored, order_by_score};
use super::{EndpointLoad, Placement};

/// Endpoints that a prefix maps to, and those drawn at home and elsewhere.
const CHOICES: usize = 2;

/// Endpoints looked at for one choice, until it is given up.
const MAX_PROBES: usize = 16;

/// The endpoints of a version or service, prepared once for each generation of
/// the routing table.
#[derive(Clone, Debug, Default)]
pub struct EndpointPool {
    ring: Ring,
    home: Vec<EndpointKey>,
    away: Vec<EndpointKey>,
}

impl EndpointPool {
    /// Prepares the choice among `endpoints` for nodes in the data centre `near`.
    #[must_use]
    pub fn new(table: &RoutingTable, endpoints: &[EndpointKey], near: DataCentreKey) -> Self {
        let (home, away): (Vec<_>, Vec<_>) = endpoints
            .iter()
            .copied()
            .partition(|key| table.endpoints[*key].data_centre == near);
        Self {
            ring: Ring::new(table, &home),
            home,
            away,
        }
    }

    /// Returns up to six endpoints, best first, none of which refuses new work;
    /// empty only if every endpoint does. `draw` is a random number.
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
        let mut chosen = Vec::with_capacity(3 * CHOICES);
        if placement.prefix_hash != 0 {
            let preferred = self.ring.from(mix(placement.prefix_hash, 0));
            take(&mut chosen, preferred.take(MAX_PROBES).filter(accepts));
        }
        let preferred = chosen.len();
        take(
            &mut chosen,
            draw_from(&self.home, draw).take(MAX_PROBES).filter(accepts),
        );
        take(
            &mut chosen,
            draw_from(&self.away, draw).take(MAX_PROBES).filter(accepts),
        );
        if chosen.is_empty() {
            let all = self.home.iter().chain(&self.away).copied();
            take(&mut chosen, all.filter(accepts));
        }
        let scored = chosen.into_iter().enumerate().map(|(index, key)| {
            let rank = match index {
                0 if preferred > 0 => Rank::First,
                1 if preferred > 1 => Rank::Second,
                _ => Rank::Other,
            };
            Scored::new(table, key, load(key), rank, placement, now)
        });
        order_by_score(scored.collect(), draw)
    }
}

/// Adds the first new endpoints.
fn take(chosen: &mut Vec<EndpointKey>, endpoints: impl Iterator<Item = EndpointKey>) {
    let full = chosen.len() + CHOICES;
    for key in endpoints {
        if chosen.len() == full {
            return;
        }
        if !chosen.contains(&key) {
            chosen.push(key);
        }
    }
}
