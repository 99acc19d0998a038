//! Request rates that endpoints in need take from all nodes together.
//!
//! It is made for hundreds of nodes before an endpoint that takes one or two requests per
//! second: what each of them may send is a small part of a request.

use std::collections::BTreeMap;

use hemlockhitch_model::{Now, mix};

use super::NodeShares;
use crate::gossip::SharedFacts;

/// Fraction of a named rate that is used. The rest is a margin for requests that arrive
/// closer together than they were sent.
const USABLE_RATIO: f64 = 0.9;

/// Smallest rate that a node is given while others get none, in requests per second. It
/// bounds how many nodes may send at the same moment.
const MIN_NODE_RATE_PER_S: f64 = 0.5;

/// Rate at which an endpoint that takes nothing is asked whether it does again, in requests
/// per second.
const MIN_RATE_PER_S: f64 = 0.1;

/// Age of a statement from which the next nodes in another order may send, in milliseconds:
/// those before them may be gone.
const ROTATION_MS: u64 = 10_000;

/// Interval after which an unchanged rate is shared anew, in milliseconds.
const REFRESH_MS: u64 = 3_000;

/// Error of the time of a statement that came from another node, in milliseconds.
const TIME_ERROR_MS: u64 = 300;

/// How long a statement counts that no node has heard again, in milliseconds.
const RETENTION_MS: u64 = 120_000;

/// Relative difference below which two rates are the same.
const SAME_RATE_RATIO: f64 = 0.05;

/// What an instance states about the rate that it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStatement {
    /// Hash of the endpoint's instance.
    pub instance_hash: u64,
    /// Requests per second from all nodes together; `None` for any number.
    pub per_s: Option<f64>,
    /// Time since the statement, in milliseconds.
    pub age_ms: u64,
}

/// A rate that an instance takes from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedRate {
    /// Requests per second from all nodes together.
    pub per_s: f64,
    /// Hash of the endpoint's instance.
    pub instance_hash: u64,
    /// Time since a node heard it from the endpoint, in milliseconds.
    pub age_ms: u64,
}

impl NamedRate {
    /// Returns the time between two requests of this node to the endpoint, in milliseconds;
    /// `None` if this node sends it nothing.
    ///
    /// If the rate is too small for all nodes, it goes to the few that come first in an
    /// order that every node computes.
    #[must_use]
    pub fn node_interval_ms(&self, nodes: NodeShares<'_>) -> Option<u64> {
        let usable_per_s = self.per_s.max(MIN_RATE_PER_S) * USABLE_RATIO;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let senders = ((usable_per_s / MIN_NODE_RATE_PER_S) as usize).clamp(1, nodes.count());
        let order_hash = mix(self.instance_hash, self.age_ms / ROTATION_MS);
        if nodes.rank(order_hash) >= senders {
            return None;
        }
        #[allow(clippy::cast_precision_loss)]
        let interval_ms = 1_000.0 * senders as f64 / usable_per_s;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let interval_ms = interval_ms.ceil() as u64;
        Some(interval_ms)
    }
}

/// The latest statement of an instance.
#[derive(Clone, Copy, Debug)]
struct Stated {
    per_s: Option<f64>,
    mono_ms: u64,
    /// When the statement was last shared, in milliseconds.
    shared_mono_ms: u64,
    sequence: u64,
}

/// The rates that instances have named to any node.
#[derive(Clone, Debug, Default)]
pub struct NamedRates {
    by_instance: BTreeMap<u64, Stated>,
    sequence: u64,
}

impl NamedRates {
    /// Records what a response states about the rate that its endpoint takes; returns
    /// whether the rate changed.
    pub fn record(&mut self, instance_hash: u64, per_s: Option<f64>, now: Now) -> bool {
        let known = self.by_instance.get_mut(&instance_hash);
        let known_per_s = known.as_ref().and_then(|known| known.per_s);
        if per_s.is_none() && known_per_s.is_none() {
            return false;
        }
        let is_same = is_same_rate(known_per_s, per_s);
        if let Some(known) = known
            && is_same
            && now.mono_ms < known.shared_mono_ms + REFRESH_MS
        {
            known.per_s = per_s;
            known.mono_ms = now.mono_ms;
            return false;
        }
        self.set(instance_hash, per_s, now.mono_ms, now);
        self.by_instance
            .retain(|_, stated| now.mono_ms < stated.mono_ms + RETENTION_MS);
        !is_same
    }

    /// Returns the rate that an instance has named; `None` if it takes any number.
    #[must_use]
    pub fn get(&self, instance_hash: u64, now: Now) -> Option<NamedRate> {
        let stated = self.by_instance.get(&instance_hash)?;
        let age_ms = now.mono_ms.saturating_sub(stated.mono_ms);
        let per_s = stated.per_s.filter(|_| age_ms < RETENTION_MS)?;
        Some(NamedRate {
            per_s,
            instance_hash,
            age_ms,
        })
    }

    fn set(&mut self, instance_hash: u64, per_s: Option<f64>, at_mono_ms: u64, now: Now) {
        self.sequence += 1;
        let stated = Stated {
            per_s,
            mono_ms: at_mono_ms,
            shared_mono_ms: now.mono_ms,
            sequence: self.sequence,
        };
        self.by_instance.insert(instance_hash, stated);
    }
}

impl SharedFacts for NamedRates {
    type Facts = Vec<RateStatement>;

    fn sequence(&self) -> u64 {
        self.sequence
    }

    fn facts_since(&self, sequence: u64, now: Now) -> Vec<RateStatement> {
        let newer = self.by_instance.iter();
        let newer = newer.filter(|(_, stated)| stated.sequence > sequence);
        let statements = newer.map(|(instance_hash, stated)| RateStatement {
            instance_hash: *instance_hash,
            per_s: stated.per_s,
            age_ms: now.mono_ms.saturating_sub(stated.mono_ms),
        });
        statements.collect()
    }

    fn digest(&self) -> u64 {
        let limited = self.by_instance.iter();
        let limited = limited.filter(|(_, stated)| stated.per_s.is_some());
        limited.fold(0, |digest, (instance_hash, _)| {
            digest ^ mix(*instance_hash, 3)
        })
    }

    fn merge(&mut self, statements: &Vec<RateStatement>, now: Now) {
        for statement in statements {
            let at_mono_ms = now.mono_ms.saturating_sub(statement.age_ms);
            let known = self.by_instance.get(&statement.instance_hash);
            let is_news = known.is_none_or(|known| {
                let is_same = is_same_rate(known.per_s, statement.per_s);
                let error_ms = if is_same {
                    REFRESH_MS / 2
                } else {
                    TIME_ERROR_MS
                };
                at_mono_ms > known.mono_ms + error_ms
            });
            if is_news && statement.age_ms < RETENTION_MS {
                self.set(statement.instance_hash, statement.per_s, at_mono_ms, now);
            }
        }
    }
}

fn is_same_rate(a: Option<f64>, b: Option<f64>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() <= SAME_RATE_RATIO * a.max(b),
        (None, None) => true,
        _ => false,
    }
}
