//! Passes requests to another node while this one can send them to no endpoint, and serves
//! those that other nodes pass.
//!
//! A request is passed once: the helper tries endpoints itself, within the limits that are
//! left, and its response is relayed as an endpoint's would be.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_routing::reach::{MAX_HELPERS_PER_REQUEST, SILENCE_MS};
use hemlockhitch_routing::retry::Seen;
use hemlockhitch_routing::{hash_bytes, mix};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::sleep;

use super::Gateway;
use super::context::{AttemptHistory, RequestContext};
use super::headers::strip_hop_by_hop_headers;
use super::response::{Refusal, ResponseBody};
use super::send::{AttemptFailure, BufferedResponse, MAX_RESPONSE_BYTES, OpenedResponse};
use super::stream::OpenStream;
use crate::connection::{Connection, Remote, SendError};
use crate::dialect::Dialect;
use crate::telemetry;

/// Time that the helper has for the request, in milliseconds.
const REMAINING_MS: HeaderName = HeaderName::from_static("x-pass-remaining-ms");

/// Number of attempts that were made before.
const ATTEMPTS: HeaderName = HeaderName::from_static("x-pass-attempts");

/// Index into the route's model sizes for the next attempt.
const MODEL_SIZE: HeaderName = HeaderName::from_static("x-pass-model-size");

/// Version of the configuration that the passing node knows.
const CONFIGURATION_VERSION: HeaderName = HeaderName::from_static("x-pass-configuration-version");

/// Id of the last event that the caller has.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("x-pass-last-event-id");

/// Set in a response if the request was sent to no endpoint, so that another helper may
/// take it.
const NOT_TAKEN: HeaderName = HeaderName::from_static("x-pass-not-taken");

/// Hashes of the endpoint instances that the helper knows to be leaving, in hexadecimal and
/// separated by commas.
const LEAVING: HeaderName = HeaderName::from_static("x-pass-leaving");

/// Number of leaving instances that a response names; the feed carries the others.
const MAX_NAMED_LEAVING: usize = 32;

/// What is left of a request that another node passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PassedRequest {
    /// Time left for the request, in milliseconds.
    pub(super) remaining_ms: u64,
    /// Number of attempts that were made before.
    pub(super) attempts: u32,
    /// Index into the route's model sizes for the next attempt.
    pub(super) model_size: usize,
    /// Version of the configuration that the passing node knows.
    configuration_version: u64,
    /// Id of the last event that the caller has.
    pub(super) last_event_id: Option<u64>,
}

impl PassedRequest {
    /// Removes and returns what the headers of a passed request state.
    fn take(headers: &mut HeaderMap) -> Option<Self> {
        Some(Self {
            remaining_ms: take_number(headers, &REMAINING_MS)?,
            attempts: u32::try_from(take_number(headers, &ATTEMPTS)?).ok()?,
            model_size: usize::try_from(take_number(headers, &MODEL_SIZE)?).ok()?,
            configuration_version: take_number(headers, &CONFIGURATION_VERSION)?,
            last_event_id: take_number(headers, &LAST_EVENT_ID),
        })
    }

    fn write(self, headers: &mut HeaderMap) {
        headers.insert(REMAINING_MS, HeaderValue::from(self.remaining_ms));
        headers.insert(ATTEMPTS, HeaderValue::from(self.attempts));
        headers.insert(MODEL_SIZE, HeaderValue::from(self.model_size));
        let version = HeaderValue::from(self.configuration_version);
        headers.insert(CONFIGURATION_VERSION, version);
        headers.remove(LAST_EVENT_ID);
        if let Some(last_event_id) = self.last_event_id {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(last_event_id));
        }
    }
}

fn take_number(headers: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Handles a request that another node passes. `takes_requests` is whether this node
    /// serves callers.
    pub(crate) async fn handle_passed(
        &self,
        mut request: Request<Incoming>,
        takes_requests: bool,
    ) -> Response<ResponseBody> {
        let Some(passed) = PassedRequest::take(request.headers_mut()) else {
            let message = "not a request of another node; use the address for callers";
            return Refusal::new(StatusCode::BAD_REQUEST, message).into_response();
        };
        if !takes_requests || self.configuration_version() < passed.configuration_version {
            return not_taken("the node cannot take the request; pass it to another one");
        }
        let admission = self.admit(request, Some(passed)).await;
        let mut response = self.handle_admitted(admission).await;
        self.name_leaving(response.headers_mut());
        response
    }

    /// Names the leaving endpoints, since the node that relays the response of one is bound
    /// by what it states.
    fn name_leaving(&self, headers: &mut HeaderMap) {
        let leaving = self.node_context.leaving();
        let hashes = leaving.iter().take(MAX_NAMED_LEAVING);
        let hashes: Vec<String> = hashes.map(|hash| format!("{hash:x}")).collect();
        if let Ok(value) = HeaderValue::from_str(&hashes.join(","))
            && !hashes.is_empty()
        {
            headers.insert(LEAVING, value);
        }
    }

    /// Removes what a helper's response states about leaving endpoints, and records it.
    fn take_leaving(&self, headers: &mut HeaderMap) {
        let Some(value) = headers.remove(LEAVING) else {
            return;
        };
        let hashes = value.to_str().unwrap_or_default().split(',');
        let hashes = hashes.filter_map(|hash| u64::from_str_radix(hash, 16).ok());
        let hashes: Vec<u64> = hashes.collect();
        self.node_context.merge_leaving(&hashes);
        tracing::info!(
            event = "HH1248",
            endpoints = hashes.len(),
            "helper names leaving endpoints"
        );
    }

    /// Passes the request to other nodes until one takes it.
    pub(super) async fn pass(
        &self,
        ctx: &RequestContext<D, C>,
        history: &mut AttemptHistory,
    ) -> Result<OpenedResponse<D, C>, AttemptFailure> {
        for draw in 0..MAX_HELPERS_PER_REQUEST {
            let Some(helper) = self.select_helper(ctx, draw as u64) else {
                break;
            };
            let Some(request) = self.build_passed_request(ctx, history) else {
                break;
            };
            telemetry::count_pass();
            history.start_attempt();
            match self.send_to_helper(helper, request).await {
                Ok((response, _)) if response.headers().contains_key(NOT_TAKEN) => {
                    history.withdraw_attempt();
                }
                Ok((mut response, connection)) => {
                    self.take_leaving(response.headers_mut());
                    self.record_helper(ctx, helper, true);
                    let result = self.read_passed_response(ctx, response, connection).await;
                    history.in_progress = false;
                    return result;
                }
                Err(SendError::NotSent) => history.withdraw_attempt(),
                Err(SendError::Broken) => {
                    self.record_helper(ctx, helper, false);
                    return Err(Seen::Broken.into());
                }
            }
            self.record_helper(ctx, helper, false);
        }
        Err(Seen::NotSent.into())
    }

    /// Returns the version of the configuration that this node knows; 0 while there is none.
    fn configuration_version(&self) -> u64 {
        let state = self.node_context.state();
        let catalogue = state.catalogue.as_ref();
        catalogue.map_or(0, |catalogue| catalogue.version())
    }

    /// Sends a request to a helper; fails as well if the helper stops taking connections
    /// before its response begins.
    async fn send_to_helper(
        &self,
        helper: SocketAddr,
        request: Request<Full<bytes::Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let pool = self.node_context.connection_pool();
        let sending = pool.send(Remote::Node(helper), helper, request);
        let lost = async {
            loop {
                sleep(Duration::from_millis(SILENCE_MS)).await;
                if !pool.is_node_listening(helper).await {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            sent = sending => sent,
            () = lost => Err(SendError::Broken),
        }
    }

    fn select_helper(&self, ctx: &RequestContext<D, C>, draw: u64) -> Option<SocketAddr> {
        let now = self.node_context.now();
        let own = self.node_context.settings().followable();
        let is_first = draw == 0;
        let draw = mix(hash_bytes(&ctx.metadata.request_id), draw);
        let state = self.node_context.state();
        let nodes = state.followable();
        let helper = state
            .helpers
            .select(own, nodes, &ctx.service, draw, is_first, now)?;
        helper.address.parse().ok()
    }

    fn record_helper(&self, ctx: &RequestContext<D, C>, helper: SocketAddr, has_taken: bool) {
        let now = self.node_context.now();
        let mut state = self.node_context.state();
        let state = &mut *state;
        let address = helper.to_string();
        let helpers = &mut state.helpers;
        let nodes = state.nodes.iter();
        let mut nodes = nodes.filter_map(|(name, record)| record.followable(name));
        if let Some(node) = nodes.find(|node| node.address == address) {
            helpers.record(node, &ctx.service, has_taken, now);
        }
        if !has_taken {
            tracing::debug!(event = "HH1246", request = ctx.metadata.request_id, %helper, "node did not take a passed request");
        }
    }

    fn build_passed_request(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
    ) -> Option<Request<Full<bytes::Bytes>>> {
        let mut headers = ctx.head.headers.clone();
        strip_hop_by_hop_headers(&mut headers);
        let passed = PassedRequest {
            remaining_ms: ctx.remaining_ms(self.node_context.now()),
            attempts: history.sent,
            model_size: history.model_size,
            configuration_version: self.configuration_version(),
            last_event_id: history.last_event_id,
        };
        passed.write(&mut headers);
        let path = ctx.head.uri.path_and_query()?.clone();
        let mut request = Request::new(Full::new(ctx.body.clone()));
        *request.method_mut() = ctx.head.method.clone();
        *request.uri_mut() = Uri::from(path);
        *request.headers_mut() = headers;
        Some(request)
    }

    async fn read_passed_response(
        &self,
        ctx: &RequestContext<D, C>,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Result<OpenedResponse<D, C>, AttemptFailure> {
        if response.status().is_success() && ctx.route.kind.is_stream() {
            let stream = OpenStream::new(None, response, connection, None);
            return Ok(OpenedResponse::Stream(Box::new(stream)));
        }
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let Ok(body) = body else {
            return Err(Seen::Broken.into());
        };
        self.node_context
            .connection_pool()
            .release(connection, None);
        Ok(OpenedResponse::Buffered(BufferedResponse {
            head: Response::from_parts(head, ()),
            body: body.to_bytes(),
        }))
    }
}

/// Responds to a passed request that was sent to no endpoint.
pub(super) fn not_taken(message: &'static str) -> Response<ResponseBody> {
    mark_not_taken(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, message).into_response())
}

/// Marks the response to a passed request that was sent to no endpoint.
pub(super) fn mark_not_taken(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response
        .headers_mut()
        .insert(NOT_TAKEN, HeaderValue::from_static("1"));
    response
}
