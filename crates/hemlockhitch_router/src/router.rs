//! The router: what its requests share.

use std::sync::Arc;

use hemlockhitch_model::{Clock, Now};
use tokio::sync::watch;

use crate::backend::{Backend, Gate};
use crate::billing::Billing;
use crate::caller::{Caller, CallerHeaders};
use crate::explain::Explanations;
use crate::in_flight::{InFlight, InFlightGuard};
use crate::refusal::{Refusal, RefusalKind};
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
    /// Limits.
    pub settings: RouterSettings,
}

/// Serves requests; clones share one state.
#[derive(Clone)]
pub struct Router<B: Backend> {
    pub(crate) parts: Arc<RouterParts<B>>,
    pub(crate) billing: Billing<B>,
    in_flight: InFlight,
    explanations: Explanations,
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
        Self {
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

    /// Admits a request to the node, or refuses it at once.
    pub(crate) fn admit(
        &self,
        headers: CallerHeaders,
        view: &View,
        now: Now,
    ) -> Result<(Caller, InFlightGuard), Refusal> {
        let settings = &self.parts.settings;
        self.parts.gate.check(now).map_err(|closed| {
            Refusal::not_run(
                RefusalKind::NotServing,
                closed.to_string(),
                "send the request again; the balancer will choose another node",
            )
            .retry_after_ms(settings.retry_after_ms)
        })?;
        let caller = Caller::authenticate(headers, &view.table)?;
        let guard = self.in_flight.enter(settings.in_flight).ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::Overloaded,
                "the node has too many requests in flight",
                "send the request again later",
            )
            .retry_after_ms(settings.retry_after_ms)
            .request(caller.request_id)
        })?;
        Ok((caller, guard))
    }
}
