//! Dispatches of plain calls.

use hemlockhitch_endpoint::service::{Service, ServiceAnswer, ServiceError};
use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_model::{EndpointKey, EndpointName};
use hemlockhitch_peer::slots::SlotReport;
use hemlockhitch_policy::endpoint::{Placement, order_endpoints};

use super::Planned;
use crate::backend::Backend;
use crate::place::Place;
use crate::refusal::{Refusal, RefusalKind};
use crate::router::Router;
use crate::view::View;

/// How long a plain call is expected to run, in milliseconds.
const EXPECTED_CALL_MS: u64 = 500;

/// A place at an endpoint for one plain call.
pub(super) struct Target<B: Backend> {
    pub(super) endpoint: EndpointKey,
    pub(super) place: Place<B>,
}

/// Takes a place at the best endpoint of the service that has one.
pub(super) async fn take_place<B: Backend>(
    router: &Router<B>,
    view: &View,
    planned: &Planned,
    avoided: &[EndpointKey],
) -> Result<Target<B>, Refusal> {
    router.check_gate(router.now())?;
    let usable: Vec<EndpointKey> = view.table.services[planned.service]
        .endpoints
        .iter()
        .copied()
        .filter(|key| !avoided.contains(key))
        .collect();
    let placement = Placement {
        home: view.home,
        prefix_hash: 0,
        expected_ms: EXPECTED_CALL_MS,
    };
    let load = |key| view.state(key).load();
    let order = order_endpoints(&view.table, &usable, load, placement, router.now());
    for endpoint in order.into_iter().take(router.parts.settings.slot_tries) {
        if let Some(place) = Place::take(router, view, endpoint).await {
            return Ok(Target { endpoint, place });
        }
    }
    Err(Refusal::not_run(
        RefusalKind::NoEndpoint,
        "no endpoint of the service takes calls now",
        "send the call again later",
    )
    .retry_after_ms(router.parts.settings.retry_after_ms))
}

/// Sends the call to the target's endpoint.
pub(super) async fn send<B: Backend>(
    router: &Router<B>,
    view: &View,
    planned: &Planned,
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
    target.place.finish(report, now);
    answer
}

/// Runs an idempotent call, at another endpoint after a failure.
pub(super) async fn run_idempotent<B: Backend>(
    router: &Router<B>,
    view: &View,
    planned: &Planned,
) -> Result<ServiceAnswer, Refusal> {
    let mut avoided = Vec::new();
    let mut may_have_run = false;
    while avoided.len() < router.parts.settings.dispatches {
        let target = match take_place(router, view, planned, &avoided).await {
            Ok(target) => target,
            Err(refusal) => {
                let not_run = !may_have_run;
                return Err(Refusal { not_run, ..refusal });
            }
        };
        let endpoint = target.endpoint;
        match send(router, view, planned, target).await {
            Ok(answer) => {
                let bill = bill(router, view, planned, endpoint);
                router.billing.deliver(bill).await;
                return Ok(answer);
            }
            Err(error @ ServiceError::Invalid { .. }) => return Err(invalid(&error)),
            Err(error) => {
                may_have_run |= !error.not_run();
                tracing::info!(event = "HH0704", request = %planned.caller.request_id, %error, "call failed");
                avoided.push(endpoint);
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

/// Refuses a call that cannot be written as HTTP.
pub(super) fn invalid(error: &ServiceError) -> Refusal {
    Refusal::not_run(
        RefusalKind::BadRequest,
        error.to_string(),
        "correct the call",
    )
}

/// Builds the bill of a call.
pub(super) fn bill<B: Backend>(
    router: &Router<B>,
    view: &View,
    planned: &Planned,
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

fn endpoint_name(view: &View, endpoint: EndpointKey) -> EndpointName {
    view.table.endpoints[endpoint].row.name.clone()
}
