//! Selection of the node that a cut-off node passes a request to.
//!
//! It is made for fleets of hundreds of nodes of which the greater part may be cut off at
//! once, as may all nodes of a data centre. A node learns from the answers which others
//! reach the service, so nothing is exchanged beforehand.

use std::collections::HashMap;

use hemlockhitch_model::{Now, ServiceName, hash_bytes, mix};

use crate::source::FollowableNode;

/// Number of nodes among which a node divides its requests.
const HELPERS: usize = 3;

/// Number of nodes that one request is passed to before it is refused: with three of five
/// nodes cut off, fewer than two in a hundred requests of a node that knows nothing yet
/// find none.
pub const MAX_HELPERS_PER_REQUEST: usize = 8;

/// How long a node that did not take a request is passed over, in milliseconds.
const PASSED_OVER_MS: u64 = 2_000;

/// How long a node that took a request is preferred, in milliseconds.
const PREFERRED_MS: u64 = 5_000;

/// Number of nodes of a data centre that did not take a request from which those of other
/// data centres come first, unless one of them took one.
const DATA_CENTRE_FAILURES: usize = 2;

/// The last answer of a node for one service.
#[derive(Clone, Copy, Debug)]
struct Answer {
    data_centre_hash: u64,
    has_taken: bool,
    until_mono_ms: u64,
}

/// Selects helpers and remembers which of them took requests.
#[derive(Clone, Debug, Default)]
pub struct HelperSelector {
    /// By the hashes of the node's address and of the service.
    answers: HashMap<(u64, u64), Answer>,
}

impl HelperSelector {
    /// Returns the node to pass a request for a service to; `None` if every other node was
    /// asked and did not take one lately. Nodes that took requests come first, then those
    /// of the own data centre. `draw` divides the requests among a few nodes, which differ
    /// from node to node.
    #[must_use]
    pub fn select<'a>(
        &self,
        own: FollowableNode<'_>,
        nodes: impl Iterator<Item = FollowableNode<'a>>,
        service: &ServiceName,
        draw: u64,
        now: Now,
    ) -> Option<FollowableNode<'a>> {
        let own_hash = hash_bytes(own.name);
        let service_hash = hash_bytes(service.as_str());
        let failing = self.failing_data_centres(service_hash, now);
        let available = nodes
            .filter(|node| node.name != own.name)
            .filter_map(|node| {
                let has_taken = self.has_taken(node.address, service_hash, now);
                let is_failing = failing.contains(&hash_bytes(node.data_centre));
                let is_remote = node.data_centre != own.data_centre;
                let rank = mix(own_hash, hash_bytes(node.name));
                match has_taken {
                    Some(false) => None,
                    Some(true) => Some(((false, false, is_remote, rank), node)),
                    None => Some(((true, is_failing, is_remote, rank), node)),
                }
            });
        let mut available: Vec<_> = available.collect();
        if available.len() > HELPERS {
            available.select_nth_unstable_by_key(HELPERS - 1, |(order, _)| *order);
            available.truncate(HELPERS);
        }
        available.sort_unstable_by_key(|(order, _)| *order);
        let (best, _) = available.first()?;
        // A remote node costs more than a second request at a local one.
        let is_like_best = (best.1, best.2);
        available.retain(|(order, _)| (order.1, order.2) == is_like_best);
        #[allow(clippy::cast_possible_truncation)]
        let index = (draw % available.len() as u64) as usize;
        Some(available.swap_remove(index).1)
    }

    /// Records whether a node took a request for a service.
    pub fn record(
        &mut self,
        node: FollowableNode<'_>,
        service: &ServiceName,
        has_taken: bool,
        now: Now,
    ) {
        self.answers
            .retain(|_, answer| now.mono_ms < answer.until_mono_ms);
        let duration_ms = if has_taken {
            PREFERRED_MS
        } else {
            PASSED_OVER_MS
        };
        let key = (hash_bytes(node.address), hash_bytes(service.as_str()));
        let answer = Answer {
            data_centre_hash: hash_bytes(node.data_centre),
            has_taken,
            until_mono_ms: now.mono_ms + duration_ms,
        };
        self.answers.insert(key, answer);
    }

    /// Returns whether a node took the last request for a service; `None` if that is not
    /// known.
    fn has_taken(&self, address: &str, service_hash: u64, now: Now) -> Option<bool> {
        let answer = self.answers.get(&(hash_bytes(address), service_hash))?;
        (now.mono_ms < answer.until_mono_ms).then_some(answer.has_taken)
    }

    /// Returns the hashes of the data centres whose nodes probably take no request.
    fn failing_data_centres(&self, service_hash: u64, now: Now) -> Vec<u64> {
        let mut counts: HashMap<u64, (usize, bool)> = HashMap::new();
        for ((_, service), answer) in &self.answers {
            if *service == service_hash && now.mono_ms < answer.until_mono_ms {
                let (failures, has_taken) = counts.entry(answer.data_centre_hash).or_default();
                *failures += usize::from(!answer.has_taken);
                *has_taken |= answer.has_taken;
            }
        }
        counts.retain(|_, (failures, has_taken)| !*has_taken && *failures >= DATA_CENTRE_FAILURES);
        counts.into_keys().collect()
    }
}
