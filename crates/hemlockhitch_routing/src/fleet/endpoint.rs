//! One endpoint as a node sees it.

use std::collections::HashMap;

use hemlockhitch_model::Now;

use super::{EndpointEntry, Health};
use crate::allowance::Pace;
use hemlockhitch_model::hash_bytes;

/// Time in which a report loses half of its weight, in milliseconds: about the
/// time that a short generation takes.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;

/// Prompt parts remembered for one endpoint.
const PARTS_MOST: usize = 2_048;

/// An endpoint's own report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Requests that one or several nodes have at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Requests that were sent and are not answered.
    pub requests: u32,
    /// Prompt tokens of those that no event was received of.
    pub unread_tokens: u64,
}

/// One endpoint as a node sees it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What it says of itself.
    pub entry: EndpointEntry,
    /// Whether it can be relied on.
    pub health: Health,
    /// This node's requests at it.
    pub in_flight: u32,
    /// Prompt tokens of this node's requests that it has not finished reading.
    pub unread_tokens: u64,
    /// This node's requests to it while it is cold.
    pub cold_pace: Pace,
    /// A hash of its name, the same on every node.
    pub name_hash: u64,
    cold_until_mono_ms: u64,
    load: Option<(Load, Now)>,
    others: Option<(Sent, Now)>,
    parts: HashMap<(u64, u64), u64>,
}

impl Endpoint {
    pub(super) fn new(entry: EndpointEntry, now: Now) -> Self {
        Self {
            cold_until_mono_ms: now.mono_ms + entry.cold_left_ms,
            name_hash: hash_bytes(entry.name.as_str()),
            entry,
            health: Health::default(),
            in_flight: 0,
            unread_tokens: 0,
            cold_pace: Pace::default(),
            load: None,
            others: None,
            parts: HashMap::new(),
        }
    }

    pub(super) fn update(&mut self, entry: EndpointEntry, now: Now) {
        self.note_cold(entry.cold_left_ms, now);
        self.entry = entry;
    }

    /// Takes in how long the endpoint says that it stays cold.
    pub fn note_cold(&mut self, cold_left_ms: u64, now: Now) {
        if cold_left_ms > 0 {
            self.cold_until_mono_ms = self.cold_until_mono_ms.max(now.mono_ms + cold_left_ms);
        }
    }

    /// Returns whether the endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, now: Now) -> bool {
        now.mono_ms < self.cold_until_mono_ms
    }

    /// Takes in the endpoint's report of its load.
    pub fn note_load(&mut self, load: Load, now: Now) {
        self.load = Some((load, now));
    }

    /// Returns the requests that wait by the last report, weighted by its age.
    #[must_use]
    pub fn waiting(&self, now: Now) -> f64 {
        let Some((load, at)) = self.load else {
            return 0.0;
        };
        f64::from(load.waiting) * report_weight(at, now)
    }

    /// Returns what this node has at the endpoint.
    #[must_use]
    pub fn sent(&self) -> Sent {
        Sent {
            requests: self.in_flight,
            unread_tokens: self.unread_tokens,
        }
    }

    /// Takes in what the other nodes have at the endpoint.
    pub fn note_others(&mut self, sent: Sent, now: Now) {
        self.others = Some((sent, now));
    }

    /// Estimates the requests at the endpoint: this node's own, and those of others as
    /// far as their word or the endpoint's report is fresh.
    #[must_use]
    pub fn requests(&self, now: Now) -> f64 {
        let own = f64::from(self.in_flight);
        let reported = self.load.map_or(0.0, |(load, at)| {
            let reported = f64::from(load.running + load.waiting);
            (reported - own).max(0.0) * report_weight(at, now)
        });
        let told = self.others.map_or(0.0, |(sent, at)| {
            f64::from(sent.requests) * report_weight(at, now)
        });
        own + reported.max(told)
    }

    /// Estimates the prompt tokens at the endpoint that it has not read.
    #[must_use]
    pub fn all_unread_tokens(&self, now: Now) -> f64 {
        let told = self.others.map_or(0.0, |(sent, at)| {
            as_f64(sent.unread_tokens) * report_weight(at, now)
        });
        as_f64(self.unread_tokens) + told
    }

    /// Returns the part of its slots that is probably taken.
    #[must_use]
    pub fn used_ratio(&self, now: Now) -> f64 {
        self.requests(now) / f64::from(self.entry.slots.max(1))
    }

    /// Notes that the endpoint reads a prompt part for a model.
    pub fn note_part(&mut self, model_hash: u64, part: u64, now: Now) {
        if self.parts.len() >= PARTS_MOST {
            let newest = self.parts.values().copied().max().unwrap_or_default();
            let oldest = self.parts.values().copied().min().unwrap_or_default();
            let middle = oldest.midpoint(newest);
            self.parts.retain(|_, at| *at > middle);
        }
        self.parts.insert((model_hash, part), now.mono_ms);
    }

    /// Returns whether the endpoint read a prompt part for a model in the last
    /// `within_ms`.
    #[must_use]
    pub fn holds_part(&self, model_hash: u64, part: u64, within_ms: u64, now: Now) -> bool {
        let read_mono_ms = self.parts.get(&(model_hash, part));
        read_mono_ms.is_some_and(|at| now.mono_ms.saturating_sub(*at) <= within_ms)
    }
}

fn report_weight(at: Now, now: Now) -> f64 {
    let age_ms = now.mono_ms.saturating_sub(at.mono_ms);
    (-as_f64(age_ms) / REPORT_HALF_LIFE_MS).exp2()
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
