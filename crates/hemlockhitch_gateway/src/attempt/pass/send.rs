//! Passes requests to other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hemlockhitch_model::Clock;
use hemlockhitch_routing::reach::{MAX_HELPERS_PER_REQUEST, SILENCE_MS};
use hemlockhitch_routing::retry::Seen;
use hemlockhitch_routing::{hash_bytes, mix};
use http::header::HeaderMap;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::sleep;

use super::message::{LEAVING, NOT_TAKEN, PASS_ID, PassedRequest, take_number};
use crate::attempt::Gateway;
use crate::attempt::answer::{HeldBody, RelayedAnswer};
use crate::attempt::context::{AttemptHistory, RequestContext};
use crate::attempt::headers::strip_hop_by_hop_headers;
use crate::attempt::outcome::RequestFailure;
use crate::attempt::send::{AttemptFailure, BufferedResponse, OpenedResponse};
use crate::connection::{Connection, Remote, SendError};
use crate::dialect::Dialect;
use crate::telemetry;

impl<D: Dialect, C: Clock> Gateway<D, C> {
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

    /// Passes the request to a helper, if it was not passed before. Returns `None` if the
    /// helper failed and the request may be sent again.
    pub(in super::super) async fn pass_once(
        &self,
        ctx: &RequestContext<D, C>,
        history: &mut AttemptHistory,
    ) -> Result<Option<OpenedResponse<D, C>>, RequestFailure> {
        if ctx.passed.is_some() {
            return Err(self.no_endpoint_available(ctx, history));
        }
        match self.pass(ctx, history).await {
            Ok(response) => Ok(Some(response)),
            Err(failure) if failure.seen == Seen::NotSent => {
                Err(self.no_endpoint_available(ctx, history))
            }
            Err(failure) => {
                history.end_attempt(failure.seen);
                self.continue_after_failure(ctx, history, failure)?;
                Ok(None)
            }
        }
    }

    /// Passes the request to other nodes until one takes it.
    async fn pass(
        &self,
        ctx: &RequestContext<D, C>,
        history: &mut AttemptHistory,
    ) -> Result<OpenedResponse<D, C>, AttemptFailure> {
        for draw in 0..MAX_HELPERS_PER_REQUEST {
            let Some(helper) = self.select_helper(ctx, draw as u64) else {
                break;
            };
            let pass_id = fastrand::u64(..);
            let Some(request) = self.build_passed_request(ctx, history, pass_id) else {
                break;
            };
            telemetry::count_pass();
            history.start_attempt();
            let mut sent = self.send_to_helper(helper, request, pass_id).await;
            if let Ok((response, _)) = &mut sent
                && !self.belongs_to_pass(ctx, response, pass_id)
            {
                let request = &ctx.metadata.request_id;
                tracing::info!(event = "HH1277", request, %helper, "node sent the response to another request");
                self.record_helper(ctx, helper, false);
                return Err(Seen::Spoilt.into());
            }
            match sent {
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

    /// Returns whether a helper's response is the one to this sending. A node of a build that
    /// does not repeat the number relays the endpoint's response with the request's id.
    fn belongs_to_pass(
        &self,
        ctx: &RequestContext<D, C>,
        response: &mut Response<Incoming>,
        pass_id: u64,
    ) -> bool {
        if response.headers().contains_key(PASS_ID) {
            return take_number(response.headers_mut(), &PASS_ID) == Some(pass_id);
        }
        let status = response.status();
        let dialect = self.node_context.dialect();
        match dialect
            .parse_response(status, response.headers())
            .request_id
        {
            Some(request_id) => request_id == ctx.metadata.request_id,
            // A refusal by the node itself.
            None => !status.is_success(),
        }
    }

    /// Sends a request to a helper; fails as well if the helper stops taking connections
    /// before its response begins.
    async fn send_to_helper(
        &self,
        helper: SocketAddr,
        request: Request<Full<Bytes>>,
        pass_id: u64,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        let pool = self.node_context.connection_pool();
        let sending = pool.send(Remote::Node(helper), helper, request, pass_id);
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
        pass_id: u64,
    ) -> Option<Request<Full<Bytes>>> {
        let mut headers = ctx.head.headers.clone();
        strip_hop_by_hop_headers(&mut headers);
        let passed = PassedRequest {
            remaining_ms: ctx.remaining_ms(self.node_context.now()),
            attempts: history.sent,
            model_size: history.model_size,
            configuration_version: self.configuration_version(),
            last_event_id: history.last_event_id,
            pass_id: Some(pass_id),
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
            let stream = self.open_stream(ctx, None, response, connection, None);
            return Ok(OpenedResponse::Stream(Box::new(stream)));
        }
        let (head, body) = response.into_parts();
        let body = match self.hold_body(ctx, body, head.status.is_success()).await {
            Ok(HeldBody::Whole(body)) => body,
            Ok(HeldBody::Start(body)) => {
                return Ok(OpenedResponse::Relayed(Box::new(RelayedAnswer {
                    slot: None,
                    head: Response::from_parts(head, ()),
                    body: *body,
                    connection,
                    keepalive_ms: None,
                })));
            }
            Err(_) => return Err(Seen::Broken.into()),
        };
        self.node_context
            .connection_pool()
            .release(connection, None);
        Ok(OpenedResponse::Buffered(BufferedResponse {
            head: Response::from_parts(head, ()),
            body,
        }))
    }
}
