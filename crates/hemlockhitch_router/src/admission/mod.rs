//! The queue in front of the request path.
//!
//! The decisions are those of [`hemlockhitch_policy::admission`]; this module
//! lets the tasks of callers wait for them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_policy::admission::{
    Admission, AdmissionSettings, Arrival, RefusalReason, Released, Ticket, Verdict,
};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The queue of a node; clones share it.
#[derive(Clone)]
pub(crate) struct AdmissionQueue<C: Clock> {
    state: Arc<Mutex<State>>,
    clock: C,
}

struct State {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
}

/// A request that was admitted; dropping it lets the next one in.
pub(crate) struct Admitted<C: Clock> {
    queue: AdmissionQueue<C>,
    started: Now,
}

/// What came of asking the policy.
enum Offered<C: Clock> {
    Admitted,
    TurnedAway(TurnedAway),
    Waiting(Place<C>, oneshot::Receiver<()>),
}

/// A request that was not admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TurnedAway {
    pub(crate) retry_after_ms: u64,
    pub(crate) reason: RefusalReason,
}

impl<C: Clock> AdmissionQueue<C> {
    /// Creates a queue for `capacity` requests at once.
    pub(crate) fn new(capacity: u32, clock: C) -> Self {
        let settings = AdmissionSettings::new()
            .capacity(capacity)
            .seed(fastrand::u64(..));
        let state = State {
            admission: Admission::new(settings),
            waiting: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            clock,
        }
    }

    /// Sets how many requests run at once, and over how many nodes the limits
    /// of organisations are divided.
    pub(crate) fn resize(&self, capacity: u32, live_nodes: u32) {
        let mut state = self.lock();
        state.admission.set_live_nodes(live_nodes);
        let released = state.admission.set_capacity(capacity, self.clock.now());
        state.release(released);
    }

    /// Waits until the request may run, or says at once or at the end of the
    /// wait that it may not.
    pub(crate) async fn enter(&self, arrival: Arrival) -> Result<Admitted<C>, TurnedAway> {
        let wait = Duration::from_millis(arrival.wait_limit_ms);
        match self.offer(&arrival) {
            Offered::Admitted => Ok(self.admitted()),
            Offered::TurnedAway(turned_away) => Err(turned_away),
            Offered::Waiting(place, turn) => self.wait(place, turn, wait).await,
        }
    }

    /// Asks the policy; a request that waits has its place before any other can
    /// be released.
    fn offer(&self, arrival: &Arrival) -> Offered<C> {
        let mut state = self.lock();
        match state.admission.offer(arrival, self.clock.now()) {
            Verdict::Admit => Offered::Admitted,
            Verdict::Refuse {
                retry_after_ms,
                reason,
            } => Offered::TurnedAway(TurnedAway {
                retry_after_ms,
                reason,
            }),
            Verdict::Queue(ticket) => {
                let (sender, turn) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                let place = Place {
                    queue: self.clone(),
                    ticket: Some(ticket),
                };
                Offered::Waiting(place, turn)
            }
        }
    }

    async fn wait(
        &self,
        mut place: Place<C>,
        turn: oneshot::Receiver<()>,
        wait: Duration,
    ) -> Result<Admitted<C>, TurnedAway> {
        if let Ok(Ok(())) = timeout(wait, turn).await {
            place.ticket = None;
            return Ok(self.admitted());
        }
        Err(TurnedAway {
            retry_after_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            reason: RefusalReason::WouldBeLate,
        })
    }

    fn admitted(&self) -> Admitted<C> {
        Admitted {
            queue: self.clone(),
            started: self.clock.now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Lets the released requests run. One whose caller has left gives its turn
    /// to the next when its place is dropped.
    fn release(&mut self, released: Released) {
        for ticket in released.admitted {
            if let Some(sender) = self.waiting.remove(&ticket) {
                let _ = sender.send(());
            }
        }
        for ticket in released.expired {
            self.waiting.remove(&ticket);
        }
    }
}

/// A place in the queue; dropping it leaves the queue.
struct Place<C: Clock> {
    queue: AdmissionQueue<C>,
    ticket: Option<Ticket>,
}

impl<C: Clock> Drop for Place<C> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let now = self.queue.clock.now();
        let mut state = self.queue.lock();
        state.waiting.remove(&ticket);
        if !state.admission.cancel(ticket) {
            // The turn came while the caller left, so it counts as run.
            let released = state.admission.finish(0, now);
            state.release(released);
        }
    }
}

impl<C: Clock> Drop for Admitted<C> {
    fn drop(&mut self) {
        let now = self.queue.clock.now();
        let ran_ms = now.mono_ms.saturating_sub(self.started.mono_ms);
        let mut state = self.queue.lock();
        let released = state.admission.finish(ran_ms, now);
        state.release(released);
    }
}
