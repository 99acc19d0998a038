//! A node's view of one endpoint.

use std::collections::HashMap;

use hemlockhitch_model::Now;

use super::work_time::USUAL_PERCENT;
use super::{CircuitBreaker, EndpointEntry, Load, Outstanding, StatedWorkTime, WorkTimeEstimate};
use crate::limits::{NamedRate, NodeShares, RateLimiter};
use hemlockhitch_model::hash_bytes;

/// Half-life of the weight of a load report, in milliseconds: about the duration of a
/// short generation.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;

/// Number of remembered prompt parts of one endpoint at which the older ones are
/// dropped.
const MAX_REMEMBERED_PARTS: usize = 2_048;

/// A node's view of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's latest registration.
    pub entry: EndpointEntry,
    /// Circuit breaker for the endpoint.
    pub circuit_breaker: CircuitBreaker,
    /// This node's outstanding requests at the endpoint.
    pub in_flight: u32,
    /// Work on the prompts of this node's requests that the endpoint has not prefilled
    /// yet, as the number of prompt tokens of the smallest model.
    pub pending_prefill_tokens: u64,
    /// Rate limiter for this node's requests while the endpoint is cold.
    pub cold_limiter: RateLimiter,
    /// Hash of the endpoint's name; the same on every node.
    pub name_hash: u64,
    /// Hash of the endpoint's instance; the same on every node.
    pub instance_hash: u64,
    cold_until_mono_ms: u64,
    paused_until_mono_ms: u64,
    is_leaving: bool,
    last_sent_mono_ms: Option<u64>,
    load: Option<(Load, Now)>,
    /// `None` if the endpoint never stated how long work takes.
    work_time: Option<WorkTimeEstimate>,
    has_stated_unreadable: bool,
    peer_requests: Option<(Outstanding, Now)>,
    /// Time of the latest prefill, by model hash and part identifier.
    part_prefill_mono_ms: HashMap<(u64, u64), u64>,
}

impl Endpoint {
    pub(super) fn new(entry: EndpointEntry, now: Now) -> Self {
        Self {
            cold_until_mono_ms: now.mono_ms.saturating_add(entry.cold_remaining_ms),
            name_hash: hash_bytes(entry.name.as_str()),
            paused_until_mono_ms: 0,
            is_leaving: false,
            last_sent_mono_ms: None,
            instance_hash: entry.instance_hash(),
            entry,
            circuit_breaker: CircuitBreaker::default(),
            in_flight: 0,
            pending_prefill_tokens: 0,
            cold_limiter: RateLimiter::default(),
            load: None,
            work_time: None,
            has_stated_unreadable: false,
            peer_requests: None,
            part_prefill_mono_ms: HashMap::new(),
        }
    }

    pub(super) fn update_entry(&mut self, entry: EndpointEntry, now: Now) {
        self.record_cold(entry.cold_remaining_ms, now);
        // An instance that is draining ends; an older registration does not undo that.
        let draining = self.entry.draining || entry.draining;
        let started_unix_ms = self.entry.started_unix_ms.or(entry.started_unix_ms);
        self.entry = EndpointEntry {
            draining,
            started_unix_ms,
            ..entry
        };
    }

    pub(super) fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether the endpoint has stated that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records that this node sends the endpoint a request.
    pub fn record_sent(&mut self, now: Now) {
        self.last_sent_mono_ms = Some(now.mono_ms);
        if self.is_cold(now) {
            self.cold_limiter.record(now);
        }
    }

    /// Returns the time until this node may send a request within the rate that the
    /// endpoint takes from all nodes, in milliseconds; `None` if other nodes use the rate.
    #[must_use]
    pub fn rate_wait_ms(&self, rate: NamedRate, nodes: NodeShares<'_>, now: Now) -> Option<u64> {
        let interval_ms = rate.node_interval_ms(nodes)?;
        let next_mono_ms = self.last_sent_mono_ms.map_or(0, |last| last + interval_ms);
        Some(next_mono_ms.saturating_sub(now.mono_ms))
    }

    /// Records that the endpoint has asked this node to send nothing for a time. The
    /// latest end counts.
    pub fn record_pause(&mut self, pause_ms: u64, now: Now) {
        self.paused_until_mono_ms = self.paused_until_mono_ms.max(now.mono_ms + pause_ms);
    }

    /// Returns the remaining time for which this node sends nothing to the endpoint, in
    /// milliseconds; 0 if it may send.
    #[must_use]
    pub fn pause_remaining_ms(&self, now: Now) -> u64 {
        self.paused_until_mono_ms.saturating_sub(now.mono_ms)
    }

    /// Returns whether other nodes have been asked for a pause that is not over.
    #[must_use]
    pub fn is_paused_for_peers(&self, now: Now) -> bool {
        self.peer_requests.is_some_and(|(outstanding, at)| {
            now.mono_ms < at.mono_ms + outstanding.pause_remaining_ms
        })
    }

    /// Records how long the endpoint stays cold, as it reports it. The latest end
    /// counts.
    pub fn record_cold(&mut self, cold_remaining_ms: u64, now: Now) {
        if cold_remaining_ms > 0 {
            let until_mono_ms = now.mono_ms.saturating_add(cold_remaining_ms);
            self.cold_until_mono_ms = self.cold_until_mono_ms.max(until_mono_ms);
        }
    }

    /// Returns whether the endpoint is still warming up.
    #[must_use]
    pub fn is_cold(&self, now: Now) -> bool {
        now.mono_ms < self.cold_until_mono_ms
    }

    /// Records the load that the endpoint reported; returns whether its statement of the
    /// work time was unreadable for the first time.
    pub fn record_load(&mut self, load: Load, now: Now) -> bool {
        self.load = Some((load, now));
        if load.work_time.is_some() || self.work_time.is_some() {
            // An endpoint that no longer states it works as usual.
            let stated = load.work_time.unwrap_or(StatedWorkTime::Unreadable);
            self.record_work_time(stated, now);
        }
        let is_unreadable = load.work_time == Some(StatedWorkTime::Unreadable);
        is_unreadable && !std::mem::replace(&mut self.has_stated_unreadable, true)
    }

    /// Records how long work takes, as read at the endpoint at `read_at`.
    pub fn record_work_time(&mut self, stated: StatedWorkTime, read_at: Now) {
        match &mut self.work_time {
            Some(work_time) => work_time.record(stated, read_at),
            None => self.work_time = Some(WorkTimeEstimate::new(stated, read_at)),
        }
    }

    /// Returns the estimate of how long work takes; `None` if the endpoint never stated it.
    #[must_use]
    pub fn work_time(&self) -> Option<&WorkTimeEstimate> {
        self.work_time.as_ref()
    }

    /// Estimates how much longer than usual work takes at the endpoint, as a fraction of the
    /// usual time: 0 as usual and for endpoints that do not state it, 2 for three times as
    /// long, negative if it takes less.
    #[must_use]
    pub fn slowdown_ratio(&self, now: Now) -> f64 {
        self.work_time.map_or(0.0, |work_time| {
            (work_time.percent(now) - f64::from(USUAL_PERCENT)) / f64::from(USUAL_PERCENT)
        })
    }

    /// Returns the number of queued requests in the last report, decayed by the age of
    /// the report.
    #[must_use]
    pub fn waiting(&self, now: Now) -> f64 {
        let Some((load, at)) = self.load else {
            return 0.0;
        };
        f64::from(load.waiting) * report_decay(at, now)
    }

    /// Returns this node's outstanding requests at the endpoint.
    #[must_use]
    pub fn outstanding(&self, now: Now) -> Outstanding {
        Outstanding {
            requests: self.in_flight,
            pending_prefill_tokens: self.pending_prefill_tokens,
            pause_remaining_ms: self.pause_remaining_ms(now),
        }
    }

    /// Records the outstanding requests of the other nodes at the endpoint.
    pub fn record_peer_requests(&mut self, outstanding: Outstanding, now: Now) {
        self.peer_requests = Some((outstanding, now));
    }

    /// Estimates the requests at the endpoint: this node's own, and those of other
    /// nodes as reported by them or by the endpoint, decayed by the age of the report.
    #[must_use]
    pub fn requests(&self, now: Now) -> f64 {
        let own = f64::from(self.in_flight);
        let reported = self.load.map_or(0.0, |(load, at)| {
            let reported = f64::from(load.running) + f64::from(load.waiting);
            (reported - own).max(0.0) * report_decay(at, now)
        });
        let peer = self.peer_requests.map_or(0.0, |(outstanding, at)| {
            f64::from(outstanding.requests) * report_decay(at, now)
        });
        own + reported.max(peer)
    }

    /// Estimates the work on prompts that the endpoint has not prefilled yet, as the number
    /// of prompt tokens of the smallest model.
    #[must_use]
    pub fn total_pending_prefill_tokens(&self, now: Now) -> f64 {
        let peer = self.peer_requests.map_or(0.0, |(outstanding, at)| {
            as_f64(outstanding.pending_prefill_tokens) * report_decay(at, now)
        });
        as_f64(self.pending_prefill_tokens) + peer
    }

    /// Estimates the fraction of slots in use; above 1 if requests are queued.
    #[must_use]
    pub fn used_ratio(&self, now: Now) -> f64 {
        self.requests(now) / f64::from(self.entry.slots.max(1))
    }

    /// Records that the endpoint prefills a prompt part for a model.
    pub fn record_part(&mut self, model_hash: u64, part_id: u64, now: Now) {
        if self.part_prefill_mono_ms.len() >= MAX_REMEMBERED_PARTS {
            let newest = self
                .part_prefill_mono_ms
                .values()
                .copied()
                .max()
                .unwrap_or_default();
            let oldest = self
                .part_prefill_mono_ms
                .values()
                .copied()
                .min()
                .unwrap_or_default();
            let cutoff_mono_ms = oldest.midpoint(newest);
            self.part_prefill_mono_ms
                .retain(|_, at| *at > cutoff_mono_ms);
        }
        self.part_prefill_mono_ms
            .insert((model_hash, part_id), now.mono_ms);
    }

    /// Returns whether the endpoint prefilled a prompt part for a model in the last
    /// `max_age_ms` milliseconds.
    #[must_use]
    pub fn has_recent_part(
        &self,
        model_hash: u64,
        part_id: u64,
        max_age_ms: u64,
        now: Now,
    ) -> bool {
        let prefill_mono_ms = self.part_prefill_mono_ms.get(&(model_hash, part_id));
        prefill_mono_ms.is_some_and(|at| now.mono_ms.saturating_sub(*at) <= max_age_ms)
    }
}

fn report_decay(at: Now, now: Now) -> f64 {
    let age_ms = now.mono_ms.saturating_sub(at.mono_ms);
    (-as_f64(age_ms) / REPORT_HALF_LIFE_MS).exp2()
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
