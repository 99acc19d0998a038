//! Dispatch of a chat completion to an endpoint.

use hemlockhitch_config::table::EndpointEntry;
use hemlockhitch_endpoint::engine::{Engine, EngineError, EngineErrorKind, EngineRequest};
use hemlockhitch_model::{EndpointKey, EndpointName, Now};
use hemlockhitch_peer::slots::SlotReport;
use hemlockhitch_policy::endpoint::{Placement, order_endpoints};

use super::plan::Plan;
use crate::backend::Backend;
use crate::endpoint_slot::EndpointSlot;
use crate::router::Router;
use crate::view::RoutingView;

/// Expected duration of a chat completion, used to choose an endpoint.
const EXPECTED_CHAT_MS: u64 = 10_000;

/// A completion that is running at an endpoint.
pub(crate) struct Dispatch<B: Backend> {
    pub(crate) endpoint: EndpointName,
    pub(crate) answer: <B::Engine as Engine>::Answer,
    slot: EndpointSlot<B>,
}

/// Why a dispatch did not start.
#[derive(Clone, Debug)]
pub(crate) enum DispatchError {
    /// No reachable endpoint accepts requests for the version.
    NoEndpoint,
    /// An endpoint had no free slot or refused the request for lack of capacity, and
    /// none accepted it.
    Full,
    /// The engine rejected the request as invalid.
    BadRequest(EngineError),
    /// The engine failed after the request was sent, so it may have run.
    Failed {
        /// The endpoint that failed.
        endpoint: EndpointName,
        /// Whether the failure may be a crash of the endpoint.
        may_have_crashed: bool,
    },
}

impl<B: Backend> Dispatch<B> {
    /// Ends the dispatch and releases its slot.
    pub(crate) fn finish(self, report: SlotReport, now: Now) {
        self.slot.finish(report, now);
    }
}

/// Starts the completion at the first endpoint that accepts it, best candidate
/// first.
pub(crate) async fn dispatch<B: Backend>(
    router: &Router<B>,
    plan: &Plan,
    offset_tokens: u32,
    excluded: &[EndpointName],
) -> Result<Dispatch<B>, DispatchError> {
    let view = router.view();
    let candidates = ordered_candidates(&view, plan, excluded, router.now());
    if candidates.is_empty() {
        return Err(DispatchError::NoEndpoint);
    }
    let mut last_error = DispatchError::NoEndpoint;
    for endpoint in candidates
        .into_iter()
        .take(router.parts.settings.max_slot_attempts)
    {
        match try_endpoint(router, &view, plan, endpoint, offset_tokens).await? {
            DispatchAttempt::Started(dispatch) => return Ok(dispatch),
            DispatchAttempt::Full => last_error = DispatchError::Full,
            DispatchAttempt::Unreachable => {}
        }
    }
    Err(last_error)
}

fn ordered_candidates(
    view: &RoutingView,
    plan: &Plan,
    excluded: &[EndpointName],
    now: Now,
) -> Vec<EndpointKey> {
    let Some(version) = view.table.version(plan.version_name.as_str()) else {
        return Vec::new();
    };
    let eligible: Vec<EndpointKey> = view.table.versions[version]
        .endpoints
        .iter()
        .copied()
        .filter(|key| !excluded.contains(&view.table.endpoints[*key].row.name))
        .collect();
    let placement = Placement {
        local_data_centre: view.local_data_centre,
        prefix_hash: plan.fingerprint.0,
        expected_ms: EXPECTED_CHAT_MS,
    };
    order_endpoints(
        &view.table,
        &eligible,
        |key| view.state(key).load(),
        placement,
        now,
    )
}

/// Outcome of a dispatch to one endpoint.
enum DispatchAttempt<B: Backend> {
    /// The completion is running.
    Started(Dispatch<B>),
    /// The endpoint has no free slot or capacity; the completion did not run.
    Full,
    /// The endpoint is unreachable; the completion did not run.
    Unreachable,
}

/// Acquires a slot at one endpoint and starts the completion there.
async fn try_endpoint<B: Backend>(
    router: &Router<B>,
    view: &RoutingView,
    plan: &Plan,
    endpoint: EndpointKey,
    offset_tokens: u32,
) -> Result<DispatchAttempt<B>, DispatchError> {
    let Some(slot) = EndpointSlot::acquire(router, view, endpoint).await else {
        return Ok(DispatchAttempt::Full);
    };
    let entry = &view.table.endpoints[endpoint];
    let request = engine_request(plan, offset_tokens);
    let answer = router.parts.engine.complete(&entry.row.address, request);
    match answer.await {
        Ok(answer) => Ok(DispatchAttempt::Started(Dispatch {
            endpoint: entry.row.name.clone(),
            answer,
            slot,
        })),
        Err(error) => handle_engine_error(slot, entry, error, router.now()),
    }
}

fn handle_engine_error<B: Backend>(
    slot: EndpointSlot<B>,
    entry: &EndpointEntry,
    error: EngineError,
    now: Now,
) -> Result<DispatchAttempt<B>, DispatchError> {
    let endpoint = entry.row.name.clone();
    tracing::info!(event = "HH0702", %endpoint, %error, "dispatch failed");
    match error.kind() {
        EngineErrorKind::BadRequest => {
            drop(slot);
            Err(DispatchError::BadRequest(error))
        }
        EngineErrorKind::Refused => {
            slot.finish(SlotReport::Refused, now);
            Ok(DispatchAttempt::Full)
        }
        EngineErrorKind::Unreachable => {
            slot.finish(SlotReport::Failed, now);
            Ok(DispatchAttempt::Unreachable)
        }
        kind => {
            slot.finish(SlotReport::Failed, now);
            let may_have_crashed = kind == EngineErrorKind::Broken;
            Err(DispatchError::Failed {
                endpoint,
                may_have_crashed,
            })
        }
    }
}

fn engine_request(plan: &Plan, offset_tokens: u32) -> EngineRequest {
    EngineRequest {
        request_id: plan.request_id,
        version: plan.version_name.clone(),
        class: plan.class,
        body: plan.body.clone(),
        resume_offset_tokens: offset_tokens,
    }
}
