//! A request that was admitted, and what happened to it so far.

use std::sync::Arc;

use bytes::Bytes;
use hemlockhitch_model::{Clock, EndpointKey, Now, ServiceName};
use hemlockhitch_routing::catalogue::{Organisation, Route};
use hemlockhitch_routing::judge::{Seen, Tries};
use hemlockhitch_routing::{hash_bytes, mix};
use http::request::Parts;
use tokio::time::Instant;

use crate::dialect::{Dialect, Terms};
use crate::state::Shared;

/// Endpoints that may turn out to be unreachable before a request is given up.
const UNREACHED_MOST: u32 = 4;

/// Work of an answer beside its prompt, as prompt tokens that take as long.
const FIXED_TOKENS: u64 = 3_000;

/// A request that was admitted.
#[derive(Debug)]
pub(super) struct Job<D: Dialect, C: Clock> {
    pub(super) terms: Terms,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) route: Arc<Route>,
    pub(super) organisation: Option<Arc<Organisation>>,
    pub(super) service: ServiceName,
    pub(super) session: u64,
    pub(super) fingerprint: u64,
    pub(super) arrived: Now,
    pub(super) time_ms: u64,
    pub(super) deadline: Instant,
    _in_hand: InHand<D, C>,
}

/// What is known of a request when it has been read.
#[derive(Debug)]
pub(super) struct Arrived {
    pub(super) terms: Terms,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) arrived: Now,
    pub(super) time_ms: u64,
    pub(super) deadline: Instant,
}

impl<D: Dialect, C: Clock> Job<D, C> {
    pub(super) fn new(
        arrived: Arrived,
        route: Arc<Route>,
        organisation: Option<Arc<Organisation>>,
        service: ServiceName,
        in_hand: InHand<D, C>,
    ) -> Self {
        let path = arrived.head.uri.path();
        // A request outside any session is one of its own.
        let session = arrived.terms.session.as_ref();
        let session = hash_bytes(session.unwrap_or(&arrived.terms.request));
        let caller = arrived.terms.api_key.as_deref().unwrap_or_default();
        let caller_and_body = mix(hash_bytes(caller), hash_bytes(&arrived.body));
        let fingerprint = mix(hash_bytes(path), caller_and_body);
        Self {
            terms: arrived.terms,
            head: arrived.head,
            body: arrived.body,
            route,
            organisation,
            service,
            session,
            fingerprint,
            arrived: arrived.arrived,
            time_ms: arrived.time_ms,
            deadline: arrived.deadline,
            _in_hand: in_hand,
        }
    }

    /// Returns how much time is left, in milliseconds.
    pub(super) fn time_left_ms(&self, now: Now) -> u64 {
        let passed_ms = now.mono_ms.saturating_sub(self.arrived.mono_ms);
        self.time_ms.saturating_sub(passed_ms)
    }

    /// Returns how much time is left until its objective, in milliseconds.
    pub(super) fn left_to_objective_ms(&self, now: Now) -> u64 {
        let passed_ms = now.mono_ms.saturating_sub(self.arrived.mono_ms);
        self.route.objective_ms.saturating_sub(passed_ms)
    }

    /// Returns the work before an answer or its first event, in prompt tokens.
    pub(super) fn work(&self) -> u64 {
        FIXED_TOKENS + self.terms.prompt_tokens
    }

    /// Returns the request's rank; 0 goes first.
    pub(super) fn rank(&self) -> u8 {
        let of_organisation = self.organisation.as_ref().and_then(|caller| caller.rank);
        of_organisation.unwrap_or(self.route.rank)
    }

    /// Returns the name of the model of a size, if the route leaves it open.
    pub(super) fn model_of(&self, size: usize) -> Option<&str> {
        let model = self.route.sizes.get(size)?;
        Some(model.as_str())
    }
}

/// What happened to a request so far.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Endpoints that the request was sent to, or could not be sent to.
    pub(super) tried: Vec<EndpointKey>,
    /// How often it was sent.
    pub(super) sent: u32,
    /// How often an endpoint could not be reached.
    pub(super) unreached: u32,
    /// Whether a try that ended may have run.
    pub(super) may_have_run: bool,
    /// Whether a try is under way.
    pub(super) under_way: bool,
    /// The size of the model that is asked next.
    pub(super) size: usize,
    /// The last event that was relayed, or that the caller had before.
    pub(super) last_event: Option<u64>,
    /// Whether the caller has received a part of the answer.
    pub(super) relayed: bool,
}

impl Log {
    /// Returns whether another try is possible as far as the count goes.
    pub(super) fn has_tries_left(&self, endpoints_most: u32) -> bool {
        self.sent < endpoints_most && self.unreached < UNREACHED_MOST
    }

    /// Takes in how a try ended.
    pub(super) fn end_try(&mut self, seen: Seen) {
        self.under_way = false;
        if seen == Seen::NotSent {
            self.unreached += 1;
            self.sent = self.sent.saturating_sub(1);
        }
        self.may_have_run |= seen.may_have_run();
    }

    pub(super) fn tries(&self, may_repeat: bool) -> Tries {
        Tries {
            may_have_run: self.may_have_run || self.under_way,
            may_repeat,
            relayed: self.relayed,
        }
    }
}

/// Counts a request as in hand until it is dropped.
#[derive(Debug)]
pub(super) struct InHand<D: Dialect, C: Clock> {
    shared: Shared<D, C>,
}

impl<D: Dialect, C: Clock> InHand<D, C> {
    /// Counts a request, unless the node has as many as it takes.
    pub(super) fn take(shared: &Shared<D, C>) -> Option<Self> {
        let mut state = shared.state();
        if state.in_flight >= shared.settings().in_flight {
            return None;
        }
        state.in_flight += 1;
        Some(Self {
            shared: shared.clone(),
        })
    }
}

impl<D: Dialect, C: Clock> Drop for InHand<D, C> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
