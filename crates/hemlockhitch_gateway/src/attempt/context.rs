//! An admitted request and the attempts made for it so far.

use std::sync::Arc;

use bytes::Bytes;
use hemlockhitch_model::{Clock, EndpointKey, Now, ServiceName};
use hemlockhitch_routing::catalogue::{Organisation, Route};
use hemlockhitch_routing::crash_tracker::RequestTraits;
use hemlockhitch_routing::retry::{AttemptSummary, Seen};
use hemlockhitch_routing::shares::Standing;
use hemlockhitch_routing::{hash_bytes, mix};
use http::request::Parts;
use tokio::time::Instant;

use super::pass::PassedRequest;
use crate::dialect::{Dialect, RequestMetadata};
use crate::state::NodeContext;

/// Number of unreachable endpoints after which a request fails.
const MAX_UNREACHABLE_ENDPOINTS: u32 = 4;

/// Fixed cost of a response in addition to its prompt, as the number of prompt tokens
/// that take as long.
const FIXED_COST_TOKENS: u64 = 3_000;

/// An admitted request with its route, deadline and in-flight guard.
#[derive(Debug)]
pub(super) struct RequestContext<D: Dialect, C: Clock> {
    pub(super) metadata: RequestMetadata,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) route: Arc<Route>,
    pub(super) organisation: Option<Arc<Organisation>>,
    pub(super) service: ServiceName,
    pub(super) session: u64,
    pub(super) fingerprint: u64,
    pub(super) received_at: Now,
    pub(super) timeout_ms: u64,
    pub(super) deadline: Instant,
    /// What is left of a request that another node passed.
    pub(super) passed: Option<PassedRequest>,
    /// How the organisation stands within its share of the service; `None` if shares are
    /// not enforced.
    pub(super) standing: Option<Standing>,
    _in_flight_guard: InFlightGuard<D, C>,
}

/// A request that was read in full and is not admitted yet.
#[derive(Debug)]
pub(super) struct ReceivedRequest {
    pub(super) metadata: RequestMetadata,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) received_at: Now,
    pub(super) timeout_ms: u64,
    pub(super) deadline: Instant,
    pub(super) passed: Option<PassedRequest>,
}

impl<D: Dialect, C: Clock> RequestContext<D, C> {
    pub(super) fn new(
        received: ReceivedRequest,
        route: Arc<Route>,
        organisation: Option<Arc<Organisation>>,
        service: ServiceName,
        in_flight_guard: InFlightGuard<D, C>,
    ) -> Self {
        let path = received.head.uri.path();
        // A request without a session forms a session of its own.
        let session = received.metadata.session.as_ref();
        let session = hash_bytes(session.unwrap_or(&received.metadata.request_id));
        let caller = received.metadata.api_key.as_deref().unwrap_or_default();
        let caller_and_body = mix(hash_bytes(caller), hash_bytes(&received.body));
        let fingerprint = mix(hash_bytes(path), caller_and_body);
        Self {
            metadata: received.metadata,
            head: received.head,
            body: received.body,
            route,
            organisation,
            service,
            session,
            fingerprint,
            received_at: received.received_at,
            timeout_ms: received.timeout_ms,
            deadline: received.deadline,
            passed: received.passed,
            standing: None,
            _in_flight_guard: in_flight_guard,
        }
    }

    /// Returns the properties by which crashes of endpoints are attributed.
    pub(super) fn traits(&self) -> RequestTraits<'_> {
        RequestTraits {
            fingerprint: self.fingerprint,
            parts: &self.metadata.parts,
        }
    }

    /// Returns the time left until the request's timeout, in milliseconds.
    pub(super) fn remaining_ms(&self, now: Now) -> u64 {
        let passed_ms = now.mono_ms.saturating_sub(self.received_at.mono_ms);
        self.timeout_ms.saturating_sub(passed_ms)
    }

    /// Returns the time left until the route's latency objective, in milliseconds.
    pub(super) fn remaining_to_slo_ms(&self, now: Now) -> u64 {
        let passed_ms = now.mono_ms.saturating_sub(self.received_at.mono_ms);
        self.route.slo_ms.saturating_sub(passed_ms)
    }

    /// Returns the cost of the work up to the response or its first event, in prompt
    /// tokens.
    pub(super) fn cost_tokens(&self) -> u64 {
        FIXED_COST_TOKENS + self.metadata.prompt_tokens
    }

    /// Returns the request's priority; 0 is the highest.
    pub(super) fn priority(&self) -> u8 {
        let organisation_priority = self
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        organisation_priority.unwrap_or(self.route.priority)
    }

    /// Returns the model at an index of the route's sizes, if the route leaves the
    /// model open.
    pub(super) fn model_at_size(&self, size: usize) -> Option<&str> {
        let model = self.route.sizes.get(size)?;
        Some(model.as_str())
    }
}

/// The attempts made for a request so far.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// Whether the request has waited for a slot.
    pub(super) has_waited: bool,
    /// Whether the request found no room at the endpoints it tried.
    pub(super) found_no_room: bool,
    /// The endpoint at which this node released a slot for the next attempt.
    pub(super) released: Option<EndpointKey>,
    /// Whether the request was counted towards the retry budget of its service.
    pub(super) is_counted: bool,
    /// Endpoints that the attempts went to, including unreachable ones.
    pub(super) tried: Vec<EndpointKey>,
    /// Number of attempts that were sent; unreachable endpoints do not count.
    pub(super) sent: u32,
    /// Number of endpoints that could not be reached.
    pub(super) unreachable: u32,
    /// Whether a finished attempt may have run.
    pub(super) may_have_run: bool,
    /// Whether an attempt is in progress.
    pub(super) in_progress: bool,
    /// Index into the route's model sizes for the next attempt.
    pub(super) model_size: usize,
    /// Model size that responded before the escalation, with its confidence in percent.
    pub(super) escalated_from: Option<(usize, u8)>,
    /// Id of the last event that was relayed, or that the caller already had.
    pub(super) last_event_id: Option<u64>,
    /// Whether any part of the response was relayed to the caller.
    pub(super) response_started: bool,
}

impl AttemptHistory {
    /// Returns whether the attempt limits allow another attempt.
    pub(super) fn has_attempts_left(&self, max_attempts: u32) -> bool {
        self.sent < max_attempts && self.unreachable < MAX_UNREACHABLE_ENDPOINTS
    }

    /// Records that an attempt is made.
    pub(super) fn start_attempt(&mut self) {
        self.sent += 1;
        self.in_progress = true;
    }

    /// Records that an attempt was not sent, and that another node may make it.
    pub(super) fn withdraw_attempt(&mut self) {
        self.sent = self.sent.saturating_sub(1);
        self.in_progress = false;
    }

    /// Records how an attempt ended.
    pub(super) fn end_attempt(&mut self, seen: Seen) {
        self.in_progress = false;
        if seen == Seen::NotSent {
            self.unreachable += 1;
            self.sent = self.sent.saturating_sub(1);
        }
        self.may_have_run |= seen.may_have_run();
    }

    pub(super) fn summary(&self, may_retry: bool) -> AttemptSummary {
        AttemptSummary {
            may_have_run: self.may_have_run || self.in_progress,
            may_retry,
            response_started: self.response_started,
        }
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard<D: Dialect, C: Clock> {
    node_context: NodeContext<D, C>,
}

impl<D: Dialect, C: Clock> InFlightGuard<D, C> {
    /// Counts a request; `None` if the node is at its in-flight limit.
    pub(super) fn acquire(node_context: &NodeContext<D, C>) -> Option<Self> {
        let mut state = node_context.state();
        if state.in_flight >= node_context.settings().max_in_flight {
            return None;
        }
        state.in_flight += 1;
        Some(Self {
            node_context: node_context.clone(),
        })
    }
}

impl<D: Dialect, C: Clock> Drop for InFlightGuard<D, C> {
    fn drop(&mut self) {
        let mut state = self.node_context.state();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
