//! Admission queue in front of the request path.
//!
//! [`hemlockhitch_policy::admission`] makes the decisions; this module lets the
//! tasks that handle requests wait for them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hemlockhitch_model::{Clock, Now};
use hemlockhitch_policy::admission::{
    AdmissionController, AdmissionDecision, AdmissionSettings, Arrival, RefusalReason, Released,
    Ticket,
};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The admission queue of a node; clones share it.
#[derive(Clone)]
pub(crate) struct AdmissionQueue<C: Clock> {
    state: Arc<Mutex<State>>,
    clock: C,
}

struct State {
    controller: AdmissionController,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
}

/// Permits one request to run; dropping it admits the next queued request.
pub(crate) struct AdmissionPermit<C: Clock> {
    queue: AdmissionQueue<C>,
    started_at: Now,
}

/// Outcome of offering a request to the admission policy.
enum OfferOutcome<C: Clock> {
    Admitted,
    Refused(AdmissionRefusal),
    Waiting(QueueEntry<C>, oneshot::Receiver<()>),
}

/// Why a request was not admitted and when to retry it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionRefusal {
    pub(crate) retry_after_ms: u64,
    pub(crate) reason: RefusalReason,
}

impl<C: Clock> AdmissionQueue<C> {
    /// Creates a queue that lets `capacity` requests run concurrently.
    pub(crate) fn new(capacity: u32, clock: C) -> Self {
        let settings = AdmissionSettings::new()
            .capacity(capacity)
            .seed(fastrand::u64(..));
        let state = State {
            controller: AdmissionController::new(settings),
            waiting: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            clock,
        }
    }

    /// Sets the concurrency limit and the number of nodes that share the rate limit
    /// of each organisation.
    pub(crate) fn set_concurrency(&self, capacity: u32, live_nodes: u32) {
        let mut state = self.lock();
        state.controller.set_live_nodes(live_nodes);
        let released = state.controller.set_capacity(capacity, self.clock.now());
        state.release(released);
    }

    /// Waits until the request is admitted; fails when the policy refuses it at once
    /// or the wait times out.
    pub(crate) async fn acquire(
        &self,
        arrival: Arrival,
    ) -> Result<AdmissionPermit<C>, AdmissionRefusal> {
        let max_wait = Duration::from_millis(arrival.max_wait_ms);
        match self.offer(&arrival) {
            OfferOutcome::Admitted => Ok(self.permit()),
            OfferOutcome::Refused(refusal) => Err(refusal),
            OfferOutcome::Waiting(entry, admitted_signal) => {
                self.wait_for_admission(entry, admitted_signal, max_wait)
                    .await
            }
        }
    }

    /// Offers the request to the policy. A queued request is registered under the
    /// same lock, so that its release cannot be missed.
    fn offer(&self, arrival: &Arrival) -> OfferOutcome<C> {
        let mut state = self.lock();
        match state.controller.offer(arrival, self.clock.now()) {
            AdmissionDecision::Admit => OfferOutcome::Admitted,
            AdmissionDecision::Refuse {
                retry_after_ms,
                reason,
            } => OfferOutcome::Refused(AdmissionRefusal {
                retry_after_ms,
                reason,
            }),
            AdmissionDecision::Queue(ticket) => {
                let (sender, admitted_signal) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                let entry = QueueEntry {
                    queue: self.clone(),
                    ticket: Some(ticket),
                };
                OfferOutcome::Waiting(entry, admitted_signal)
            }
        }
    }

    async fn wait_for_admission(
        &self,
        mut entry: QueueEntry<C>,
        admitted_signal: oneshot::Receiver<()>,
        max_wait: Duration,
    ) -> Result<AdmissionPermit<C>, AdmissionRefusal> {
        if let Ok(Ok(())) = timeout(max_wait, admitted_signal).await {
            entry.ticket = None;
            return Ok(self.permit());
        }
        Err(AdmissionRefusal {
            retry_after_ms: u64::try_from(max_wait.as_millis()).unwrap_or(u64::MAX),
            reason: RefusalReason::WaitTooLong,
        })
    }

    fn permit(&self) -> AdmissionPermit<C> {
        AdmissionPermit {
            queue: self.clone(),
            started_at: self.clock.now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Signals the admitted requests and removes the expired ones. A request whose
    /// caller has disconnected passes its permit on when its [`QueueEntry`] is
    /// dropped.
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

/// An entry of the queue, removed on drop.
struct QueueEntry<C: Clock> {
    queue: AdmissionQueue<C>,
    ticket: Option<Ticket>,
}

impl<C: Clock> Drop for QueueEntry<C> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let now = self.queue.clock.now();
        let mut state = self.queue.lock();
        state.waiting.remove(&ticket);
        if !state.controller.cancel(ticket) {
            // The request was admitted while its caller disconnected: finish it, so
            // that its permit is released.
            let released = state.controller.finish(0, now);
            state.release(released);
        }
    }
}

impl<C: Clock> Drop for AdmissionPermit<C> {
    fn drop(&mut self) {
        let now = self.queue.clock.now();
        let ran_ms = now.mono_ms.saturating_sub(self.started_at.mono_ms);
        let mut state = self.queue.lock();
        let released = state.controller.finish(ran_ms, now);
        state.release(released);
    }
}
