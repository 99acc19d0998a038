//! The router: what its requests share.

use std::sync::Arc;

use hemlockhitch_model::{Class, Clock, Now};
use hemlockhitch_policy::admission::{Arrival, RefusalReason};
use tokio::sync::watch;

use crate::admission::{AdmissionQueue, Admitted, TurnedAway};
use crate::backend::{Backend, Gate};
use crate::billing::Billing;
use crate::caller::{Caller, CallerHeaders};
use crate::explain::Explanations;
use crate::in_flight::{InFlight, InFlightGuard};
use crate::refusal::{Refusal, RefusalKind};
use crate::roll_out::RollOuts;
use crate::session::SessionKey;
use crate::settings::RouterSettings;
use crate::view::View;

/// What a router is built from.
#[derive(Clone)]
pub struct RouterParts<B: Backend> {
    /// The clock.
    pub clock: B::Clock,
    /// The client of model engines.
    pub engine: B::Engine,
    /// The client of plain services.
    pub service: B::Service,
    /// The ledger.
    pub ledger: B::Ledger,
    /// The slots of endpoints.
    pub slots: B::Slots,
    /// The requests that are suspected of crashing endpoints.
    pub suspects: B::Suspects,
    /// The check whether the node may take new work.
    pub gate: B::Gate,
    /// The views of the configuration in force.
    pub views: watch::Receiver<Arc<View>>,
    /// The key of session tokens.
    pub session_key: SessionKey,
    /// The guarded roll-outs.
    pub roll_outs: RollOuts,
    /// Limits.
    pub settings: RouterSettings,
}

/// Serves requests; clones share one state.
#[derive(Clone)]
pub struct Router<B: Backend> {
    pub(crate) parts: Arc<RouterParts<B>>,
    pub(crate) billing: Billing<B>,
    in_flight: InFlight,
    admission: AdmissionQueue<B::Clock>,
    explanations: Explanations,
}

/// A request that the node has taken in.
pub(crate) struct Accepted<B: Backend> {
    pub(crate) caller: Caller,
    /// The view that the caller's keys belong to.
    pub(crate) view: Arc<View>,
    pub(crate) work: Work<B>,
}

/// The place that a request has on the node; dropping it frees the place.
pub(crate) struct Work<B: Backend> {
    _counted: InFlightGuard,
    _admitted: Admitted<B::Clock>,
}

impl<B: Backend> Router<B> {
    /// Creates a router.
    #[must_use]
    pub fn new(parts: RouterParts<B>) -> Self {
        let in_flight = InFlight::new();
        let billing = Billing::new(
            parts.ledger.clone(),
            parts.clock.clone(),
            in_flight.clone(),
            parts.settings.bill_wait_ms,
        );
        let capacity = u32::try_from(parts.settings.in_flight).unwrap_or(u32::MAX);
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

    /// Returns the count of requests in flight, unwritten bills included.
    #[must_use]
    pub fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Returns the view of the configuration in force.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.parts.views.borrow().clone()
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Now {
        self.parts.clock.now()
    }

    /// Authenticates a caller without starting work.
    ///
    /// # Errors
    ///
    /// Fails when the caller is unknown or a header is malformed.
    pub fn authenticate(&self, headers: CallerHeaders) -> Result<Caller, Refusal> {
        Caller::authenticate(headers, &self.view().table)
    }

    /// Sets how many requests run on the node at once, and over how many nodes
    /// the limits of organisations are divided.
    pub fn resize(&self, capacity: u32, live_nodes: u32) {
        let most = u32::try_from(self.parts.settings.in_flight).unwrap_or(u32::MAX);
        self.admission
            .resize(capacity.clamp(1, most), live_nodes.max(1));
    }

    /// Takes a request in, after a wait if the node is busy, or refuses it.
    pub(crate) async fn admit(
        &self,
        headers: CallerHeaders,
        view: &View,
        class: Option<Class>,
        now: Now,
    ) -> Result<Accepted<B>, Refusal> {
        self.check_gate(now)?;
        let caller = Caller::authenticate(headers, &view.table)?;
        self.take_in(caller, view, class).await
    }

    /// Refuses a request while the node takes no new work.
    pub(crate) fn check_gate(&self, now: Now) -> Result<(), Refusal> {
        self.parts.gate.check(now).map_err(|closed| {
            Refusal::not_run(
                RefusalKind::NotServing,
                closed.to_string(),
                "send the request again; the balancer will choose another node",
            )
            .retry_after_ms(self.parts.settings.retry_after_ms)
        })
    }

    /// Takes the request of an authenticated caller in, after a wait if the node
    /// is busy.
    pub(crate) async fn take_in(
        &self,
        caller: Caller,
        view: &View,
        class: Option<Class>,
    ) -> Result<Accepted<B>, Refusal> {
        let settings = &self.parts.settings;
        let counted = self.in_flight.enter(settings.in_flight).ok_or_else(|| {
            too_many()
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
            wait_limit_ms: settings.queue_ms,
        };
        let admitted = self.admission.enter(arrival).await;
        let admitted = admitted
            .map_err(|turned_away| turned_away_refusal(turned_away).request(caller.request_id))?;
        // The configuration may have changed while the request waited, and keys
        // of one table mean nothing in another.
        let view = self.view();
        let organisation = view
            .table
            .organisation(name.as_str())
            .ok_or_else(|| organisation_is_gone().request(caller.request_id))?;
        Ok(Accepted {
            caller: Caller {
                organisation,
                ..caller
            },
            view,
            work: Work {
                _counted: counted,
                _admitted: admitted,
            },
        })
    }
}

/// Refuses a request whose organisation was removed meanwhile.
pub(crate) fn organisation_is_gone() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotAllowed,
        "the organisation no longer exists",
        "ask your operator to set it up again",
    )
}

fn too_many() -> Refusal {
    Refusal::not_run(
        RefusalKind::Overloaded,
        "the node has too many requests and unwritten bills in hand",
        "send the request again later",
    )
}

fn turned_away_refusal(turned_away: TurnedAway) -> Refusal {
    let message = match turned_away.reason {
        RefusalReason::OverRate => "your organisation sends more requests than its limit",
        RefusalReason::WouldBeLate => "the request would wait too long",
        RefusalReason::QueueFull => "your organisation has too many requests waiting",
    };
    Refusal::not_run(
        RefusalKind::Overloaded,
        message,
        "send the request again after the time given",
    )
    .retry_after_ms(turned_away.retry_after_ms)
}
