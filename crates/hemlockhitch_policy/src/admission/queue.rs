//! Weighted fair queue of the requests of one class.

use std::collections::{HashMap, VecDeque};

use hemlockhitch_model::{Now, OrganisationName};

use super::Ticket;

/// The queued requests of one class, in the order of start-time fair queueing.
///
/// The start tag of a request is the later of the class's virtual time and the
/// finish tag of the organisation's previous request. Its finish tag is the start
/// tag plus the reciprocal of the weight. The lowest start tag runs first.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassQueue {
    virtual_time: f64,
    organisations: HashMap<OrganisationName, OrganisationQueue>,
    /// Number of queued requests of all organisations.
    queued: usize,
}

/// The queued requests of one organisation, first in, first out.
#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    weight: f64,
    last_finish_tag: f64,
    requests: VecDeque<QueuedRequest>,
}

/// One queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) ticket: Ticket,
    /// Monotonic time at which the request expires, in milliseconds.
    pub(super) deadline_ms: u64,
    start_tag: f64,
}

impl ClassQueue {
    pub(super) fn len(&self) -> usize {
        self.queued
    }

    /// Returns the number of queued requests of an organisation.
    pub(super) fn len_of(&self, organisation: &OrganisationName) -> usize {
        let queue = self.organisations.get(organisation);
        queue.map_or(0, |queue| queue.requests.len())
    }

    /// Estimates the number of queued requests that run before a new request of an
    /// organisation.
    pub(super) fn requests_ahead_of(&self, organisation: &OrganisationName, weight: u32) -> f64 {
        let own = as_f64(self.len_of(organisation));
        let rounds = (own + 1.0) / f64::from(weight.max(1));
        let others = self
            .organisations
            .iter()
            .filter(|(name, _)| *name != organisation)
            .map(|(_, queue)| as_f64(queue.requests.len()).min(rounds * queue.weight));
        own + others.sum::<f64>()
    }

    pub(super) fn push(
        &mut self,
        organisation: &OrganisationName,
        weight: u32,
        ticket: Ticket,
        deadline_ms: u64,
    ) {
        let queue = self.organisations.entry(organisation.clone()).or_default();
        queue.weight = f64::from(weight.max(1));
        let start_tag = self.virtual_time.max(queue.last_finish_tag);
        queue.last_finish_tag = start_tag + 1.0 / queue.weight;
        queue.requests.push_back(QueuedRequest {
            ticket,
            deadline_ms,
            start_tag,
        });
        self.queued += 1;
    }

    /// Removes and returns the request with the lowest start tag, or with the lowest
    /// ticket if several have it.
    pub(super) fn pop(&mut self) -> Option<QueuedRequest> {
        let heads = self
            .organisations
            .iter()
            .filter_map(|(name, queue)| queue.requests.front().map(|head| (name, head)));
        let next = heads.min_by(|(_, a), (_, b)| {
            let by_tag = a.start_tag.total_cmp(&b.start_tag);
            by_tag.then(a.ticket.cmp(&b.ticket))
        });
        let organisation = next.map(|(name, _)| name.clone())?;
        let queue = self.organisations.get_mut(&organisation)?;
        let request = queue.requests.pop_front()?;
        self.virtual_time = self.virtual_time.max(request.start_tag);
        self.queued -= 1;
        self.remove_if_idle(&organisation);
        Some(request)
    }

    /// Removes a request; returns whether it was queued.
    pub(super) fn remove(&mut self, organisation: &OrganisationName, ticket: Ticket) -> bool {
        let Some(queue) = self.organisations.get_mut(organisation) else {
            return false;
        };
        let before = queue.requests.len();
        queue.requests.retain(|request| request.ticket != ticket);
        let removed = before - queue.requests.len();
        self.queued -= removed;
        removed > 0
    }

    /// Removes the requests whose deadline has passed, and returns their tickets in
    /// ascending order.
    pub(super) fn take_expired(&mut self, now: Now) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.organisations.values_mut() {
            queue.requests.retain(|request| {
                let is_expired = request.deadline_ms <= now.mono_ms;
                if is_expired {
                    expired.push(request.ticket);
                }
                !is_expired
            });
        }
        self.queued -= expired.len();
        expired.sort_unstable();
        expired
    }

    /// Removes an organisation that has no queued requests and whose finish tag is
    /// not ahead of the virtual time, so that no fairness state is lost.
    fn remove_if_idle(&mut self, organisation: &OrganisationName) {
        let virtual_time = self.virtual_time;
        let idle = self.organisations.get(organisation).is_some_and(|queue| {
            queue.requests.is_empty() && queue.last_finish_tag <= virtual_time
        });
        if idle {
            self.organisations.remove(organisation);
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: usize) -> f64 {
    count as f64
}
