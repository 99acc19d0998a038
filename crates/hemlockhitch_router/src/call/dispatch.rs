//! Dispatch of service calls to endpoints.

use hemlockhitch_endpoint::service::{Service, ServiceAnswer, ServiceError};
use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_model::{EndpointKey, EndpointName};
use hemlockhitch_peer::slots::SlotReport;
use hemlockhitch_policy::endpoint::{Placement, order_endpoints};

use super::PlannedCall;
use crate::backend::Backend;
use crate::endpoint_slot::EndpointSlot;
use crate::refusal::{Refusal, RefusalKind};
use crate::router::Router;
use crate::view::RoutingView;

/// Expected duration of a service call, used to choose an endpoint.
const EXPECTED_CALL_MS: u64 = 500;

/// An endpoint with a slot for one service call.
pub(super) struct Target<B: Backend> {
    pub(super) endpoint: EndpointKey,
    pub(super) slot: EndpointSlot<B>,
}

/// Acquires a slot at the first endpoint of the service that grants one, best
/// candidate first.
pub(super) async fn acquire_slot<B: Backend>(
    router: &Router<B>,
    view: &RoutingView,
    planned: &PlannedCall,
    excluded: &[EndpointKey],
) -> Result<Target<B>, Refusal> {
    router.check_serving(router.now())?;
    let eligible: Vec<EndpointKey> = view.table.services[planned.service]
        .endpoints
        .iter()
        .copied()
        .filter(|key| !excluded.contains(key))
        .collect();
    let placement = Placement {
        local_data_centre: view.local_data_centre,
        prefix_hash: 0,
        expected_ms: EXPECTED_CALL_MS,
    };
    let load = |key| view.state(key).load();
    let candidates = order_endpoints(&view.table, &eligible, load, placement, router.now());
    for endpoint in candidates
        .into_iter()
        .take(router.parts.settings.max_slot_attempts)
    {
        if let Some(slot) = EndpointSlot::acquire(router, view, endpoint).await {
            return Ok(Target { endpoint, slot });
        }
    }
    Err(Refusal::not_run(
        RefusalKind::NoEndpoint,
        "no endpoint of the service takes calls now",
        "send the call again later",
    )
    .retry_after_ms(router.parts.settings.retry_after_ms))
}

/// Sends the call to the target endpoint and releases the slot.
pub(super) async fn send<B: Backend>(
    router: &Router<B>,
    view: &RoutingView,
    planned: &PlannedCall,
    target: Target<B>,
) -> Result<ServiceAnswer, ServiceError> {
    let address = &view.table.endpoints[target.endpoint].row.address;
    let started = router.now();
    let answer = router
        .parts
        .service
        .call(address, planned.request.clone())
        .await;
    let now = router.now();
    let report = match &answer {
        Ok(_) => SlotReport::Served {
            first_token_ms: now.mono_ms - started.mono_ms,
        },
        Err(_) => SlotReport::Failed,
    };
    target.slot.finish(report, now);
    answer
}

/// Runs an idempotent call; retries it at another endpoint after a failure.
pub(super) async fn run_idempotent<B: Backend>(
    router: &Router<B>,
    view: &RoutingView,
    planned: &PlannedCall,
) -> Result<ServiceAnswer, Refusal> {
    let mut excluded = Vec::new();
    let mut may_have_run = false;
    while excluded.len() < router.parts.settings.max_dispatches {
        let target = match acquire_slot(router, view, planned, &excluded).await {
            Ok(target) => target,
            Err(refusal) => {
                let not_run = !may_have_run;
                return Err(Refusal { not_run, ..refusal });
            }
        };
        let endpoint = target.endpoint;
        match send(router, view, planned, target).await {
            Ok(answer) => {
                let bill = build_bill(router, view, planned, endpoint);
                router.billing.deliver(bill).await;
                return Ok(answer);
            }
            Err(error @ ServiceError::Invalid { .. }) => return Err(invalid_call_refusal(&error)),
            Err(error) => {
                may_have_run |= !error.not_run();
                tracing::info!(event = "HH0704", request = %planned.caller.request_id, %error, "call failed");
                excluded.push(endpoint);
            }
        }
    }
    Err(Refusal {
        not_run: !may_have_run,
        ..Refusal::may_have_run(
            RefusalKind::EndpointFailed,
            "the endpoints of the service failed",
            "send the call again",
        )
    })
}

/// Returns the refusal for a call that cannot be encoded as HTTP.
pub(super) fn invalid_call_refusal(error: &ServiceError) -> Refusal {
    Refusal::not_run(
        RefusalKind::BadRequest,
        error.to_string(),
        "correct the call",
    )
}

/// Builds the bill of a call; service calls have no token cost.
pub(super) fn build_bill<B: Backend>(
    router: &Router<B>,
    view: &RoutingView,
    planned: &PlannedCall,
    endpoint: EndpointKey,
) -> Bill {
    let organisation = &view.table.organisations[planned.caller.organisation];
    Bill {
        request_id: planned.caller.request_id,
        organisation: organisation.row.name.clone(),
        class: planned.call.class,
        ran_on: view.table.services[planned.service].name.to_string(),
        endpoint: endpoint_name(view, endpoint),
        prompt_tokens: 0,
        completion_tokens: 0,
        cost_micros: 0,
        at_unix_ms: router.now().unix_ms,
    }
}

fn endpoint_name(view: &RoutingView, endpoint: EndpointKey) -> EndpointName {
    view.table.endpoints[endpoint].row.name.clone()
}
