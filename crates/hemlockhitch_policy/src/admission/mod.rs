//! Admits requests to a node, fairly and early.
//!
//! Classes go in order of priority, organisations of one class by their weights.
//! A request that would wait longer than it may is refused at once, with a time
//! to come back at which there will be room. Limits of organisations are divided
//! over the live nodes, without a central counter.

mod comeback;
mod queue;
mod rate;
mod settings;
mod types;

pub use settings::AdmissionSettings;
pub use types::{Arrival, RefusalReason, Released, Ticket, Verdict};

use std::collections::HashMap;

use fastrand::Rng;
use hemlockhitch_model::{Class, Now, OrganisationName};

use comeback::Comeback;
use queue::{ClassQueue, Waiting};
use rate::{Rate, RateLimit};

/// The part of the capacity up to which a class is admitted, by class; the rest
/// is kept free for higher classes, as running work is never stopped.
const CAPACITY_RATIO: [f64; Class::ALL.len()] = [1.0, 1.0, 0.95, 0.9, 0.75];

/// Every how many releases the lowest waiting class goes first, so that it is
/// never starved.
const LOWEST_FIRST_EVERY: u64 = 16;

/// Weight of the newest run in the mean run time.
const NEWEST_WEIGHT: f64 = 0.05;

/// The admission of one node.
///
/// ```
/// use hemlockhitch_model::{Class, Clock, ManualClock};
/// use hemlockhitch_policy::admission::{Admission, AdmissionSettings, Arrival, Verdict};
///
/// let now = ManualClock::new().now();
/// let mut admission = Admission::new(AdmissionSettings::new().capacity(1_u32));
/// let arrival = Arrival {
///     organisation: "leicester".into(),
///     weight: 1,
///     limit_per_s: 100,
///     class: Class::Chat,
///     wait_limit_ms: 10_000,
/// };
/// assert_eq!(admission.offer(&arrival, now), Verdict::Admit);
/// let Verdict::Queue(ticket) = admission.offer(&arrival, now) else {
///     panic!("the node is full");
/// };
/// assert_eq!(admission.finish(300, now).admitted, [ticket]);
/// ```
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    running: u32,
    queues: [ClassQueue; Class::ALL.len()],
    places: HashMap<Ticket, Place>,
    limits: HashMap<OrganisationName, Limit>,
    comeback: Comeback,
    mean_run_ms: f64,
    next_ticket: u64,
    releases: u64,
    rng: Rng,
}

/// Where a ticket waits.
#[derive(Clone, Debug)]
struct Place {
    organisation: OrganisationName,
    class: Class,
}

/// The rate limit of an organisation.
#[derive(Clone, Copy, Debug)]
struct Limit {
    bucket: RateLimit,
    comeback: Comeback,
}

impl Admission {
    /// Creates the admission of a node on which nothing runs.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let mean_run_ms = settings.expected_run_ms.max(1) as f64;
        Self {
            mean_run_ms,
            rng: Rng::with_seed(settings.seed),
            settings,
            running: 0,
            queues: Default::default(),
            places: HashMap::new(),
            limits: HashMap::new(),
            comeback: Comeback::default(),
            next_ticket: 0,
            releases: 0,
        }
    }

    /// Sets the nodes over which limits are divided.
    pub fn set_live_nodes(&mut self, live_nodes: u32) {
        self.settings.live_nodes = live_nodes;
    }

    /// Sets the most requests that run at once; more may run for a while after
    /// it was lowered.
    pub fn set_capacity(&mut self, capacity: u32, now: Now) -> Released {
        self.settings.capacity = capacity;
        self.release(now)
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// Decides on an arrival.
    pub fn offer(&mut self, arrival: &Arrival, now: Now) -> Verdict {
        if let Some(refusal) = self.check_rate(arrival, now) {
            return refusal;
        }
        if self.has_room(arrival.class) {
            self.take_token(arrival);
            self.running += 1;
            return Verdict::Admit;
        }
        let queue = &self.queues[arrival.class.index()];
        if queue.len_of(&arrival.organisation) >= self.settings.queue_limit {
            return self.refuse(arrival, RefusalReason::QueueFull, now);
        }
        if self.wait_ms(arrival) > as_f64(arrival.wait_limit_ms) {
            return self.refuse(arrival, RefusalReason::WouldBeLate, now);
        }
        self.take_token(arrival);
        Verdict::Queue(self.enqueue(arrival, now))
    }

    /// Takes in that a request ended which ran for `ran_ms`.
    pub fn finish(&mut self, ran_ms: u64, now: Now) -> Released {
        self.running = self.running.saturating_sub(1);
        self.mean_run_ms += (as_f64(ran_ms.max(1)) - self.mean_run_ms) * NEWEST_WEIGHT;
        self.release(now)
    }

    /// Takes out the requests that waited too long.
    pub fn expire(&mut self, now: Now) -> Released {
        let mut released = Released::default();
        for queue in &mut self.queues {
            released.expired.extend(queue.take_expired(now));
        }
        for ticket in &released.expired {
            self.places.remove(ticket);
        }
        released
    }

    /// Takes out a request whose caller left; returns whether it still waited.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(place) = self.places.remove(&ticket) else {
            return false;
        };
        self.queues[place.class.index()].remove(&place.organisation, ticket)
    }

    fn check_rate(&mut self, arrival: &Arrival, now: Now) -> Option<Verdict> {
        let rate = Rate::part_of(arrival.limit_per_s, self.settings.live_nodes);
        let limit = self
            .limits
            .entry(arrival.organisation.clone())
            .or_insert_with(|| Limit {
                bucket: RateLimit::full(rate, now),
                comeback: Comeback::default(),
            });
        if limit.bucket.allows(rate, now) {
            return None;
        }
        let drain_per_ms = rate.per_s / 1_000.0;
        let comeback = &mut limit.comeback;
        let retry_after_ms = comeback.retry_after_ms(0.0, drain_per_ms, now, &mut self.rng);
        Some(Verdict::Refuse {
            retry_after_ms,
            reason: RefusalReason::OverRate,
        })
    }

    fn take_token(&mut self, arrival: &Arrival) {
        if let Some(limit) = self.limits.get_mut(&arrival.organisation) {
            limit.bucket.take();
        }
    }

    fn refuse(&mut self, arrival: &Arrival, reason: RefusalReason, now: Now) -> Verdict {
        let excess_ms = self.wait_ms(arrival) - as_f64(arrival.wait_limit_ms);
        let busy_ms = excess_ms.max(0.0);
        let drain_per_ms = self.drain_per_ms();
        let comeback = &mut self.comeback;
        let retry_after_ms = comeback.retry_after_ms(busy_ms, drain_per_ms, now, &mut self.rng);
        Verdict::Refuse {
            retry_after_ms,
            reason,
        }
    }

    fn enqueue(&mut self, arrival: &Arrival, now: Now) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let deadline_ms = now.mono_ms.saturating_add(arrival.wait_limit_ms);
        let queue = &mut self.queues[arrival.class.index()];
        queue.push(&arrival.organisation, arrival.weight, ticket, deadline_ms);
        let place = Place {
            organisation: arrival.organisation.clone(),
            class: arrival.class,
        };
        self.places.insert(ticket, place);
        ticket
    }

    fn release(&mut self, now: Now) -> Released {
        let mut released = Released::default();
        while let Some(waiting) = self.next_waiting() {
            self.places.remove(&waiting.ticket);
            if waiting.deadline_ms <= now.mono_ms {
                released.expired.push(waiting.ticket);
                continue;
            }
            self.running += 1;
            self.releases += 1;
            released.admitted.push(waiting.ticket);
        }
        released
    }

    fn next_waiting(&mut self) -> Option<Waiting> {
        let lowest_first = self.releases % LOWEST_FIRST_EVERY == LOWEST_FIRST_EVERY - 1;
        let mut classes = Class::ALL;
        if lowest_first {
            classes.reverse();
        }
        let class = classes.into_iter().find(|class| {
            let waits = self.queues[class.index()].len() > 0;
            let capacity = if lowest_first {
                self.settings.capacity
            } else {
                self.capacity_of(*class)
            };
            waits && self.running < capacity
        })?;
        self.queues[class.index()].pop()
    }

    fn has_room(&self, class: Class) -> bool {
        let first = self.queues[..=class.index()]
            .iter()
            .all(|queue| queue.len() == 0);
        first && self.running < self.capacity_of(class)
    }

    fn capacity_of(&self, class: Class) -> u32 {
        let capacity = f64::from(self.settings.capacity) * CAPACITY_RATIO[class.index()];
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let capacity = capacity.ceil() as u32;
        capacity
    }

    /// Estimates how long a request would wait.
    fn wait_ms(&self, arrival: &Arrival) -> f64 {
        let class = arrival.class.index();
        let higher: usize = self.queues[..class].iter().map(ClassQueue::len).sum();
        let same = self.queues[class].ahead_of(&arrival.organisation, arrival.weight);
        #[allow(clippy::cast_precision_loss)]
        let ahead = higher as f64 + same + 1.0;
        ahead / self.drain_per_ms()
    }

    fn drain_per_ms(&self) -> f64 {
        f64::from(self.settings.capacity.max(1)) / self.mean_run_ms
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
