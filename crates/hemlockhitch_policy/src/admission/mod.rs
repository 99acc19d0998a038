//! Admission control for the requests of a node.
//!
//! Classes are served in order of priority, and the organisations of one class by
//! weighted fair queueing. A request whose estimated wait exceeds its limit is
//! refused at once, with a Retry-After time at which there should be capacity. Rate
//! limits of organisations are divided over the live nodes, without a central
//! counter.

mod queue;
mod retry_schedule;
mod settings;
mod token_bucket;
mod types;

pub use settings::AdmissionSettings;
pub use types::{AdmissionDecision, Arrival, RefusalReason, Released, Ticket};

use std::collections::HashMap;

use fastrand::Rng;
use hemlockhitch_model::{Class, Now, OrganisationName};

use queue::{ClassQueue, QueuedRequest};
use retry_schedule::RetrySchedule;
use token_bucket::{NodeRate, TokenBucket};

/// Fraction of the capacity up to which each class is admitted. The rest is reserved
/// for higher classes, as running requests are never preempted.
const CLASS_CAPACITY_RATIOS: [f64; Class::ALL.len()] = [1.0, 1.0, 0.95, 0.9, 0.75];

/// Interval, in releases from the queues, at which the lowest waiting class goes
/// first, so that it is never starved.
const LOWEST_FIRST_INTERVAL_RELEASES: u64 = 16;

/// Weight of the newest sample in the moving average of the run time.
const EWMA_WEIGHT: f64 = 0.05;

/// The admission controller of one node.
///
/// ```
/// use hemlockhitch_model::{Class, Clock, ManualClock};
/// use hemlockhitch_policy::admission::{
///     AdmissionController, AdmissionDecision, AdmissionSettings, Arrival,
/// };
///
/// let now = ManualClock::new().now();
/// let mut controller = AdmissionController::new(AdmissionSettings::new().capacity(1_u32));
/// let arrival = Arrival {
///     organisation: "leicester".into(),
///     weight: 1,
///     limit_per_s: 100,
///     class: Class::Chat,
///     max_wait_ms: 10_000,
/// };
/// assert_eq!(controller.offer(&arrival, now), AdmissionDecision::Admit);
/// let AdmissionDecision::Queue(ticket) = controller.offer(&arrival, now) else {
///     panic!("the node is full");
/// };
/// assert_eq!(controller.finish(300, now).admitted, [ticket]);
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    running: u32,
    queues: [ClassQueue; Class::ALL.len()],
    /// Locations of the queued requests.
    queued: HashMap<Ticket, QueueLocation>,
    rate_limits: HashMap<OrganisationName, OrganisationLimit>,
    retry_schedule: RetrySchedule,
    /// Exponentially weighted moving average of the run time, in milliseconds.
    mean_run_ms: f64,
    next_ticket: u64,
    /// Number of requests admitted from the queues.
    releases: u64,
    rng: Rng,
}

/// The queue that holds a ticket.
#[derive(Clone, Debug)]
struct QueueLocation {
    organisation: OrganisationName,
    class: Class,
}

/// The rate limit of an organisation and the Retry-After times of its callers.
#[derive(Clone, Copy, Debug)]
struct OrganisationLimit {
    bucket: TokenBucket,
    retry_schedule: RetrySchedule,
}

impl AdmissionController {
    /// Creates the controller of an idle node.
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
            queued: HashMap::new(),
            rate_limits: HashMap::new(),
            retry_schedule: RetrySchedule::default(),
            next_ticket: 0,
            releases: 0,
        }
    }

    /// Sets the number of live nodes over which rate limits are divided.
    pub fn set_live_nodes(&mut self, live_nodes: u32) {
        self.settings.live_nodes = live_nodes;
    }

    /// Sets the maximum number of concurrent requests. After a decrease, more may run
    /// until enough of them finish.
    pub fn set_capacity(&mut self, capacity: u32, now: Now) -> Released {
        self.settings.capacity = capacity;
        self.release(now)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    /// Admits, queues or refuses an arrival.
    ///
    /// A refused arrival takes no token from the rate limit.
    pub fn offer(&mut self, arrival: &Arrival, now: Now) -> AdmissionDecision {
        if let Some(refusal) = self.check_rate(arrival, now) {
            return refusal;
        }
        if self.has_capacity(arrival.class) {
            self.take_token(arrival);
            self.running += 1;
            return AdmissionDecision::Admit;
        }
        let queue = &self.queues[arrival.class.index()];
        if queue.len_of(&arrival.organisation) >= self.settings.queue_limit {
            return self.refuse(arrival, RefusalReason::QueueFull, now);
        }
        if self.estimated_wait_ms(arrival) > as_f64(arrival.max_wait_ms) {
            return self.refuse(arrival, RefusalReason::WaitTooLong, now);
        }
        self.take_token(arrival);
        AdmissionDecision::Queue(self.enqueue(arrival, now))
    }

    /// Records that a request finished after running for `ran_ms`.
    pub fn finish(&mut self, ran_ms: u64, now: Now) -> Released {
        self.running = self.running.saturating_sub(1);
        self.mean_run_ms += (as_f64(ran_ms.max(1)) - self.mean_run_ms) * EWMA_WEIGHT;
        self.release(now)
    }

    /// Removes the requests that waited too long.
    pub fn expire(&mut self, now: Now) -> Released {
        let mut released = Released::default();
        for queue in &mut self.queues {
            released.expired.extend(queue.take_expired(now));
        }
        for ticket in &released.expired {
            self.queued.remove(ticket);
        }
        released
    }

    /// Removes a request whose caller disconnected; returns whether it was still
    /// queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(location) = self.queued.remove(&ticket) else {
            return false;
        };
        self.queues[location.class.index()].remove(&location.organisation, ticket)
    }

    /// Returns a refusal if the organisation exceeds its rate limit.
    fn check_rate(&mut self, arrival: &Arrival, now: Now) -> Option<AdmissionDecision> {
        let rate = NodeRate::share_of(arrival.limit_per_s, self.settings.live_nodes);
        let limit = self
            .rate_limits
            .entry(arrival.organisation.clone())
            .or_insert_with(|| OrganisationLimit {
                bucket: TokenBucket::full(rate, now),
                retry_schedule: RetrySchedule::default(),
            });
        if limit.bucket.refill_and_check(rate, now) {
            return None;
        }
        let drain_per_ms = rate.per_s / 1_000.0;
        let retry_schedule = &mut limit.retry_schedule;
        let retry_after_ms = retry_schedule.retry_after_ms(0.0, drain_per_ms, now, &mut self.rng);
        Some(AdmissionDecision::Refuse {
            retry_after_ms,
            reason: RefusalReason::RateLimited,
        })
    }

    fn take_token(&mut self, arrival: &Arrival) {
        if let Some(limit) = self.rate_limits.get_mut(&arrival.organisation) {
            limit.bucket.take();
        }
    }

    fn refuse(&mut self, arrival: &Arrival, reason: RefusalReason, now: Now) -> AdmissionDecision {
        let excess_ms = self.estimated_wait_ms(arrival) - as_f64(arrival.max_wait_ms);
        let backlog_ms = excess_ms.max(0.0);
        let drain_per_ms = self.drain_per_ms();
        let retry_schedule = &mut self.retry_schedule;
        let retry_after_ms =
            retry_schedule.retry_after_ms(backlog_ms, drain_per_ms, now, &mut self.rng);
        AdmissionDecision::Refuse {
            retry_after_ms,
            reason,
        }
    }

    fn enqueue(&mut self, arrival: &Arrival, now: Now) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let deadline_ms = now.mono_ms.saturating_add(arrival.max_wait_ms);
        let queue = &mut self.queues[arrival.class.index()];
        queue.push(&arrival.organisation, arrival.weight, ticket, deadline_ms);
        let location = QueueLocation {
            organisation: arrival.organisation.clone(),
            class: arrival.class,
        };
        self.queued.insert(ticket, location);
        ticket
    }

    /// Admits queued requests while there is capacity; a request past its deadline is
    /// expired instead.
    fn release(&mut self, now: Now) -> Released {
        let mut released = Released::default();
        while let Some(request) = self.pop_next() {
            self.queued.remove(&request.ticket);
            if request.deadline_ms <= now.mono_ms {
                released.expired.push(request.ticket);
                continue;
            }
            self.running += 1;
            self.releases += 1;
            released.admitted.push(request.ticket);
        }
        released
    }

    /// Removes and returns the next request for which its class has capacity.
    fn pop_next(&mut self) -> Option<QueuedRequest> {
        let lowest_first =
            self.releases % LOWEST_FIRST_INTERVAL_RELEASES == LOWEST_FIRST_INTERVAL_RELEASES - 1;
        let mut classes = Class::ALL;
        if lowest_first {
            classes.reverse();
        }
        let class = classes.into_iter().find(|class| {
            let is_waiting = self.queues[class.index()].len() > 0;
            let capacity = if lowest_first {
                self.settings.capacity
            } else {
                self.class_capacity(*class)
            };
            is_waiting && self.running < capacity
        })?;
        self.queues[class.index()].pop()
    }

    /// Returns whether a request may run at once: its class has capacity, and no
    /// request of the same or a higher class is queued.
    fn has_capacity(&self, class: Class) -> bool {
        let none_ahead = self.queues[..=class.index()]
            .iter()
            .all(|queue| queue.len() == 0);
        none_ahead && self.running < self.class_capacity(class)
    }

    /// Returns the maximum number of running requests at which a class is admitted.
    fn class_capacity(&self, class: Class) -> u32 {
        let capacity = f64::from(self.settings.capacity) * CLASS_CAPACITY_RATIOS[class.index()];
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let capacity = capacity.ceil() as u32;
        capacity
    }

    /// Estimates how long an arrival would be queued, in milliseconds.
    fn estimated_wait_ms(&self, arrival: &Arrival) -> f64 {
        let class = arrival.class.index();
        let higher: usize = self.queues[..class].iter().map(ClassQueue::len).sum();
        let same = self.queues[class].requests_ahead_of(&arrival.organisation, arrival.weight);
        #[allow(clippy::cast_precision_loss)]
        let ahead = higher as f64 + same + 1.0;
        ahead / self.drain_per_ms()
    }

    /// Returns the completion rate of a fully used node, in requests per millisecond.
    fn drain_per_ms(&self) -> f64 {
        f64::from(self.settings.capacity.max(1)) / self.mean_run_ms
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
