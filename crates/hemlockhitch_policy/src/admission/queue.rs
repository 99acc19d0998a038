//! The waiting requests of one class, in order of fair shares.

use std::collections::{HashMap, VecDeque};

use hemlockhitch_model::{Now, OrganisationName};

use super::Ticket;

/// The waiting requests of one class: start-time fair queueing.
///
/// Each request gets a start tag, the later of the class's virtual time and the
/// end of the organisation's request before it, and ends one over the weight
/// later. The lowest start tag runs first.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassQueue {
    virtual_time: f64,
    organisations: HashMap<OrganisationName, OrganisationQueue>,
    waiting: usize,
}

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    weight: f64,
    last_end: f64,
    requests: VecDeque<Waiting>,
}

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) deadline_ms: u64,
    start_tag: f64,
}

impl ClassQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting
    }

    /// Returns how many requests of an organisation wait.
    pub(super) fn len_of(&self, organisation: &OrganisationName) -> usize {
        let queue = self.organisations.get(organisation);
        queue.map_or(0, |queue| queue.requests.len())
    }

    /// Returns how many requests run before the next one of an organisation.
    pub(super) fn ahead_of(&self, organisation: &OrganisationName, weight: u32) -> f64 {
        let own = as_f64(self.len_of(organisation));
        let turns = (own + 1.0) / f64::from(weight.max(1));
        let others = self
            .organisations
            .iter()
            .filter(|(name, _)| *name != organisation)
            .map(|(_, queue)| as_f64(queue.requests.len()).min(turns * queue.weight));
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
        let start_tag = self.virtual_time.max(queue.last_end);
        queue.last_end = start_tag + 1.0 / queue.weight;
        queue.requests.push_back(Waiting {
            ticket,
            deadline_ms,
            start_tag,
        });
        self.waiting += 1;
    }

    /// Takes the request that is next.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
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
        let waiting = queue.requests.pop_front()?;
        self.virtual_time = self.virtual_time.max(waiting.start_tag);
        self.waiting -= 1;
        self.forget_idle(&organisation);
        Some(waiting)
    }

    /// Removes a request that waits no longer.
    pub(super) fn remove(&mut self, organisation: &OrganisationName, ticket: Ticket) -> bool {
        let Some(queue) = self.organisations.get_mut(organisation) else {
            return false;
        };
        let before = queue.requests.len();
        queue.requests.retain(|waiting| waiting.ticket != ticket);
        let removed = before - queue.requests.len();
        self.waiting -= removed;
        removed > 0
    }

    /// Takes every request whose deadline is over.
    pub(super) fn take_expired(&mut self, now: Now) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.organisations.values_mut() {
            queue.requests.retain(|waiting| {
                let over = waiting.deadline_ms <= now.mono_ms;
                if over {
                    expired.push(waiting.ticket);
                }
                !over
            });
        }
        self.waiting -= expired.len();
        expired.sort_unstable();
        expired
    }

    /// Drops an organisation that has nothing waiting and no lead over others.
    fn forget_idle(&mut self, organisation: &OrganisationName) {
        let virtual_time = self.virtual_time;
        let idle = self
            .organisations
            .get(organisation)
            .is_some_and(|queue| queue.requests.is_empty() && queue.last_end <= virtual_time);
        if idle {
            self.organisations.remove(organisation);
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: usize) -> f64 {
    count as f64
}
