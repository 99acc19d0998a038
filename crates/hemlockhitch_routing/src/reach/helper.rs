//! Selection of the node that a cut-off node passes a request to.
//!
//! It is made for fleets of hundreds of nodes of which the greater part may be cut off at
//! once, as may all nodes of a data centre. A node learns from the responses which others
//! reach the service, so nothing is exchanged beforehand.

use std::collections::HashMap;

use hemlockhitch_model::{Now, ServiceName, hash_bytes, mix};

use crate::source::FollowableNode;

/// Number of nodes among which a node divides its requests.
const HELPERS: usize = 3;

/// Number of nodes that are asked to take one request before it is refused.
pub const MAX_HELPERS_PER_REQUEST: usize = 8;

/// How long a node that did not take a request is passed over, in milliseconds.
const PASSED_OVER_MS: u64 = 2_000;

/// How long a node that did not take a request is not asked again while no other is left,
/// in milliseconds: about the time in which a process restarts.
const REST_MS: u64 = 400;

/// How long a node that took a request is preferred, in milliseconds.
const PREFERRED_MS: u64 = 5_000;

/// Number of nodes of a data centre that did not take a request from which those of other
/// data centres come first, unless one of them took one.
const DATA_CENTRE_FAILURES: usize = 2;

/// Whether a node took the last request for one service.
#[derive(Clone, Copy, Debug)]
struct Answer {
    data_centre_hash: u64,
    has_taken: bool,
    mono_ms: u64,
}

impl Answer {
    fn counts(&self, now: Now) -> bool {
        let duration_ms = if self.has_taken {
            PREFERRED_MS
        } else {
            PASSED_OVER_MS
        };
        now.mono_ms < self.mono_ms + duration_ms
    }
}

/// The order in which nodes are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Took a request lately.
    Taken,
    /// Was not asked lately.
    Unknown,
    /// The same, in a data centre whose nodes took none.
    UnknownInFailing,
    /// Did not take a request lately.
    PassedOver,
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
    /// from node to node. `asks_again` is whether a node that did not take a request may be
    /// asked after a short while if there is no other.
    #[must_use]
    pub fn select<'a>(
        &self,
        own: FollowableNode<'_>,
        nodes: impl Iterator<Item = FollowableNode<'a>>,
        service: &ServiceName,
        draw: u64,
        asks_again: bool,
        now: Now,
    ) -> Option<FollowableNode<'a>> {
        let own_hash = hash_bytes(own.name);
        let service_hash = hash_bytes(service.as_str());
        let failing = self.failing_data_centres(service_hash, now);
        let others = nodes.filter(|node| node.name != own.name);
        let available = others.filter_map(|node| {
            let is_failing = failing.contains(&hash_bytes(node.data_centre));
            let tier = match self.answer(node.address, service_hash, now) {
                Some(answer) if answer.has_taken => Tier::Taken,
                Some(answer) if asks_again && now.mono_ms >= answer.mono_ms + REST_MS => {
                    Tier::PassedOver
                }
                Some(_) => return None,
                None if is_failing => Tier::UnknownInFailing,
                None => Tier::Unknown,
            };
            let is_remote = node.data_centre != own.data_centre;
            let rank = mix(own_hash, hash_bytes(node.name));
            Some(((tier, is_remote, rank), node))
        });
        let mut available: Vec<_> = available.collect();
        if available.len() > HELPERS {
            available.select_nth_unstable_by_key(HELPERS - 1, |(order, _)| *order);
            available.truncate(HELPERS);
        }
        available.sort_unstable_by_key(|(order, _)| *order);
        let ((best_tier, best_is_remote, _), _) = available.first().copied()?;
        // Remote or uncertain nodes do not share requests with better ones.
        available.retain(|((tier, is_remote, _), _)| {
            let is_uncertain = |tier: Tier| tier >= Tier::UnknownInFailing;
            is_uncertain(*tier) == is_uncertain(best_tier) && *is_remote == best_is_remote
        });
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
        self.answers.retain(|_, answer| answer.counts(now));
        let key = (hash_bytes(node.address), hash_bytes(service.as_str()));
        let answer = Answer {
            data_centre_hash: hash_bytes(node.data_centre),
            has_taken,
            mono_ms: now.mono_ms,
        };
        self.answers.insert(key, answer);
    }

    /// Returns the last answer of a node for a service, if it still counts.
    fn answer(&self, address: &str, service_hash: u64, now: Now) -> Option<&Answer> {
        let answer = self.answers.get(&(hash_bytes(address), service_hash));
        answer.filter(|answer| answer.counts(now))
    }

    /// Returns the hashes of the data centres whose nodes probably take no request.
    fn failing_data_centres(&self, service_hash: u64, now: Now) -> Vec<u64> {
        let mut counts: HashMap<u64, (usize, bool)> = HashMap::new();
        for ((_, service), answer) in &self.answers {
            if *service == service_hash && answer.counts(now) {
                let (failures, has_taken) = counts.entry(answer.data_centre_hash).or_default();
                *failures += usize::from(!answer.has_taken);
                *has_taken |= answer.has_taken;
            }
        }
        counts.retain(|_, (failures, has_taken)| !*has_taken && *failures >= DATA_CENTRE_FAILURES);
        counts.into_keys().collect()
    }
}
