//! The router and the state that its requests share.

use std::sync::Arc;

use hemlockhitch_model::{Class, Clock, Now};
use hemlockhitch_policy::admission::{Arrival, RefusalReason};
use tokio::sync::watch;

use crate::admission::{AdmissionPermit, AdmissionQueue, AdmissionRefusal};
use crate::backend::{Backend, ServingCheck};
use crate::billing::Billing;
use crate::caller::{Caller, CallerHeaders};
use crate::explanation::Explanations;
use crate::in_flight::{InFlight, InFlightGuard};
use crate::refusal::{Refusal, RefusalKind};
use crate::roll_out::RollOuts;
use crate::session::SessionKey;
use crate::settings::RouterSettings;
use crate::view::RoutingView;

/// Dependencies and settings of a [`Router`].
#[derive(Clone)]
pub struct RouterParts<B: Backend> {
    /// Source of the current time.
    pub clock: B::Clock,
    /// Client for model engines.
    pub engine: B::Engine,
    /// Client for plain services.
    pub service: B::Service,
    /// Ledger that records claims and bills.
    pub ledger: B::Ledger,
    /// Allocator of request slots on endpoints.
    pub slots: B::Slots,
    /// Counts the endpoint crashes attributed to each request.
    pub crash_tracker: B::CrashTracker,
    /// Decides whether the node accepts new requests.
    pub serving_check: B::ServingCheck,
    /// Receiver of the current [`RoutingView`].
    pub views: watch::Receiver<Arc<RoutingView>>,
    /// Key that signs session tokens.
    pub session_key: SessionKey,
    /// Roll-outs that the guard watches.
    pub roll_outs: RollOuts,
    /// Limits and timeouts of the request path.
    pub settings: RouterSettings,
}

/// Serves requests; clones share their state.
#[derive(Clone)]
pub struct Router<B: Backend> {
    pub(crate) parts: Arc<RouterParts<B>>,
    pub(crate) billing: Billing<B>,
    in_flight: InFlight,
    admission: AdmissionQueue<B::Clock>,
    explanations: Explanations,
}

/// A request that passed authentication and admission.
pub(crate) struct AdmittedRequest<B: Backend> {
    pub(crate) caller: Caller,
    /// The view in which the keys of `caller` are valid.
    pub(crate) view: Arc<RoutingView>,
    pub(crate) permit: RequestPermit<B>,
}

/// A request's share of the node's in-flight limit and concurrency limit,
/// released on drop.
pub(crate) struct RequestPermit<B: Backend> {
    _in_flight: InFlightGuard,
    _admission: AdmissionPermit<B::Clock>,
}

impl<B: Backend> Router<B> {
    /// Creates a router from its parts.
    #[must_use]
    pub fn new(parts: RouterParts<B>) -> Self {
        let in_flight = InFlight::new();
        let billing = Billing::new(
            parts.ledger.clone(),
            parts.clock.clone(),
            in_flight.clone(),
            parts.settings.bill_wait_ms,
        );
        let capacity = u32::try_from(parts.settings.max_in_flight).unwrap_or(u32::MAX);
        Self {
            admission: AdmissionQueue::new(capacity, parts.clock.clone()),
            parts: Arc::new(parts),
            billing,
            in_flight,
            explanations: Explanations::new(),
        }
    }

    /// Returns the explanations of recent requests.
    #[must_use]
    pub fn explanations(&self) -> &Explanations {
        &self.explanations
    }

    /// Returns the counter of requests in flight, which includes bills that are
    /// not recorded yet.
    #[must_use]
    pub fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Returns the view of the active configuration.
    #[must_use]
    pub fn view(&self) -> Arc<RoutingView> {
        self.parts.views.borrow().clone()
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Now {
        self.parts.clock.now()
    }

    /// Authenticates a caller without admitting a request.
    ///
    /// # Errors
    ///
    /// Fails when the caller is unknown or a header is malformed.
    pub fn authenticate(&self, headers: CallerHeaders) -> Result<Caller, Refusal> {
        Caller::authenticate(headers, &self.view().table)
    }

    /// Sets the concurrency limit of the node and the number of nodes that share
    /// the rate limit of each organisation.
    ///
    /// `capacity` is clamped to `1..=max_in_flight` of the settings, `live_nodes` to
    /// at least 1.
    pub fn set_concurrency(&self, capacity: u32, live_nodes: u32) {
        let max_capacity = u32::try_from(self.parts.settings.max_in_flight).unwrap_or(u32::MAX);
        self.admission
            .set_concurrency(capacity.clamp(1, max_capacity), live_nodes.max(1));
    }

    /// Authenticates and admits a request; it queues while the node is at its
    /// concurrency limit.
    pub(crate) async fn admit(
        &self,
        headers: CallerHeaders,
        view: &RoutingView,
        class: Option<Class>,
        now: Now,
    ) -> Result<AdmittedRequest<B>, Refusal> {
        self.check_serving(now)?;
        let caller = Caller::authenticate(headers, &view.table)?;
        self.admit_authenticated(caller, view, class).await
    }

    /// Refuses the request while the node accepts no new requests.
    pub(crate) fn check_serving(&self, now: Now) -> Result<(), Refusal> {
        self.parts.serving_check.check(now).map_err(|reason| {
            Refusal::not_run(
                RefusalKind::NotServing,
                reason.to_string(),
                "send the request again; the balancer will choose another node",
            )
            .retry_after_ms(self.parts.settings.retry_after_ms)
        })
    }

    /// Admits the request of an authenticated caller; it queues while the node is
    /// at its concurrency limit.
    pub(crate) async fn admit_authenticated(
        &self,
        caller: Caller,
        view: &RoutingView,
        class: Option<Class>,
    ) -> Result<AdmittedRequest<B>, Refusal> {
        let settings = &self.parts.settings;
        let in_flight_guard = self
            .in_flight
            .try_acquire(settings.max_in_flight)
            .ok_or_else(|| {
                in_flight_limit_refusal()
                    .retry_after_ms(settings.retry_after_ms)
                    .request(caller.request_id)
            })?;
        let organisation = &view.table.organisations[caller.organisation].row;
        let name = organisation.name.clone();
        let arrival = Arrival {
            organisation: name.clone(),
            weight: organisation.weight,
            limit_per_s: organisation.limit_per_s,
            class: class.or(caller.class).unwrap_or(Class::Chat),
            max_wait_ms: settings.queue_ms,
        };
        let admission = self.admission.acquire(arrival).await;
        let admission =
            admission.map_err(|refusal| admission_refusal(refusal).request(caller.request_id))?;
        // The configuration may have changed while the request was queued, and
        // keys are valid only in the table that issued them.
        let view = self.view();
        let organisation = view
            .table
            .organisation(name.as_str())
            .ok_or_else(|| organisation_removed().request(caller.request_id))?;
        Ok(AdmittedRequest {
            caller: Caller {
                organisation,
                ..caller
            },
            view,
            permit: RequestPermit {
                _in_flight: in_flight_guard,
                _admission: admission,
            },
        })
    }
}

/// Returns the refusal for a request whose organisation was removed after the
/// caller was authenticated.
pub(crate) fn organisation_removed() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotAllowed,
        "the organisation no longer exists",
        "ask your operator to set it up again",
    )
}

fn in_flight_limit_refusal() -> Refusal {
    Refusal::not_run(
        RefusalKind::Overloaded,
        "the node has too many requests and unwritten bills in hand",
        "send the request again later",
    )
}

fn admission_refusal(refusal: AdmissionRefusal) -> Refusal {
    let message = match refusal.reason {
        RefusalReason::RateLimited => "your organisation sends more requests than its limit",
        RefusalReason::WaitTooLong => "the request would wait too long",
        RefusalReason::QueueFull => "your organisation has too many requests waiting",
    };
    Refusal::not_run(
        RefusalKind::Overloaded,
        message,
        "send the request again after the time given",
    )
    .retry_after_ms(refusal.retry_after_ms)
}
