//! Admission control: decides whether a request is served.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_routing::catalogue::{Catalogue, Organisation, Route};
use hemlockhitch_routing::limits::{Claim, REQUEST_BYTES};
use http::request::Parts;
use http::{Request, StatusCode, header};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use super::Gateway;
use super::body::{memory_in_use, read_body};
use super::context::{InFlightGuard, ReceivedRequest, RequestContext};
use super::pass::PassedRequest;
use super::response::Refusal;
use crate::dialect::{Dialect, RequestMetadata};
use crate::telemetry;

/// Retry-After, in milliseconds, when this node has no configuration or only a stale
/// one: another node can probably serve the request.
const RETRY_AFTER_NO_CONFIGURATION_MS: u64 = 200;

/// Retry-After, in milliseconds, when the node is at its in-flight limit or the route
/// names no service.
const RETRY_AFTER_NODE_FULL_MS: u64 = 500;

/// How long a request waits for the first configuration after the node starts: a few
/// store responses, which arrive sooner than a retry by the caller would.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(300);

/// Request timeout, in milliseconds, when the caller states none; the route's limit
/// caps it.
const DEFAULT_REQUEST_TIMEOUT_MS: u64 = 30_000;

/// Denial of a request to an unknown route.
const UNKNOWN_ROUTE: (StatusCode, &str) = (
    StatusCode::NOT_FOUND,
    "no route for this host and path; check both",
);

/// Denial of a request with an unknown API key.
const UNKNOWN_API_KEY: (StatusCode, &str) = (
    StatusCode::UNAUTHORIZED,
    "unknown API key; ask the operator for a valid one",
);

/// Result of admission control for one request.
pub(super) enum Admission<D: Dialect, C: Clock> {
    Admitted(Box<RequestContext<D, C>>),
    Refused(Refusal),
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    pub(super) async fn admit(
        &self,
        request: Request<Incoming>,
        passed: Option<PassedRequest>,
    ) -> Admission<D, C> {
        let received_at = self.node_context.now();
        let started = Instant::now();
        let (head, body) = request.into_parts();
        let mut metadata = self.node_context.dialect().parse_request(&head.headers);
        if let Some(passed) = passed {
            metadata.timeout_ms = Some(passed.remaining_ms);
            metadata.last_event_id = passed.last_event_id;
        }
        let catalogue = self.catalogue().await;
        let limits = catalogue
            .as_ref()
            .map(|catalogue| catalogue.caller_limits());
        let timeout_ms = metadata.timeout_ms.unwrap_or(DEFAULT_REQUEST_TIMEOUT_MS);
        let body_deadline = started + Duration::from_millis(timeout_ms);
        let mut reservation = self.node_context.memory().reservation(Claim::Request);
        let body = if reservation.grow_to(REQUEST_BYTES) {
            let max_body_bytes = limits.unwrap_or_default().max_body_bytes;
            read_body(&self.node_context, body, max_body_bytes, body_deadline).await
        } else {
            Err(memory_in_use())
        };
        let admitted = body.and_then(|body| {
            let catalogue = catalogue.ok_or_else(no_configuration)?;
            let route = find_route(&catalogue, &head).ok_or_else(|| self.deny(UNKNOWN_ROUTE))?;
            let organisation = self.authenticate(&catalogue, &route, &metadata)?;
            let timeout_ms = timeout_ms.min(route.timeout_ms);
            let received = ReceivedRequest {
                deadline: started + Duration::from_millis(timeout_ms),
                metadata: metadata.clone(),
                head,
                body,
                received_at,
                timeout_ms,
                passed,
                reservation,
            };
            self.accept(received, route, organisation)
        });
        match admitted {
            Ok(ctx) => Admission::Admitted(Box::new(ctx)),
            Err(refusal) => {
                let status = refusal.status().as_u16();
                let reason = refusal.message();
                tracing::info!(
                    event = "HH1220",
                    request = metadata.request_id,
                    status,
                    reason,
                    "request refused"
                );
                telemetry::count_refused(reason);
                Admission::Refused(refusal)
            }
        }
    }

    /// Returns the current configuration; just after start-up, waits a moment for the
    /// first one.
    async fn catalogue(&self) -> Option<Arc<Catalogue>> {
        let known = self.node_context.state().catalogue.clone();
        if known.is_some() {
            return known;
        }
        let mut positions = self.node_context.positions();
        let first = positions.wait_for(|position| position.revision > 0);
        // The state is read below whether or not the wait succeeded.
        let _ = timeout(FIRST_CONFIGURATION_TIMEOUT, first).await;
        self.node_context.state().catalogue.clone()
    }

    fn authenticate(
        &self,
        catalogue: &Catalogue,
        route: &Route,
        metadata: &RequestMetadata,
    ) -> Result<Option<Arc<Organisation>>, Refusal> {
        let organisation = metadata
            .api_key
            .as_deref()
            .and_then(|api_key| catalogue.find_organisation(api_key));
        if route.public {
            return Ok(organisation.cloned());
        }
        if !self.is_fresh(self.node_context.settings().max_configuration_age_ms) {
            let message = "configuration is too old to check API keys; use another node";
            return Err(Refusal::not_run(message, RETRY_AFTER_NO_CONFIGURATION_MS));
        }
        let organisation = organisation.ok_or_else(|| self.deny(UNKNOWN_API_KEY))?;
        Ok(Some(Arc::clone(organisation)))
    }

    /// Returns the denial of a request that the configuration does not allow. A copy that may
    /// be outdated proves nothing: what it lacks may have been added since.
    fn deny(&self, (status, message): (StatusCode, &'static str)) -> Refusal {
        if self.is_fresh(self.node_context.settings().max_denial_age_ms) {
            Refusal::new(status, message)
        } else {
            let message = "configuration is too old to deny a request; use another node";
            Refusal::not_run(message, RETRY_AFTER_NO_CONFIGURATION_MS)
        }
    }

    fn is_fresh(&self, max_age_ms: u64) -> bool {
        let now = self.node_context.now();
        self.node_context
            .state()
            .freshness
            .is_fresh(max_age_ms, now)
    }

    fn accept(
        &self,
        received: ReceivedRequest,
        route: Arc<Route>,
        organisation: Option<Arc<Organisation>>,
    ) -> Result<RequestContext<D, C>, Refusal> {
        let draw = hemlockhitch_routing::hash_bytes(&received.metadata.request_id);
        let service = route.choose_service(draw).cloned().ok_or_else(|| {
            let message = "the route names no service; ask the operator";
            Refusal::not_run(message, RETRY_AFTER_NODE_FULL_MS)
        })?;
        let in_flight_guard = InFlightGuard::acquire(&self.node_context).ok_or_else(|| {
            Refusal::not_run(
                "the node is full; come back later",
                RETRY_AFTER_NODE_FULL_MS,
            )
        })?;
        let mut ctx = RequestContext::new(received, route, organisation, service, in_flight_guard);
        let route_hash = hemlockhitch_routing::hash_bytes(&ctx.route.name);
        let memory = self.node_context.memory();
        if !memory.admits(route_hash, ctx.organisation_hash()) {
            return Err(memory_in_use());
        }
        if self.is_blocked(&ctx) {
            let message = "endpoints crashed under this request; do not send it again";
            return Err(Refusal::new(StatusCode::BAD_GATEWAY, message));
        }
        self.apply_share(&mut ctx)?;
        Ok(ctx)
    }
}

fn no_configuration() -> Refusal {
    let message = "the node knows no configuration yet; use another node";
    Refusal::not_run(message, RETRY_AFTER_NO_CONFIGURATION_MS)
}

fn find_route(catalogue: &Catalogue, head: &Parts) -> Option<Arc<Route>> {
    let host_header = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(host_header).unwrap_or_default();
    catalogue.find_route(host, head.uri.path()).cloned()
}
