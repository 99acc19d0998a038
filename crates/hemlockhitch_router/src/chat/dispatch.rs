//! One dispatch of a chat completion to an endpoint.

use hemlockhitch_config::table::EndpointEntry;
use hemlockhitch_endpoint::engine::{Engine, EngineError, EngineErrorKind, EngineRequest};
use hemlockhitch_model::{EndpointKey, EndpointName, Now};
use hemlockhitch_peer::slots::SlotReport;
use hemlockhitch_policy::endpoint::{Placement, order_endpoints};

use super::plan::Plan;
use crate::backend::Backend;
use crate::place::Place;
use crate::router::Router;
use crate::view::View;

/// How long a chat completion is expected to run, in milliseconds.
const EXPECTED_CHAT_MS: u64 = 10_000;

/// A completion that runs at an endpoint.
pub(crate) struct Dispatch<B: Backend> {
    pub(crate) endpoint: EndpointName,
    pub(crate) answer: <B::Engine as Engine>::Answer,
    place: Place<B>,
}

/// Why a dispatch could not start.
#[derive(Clone, Debug)]
pub(crate) enum NotStarted {
    /// No endpoint takes work for this version.
    NoEndpoint,
    /// Every endpoint that was asked is full.
    Full,
    /// The engine says that the request itself is at fault.
    BadRequest(EngineError),
    /// The engine failed after the request was sent.
    Broke {
        /// The endpoint that broke off.
        endpoint: EndpointName,
        /// Whether the endpoint may have crashed.
        crash: bool,
    },
}

impl<B: Backend> Dispatch<B> {
    /// Ends the dispatch and gives the slot back.
    pub(crate) fn finish(self, report: SlotReport, now: Now) {
        self.place.finish(report, now);
    }
}

/// Starts the completion at the best endpoint that takes it.
pub(crate) async fn dispatch<B: Backend>(
    router: &Router<B>,
    plan: &Plan,
    offset_tokens: u32,
    avoided: &[EndpointName],
) -> Result<Dispatch<B>, NotStarted> {
    let view = router.view();
    let order = candidates(&view, plan, avoided, router.now());
    if order.is_empty() {
        return Err(NotStarted::NoEndpoint);
    }
    let mut not_started = NotStarted::NoEndpoint;
    for endpoint in order.into_iter().take(router.parts.settings.slot_tries) {
        match try_endpoint(router, &view, plan, endpoint, offset_tokens).await? {
            Tried::Started(dispatch) => return Ok(dispatch),
            Tried::Full => not_started = NotStarted::Full,
            Tried::Unreachable => {}
        }
    }
    Err(not_started)
}

fn candidates(view: &View, plan: &Plan, avoided: &[EndpointName], now: Now) -> Vec<EndpointKey> {
    let Some(version) = view.table.version(plan.version_name.as_str()) else {
        return Vec::new();
    };
    let usable: Vec<EndpointKey> = view.table.versions[version]
        .endpoints
        .iter()
        .copied()
        .filter(|key| !avoided.contains(&view.table.endpoints[*key].row.name))
        .collect();
    let placement = Placement {
        home: view.home,
        prefix_hash: plan.fingerprint.0,
        expected_ms: EXPECTED_CHAT_MS,
    };
    order_endpoints(
        &view.table,
        &usable,
        |key| view.state(key).load(),
        placement,
        now,
    )
}

/// What came of trying one endpoint.
enum Tried<B: Backend> {
    /// The completion runs.
    Started(Dispatch<B>),
    /// The endpoint bears no more; the completion did not run.
    Full,
    /// The endpoint cannot be reached; the completion did not run.
    Unreachable,
}

/// Starts the completion at one endpoint.
async fn try_endpoint<B: Backend>(
    router: &Router<B>,
    view: &View,
    plan: &Plan,
    endpoint: EndpointKey,
    offset_tokens: u32,
) -> Result<Tried<B>, NotStarted> {
    let Some(place) = Place::take(router, view, endpoint).await else {
        return Ok(Tried::Full);
    };
    let entry = &view.table.endpoints[endpoint];
    let request = engine_request(plan, offset_tokens);
    let answer = router.parts.engine.complete(&entry.row.address, request);
    match answer.await {
        Ok(answer) => Ok(Tried::Started(Dispatch {
            endpoint: entry.row.name.clone(),
            answer,
            place,
        })),
        Err(error) => give_up(place, entry, error, router.now()),
    }
}

fn give_up<B: Backend>(
    place: Place<B>,
    entry: &EndpointEntry,
    error: EngineError,
    now: Now,
) -> Result<Tried<B>, NotStarted> {
    let endpoint = entry.row.name.clone();
    tracing::info!(event = "HH0702", %endpoint, %error, "dispatch failed");
    match error.kind() {
        EngineErrorKind::BadRequest => {
            drop(place);
            Err(NotStarted::BadRequest(error))
        }
        EngineErrorKind::Refused => {
            place.finish(SlotReport::Refused, now);
            Ok(Tried::Full)
        }
        EngineErrorKind::Unreachable => {
            place.finish(SlotReport::Failed, now);
            Ok(Tried::Unreachable)
        }
        kind => {
            place.finish(SlotReport::Failed, now);
            let crash = kind == EngineErrorKind::Broken;
            Err(NotStarted::Broke { endpoint, crash })
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
