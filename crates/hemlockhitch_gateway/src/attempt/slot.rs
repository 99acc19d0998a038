//! An in-flight slot at an endpoint, held for one attempt.

use std::net::SocketAddr;

use hemlockhitch_model::{Clock, EndpointKey, EndpointName, Now, VersionName};
use hemlockhitch_routing::fleet::Sign;
use hemlockhitch_routing::roll_out::{Observation, RollOut, Stage};
use hemlockhitch_routing::selection::{
    Choice, Prompt, SelectionRequest, VersionFilter, choose_endpoint,
};
use hemlockhitch_routing::{hash_bytes, mix};

use super::context::{AttemptHistory, RequestContext};
use crate::dialect::Dialect;
use crate::state::{NodeContext, State};

/// Divisor of the latency objective: a response within the resulting time never counts
/// as slow. That is about the latency of an unloaded endpoint.
const NEVER_SLOW_SLO_DIVISOR: u64 = 16;

/// Minimum number of events for comparing the inter-event latency of a stream; with
/// fewer, it would depend on a single interval.
const MIN_COMPARED_EVENTS: u64 = 3;

/// Time within which the events of a stream never count as slow, in milliseconds:
/// several interruptions by the prefill of other prompts.
const EVENTS_NEVER_SLOW_MS: u64 = 100;

/// A slot at an endpoint, released when it is dropped.
#[derive(Debug)]
pub(super) struct EndpointSlot<D: Dialect, C: Clock> {
    node_context: NodeContext<D, C>,
    pub(super) endpoint: EndpointKey,
    pub(super) name: EndpointName,
    pub(super) address: SocketAddr,
    /// Hash of the endpoint's instance.
    pub(super) instance_hash: u64,
    /// Priority of the request at the endpoint; 0 is the highest.
    pub(super) priority: u8,
    version: VersionName,
    model_hash: u64,
    pending_prefill_tokens: u64,
    pub(super) acquired_mono_ms: u64,
    /// Whether the endpoint probably has room when the slot is released.
    pub(super) may_be_free: bool,
    prefilled_mono_ms: u64,
}

impl<D: Dialect, C: Clock> EndpointSlot<D, C> {
    /// Chooses an endpoint and takes a slot there; `None` if no endpoint is available.
    pub(super) fn acquire(
        node_context: &NodeContext<D, C>,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
    ) -> Option<Self> {
        let now = node_context.now();
        let settings = node_context.settings();
        let mut state = node_context.state();
        let state = &mut *state;
        let service = state.catalogue.as_ref()?.find_service(&ctx.service)?;
        let cold_rate = state.cold_rate(service, settings);
        let model = ctx
            .model_at_size(history.model_size)
            .or(ctx.metadata.model.as_deref());
        let model_hash = model.map_or(0, hash_bytes);
        let prompt = (ctx.metadata.prompt_tokens > 0).then_some(Prompt {
            model_hash,
            model_size: history.model_size,
            parts: &ctx.metadata.parts,
            tokens: ctx.metadata.prompt_tokens,
            cache_ttl_ms: settings.prompt_cache_ttl_ms,
        });
        // A slot that was just released is taken before any other.
        let others = history.released.map(|released| {
            let known = state.fleet.of_service(&ctx.service).map(|(key, _)| key);
            known.filter(|key| *key != released).collect::<Vec<_>>()
        });
        let request = SelectionRequest {
            service: &ctx.service,
            local_data_centre: &settings.data_centre,
            tried: others.as_deref().unwrap_or(&history.tried),
            body_bytes: ctx.body.len() as u64,
            prompt,
            nodes: state.node_shares(settings),
            cold_rate,
            tie_breaker: mix(
                hash_bytes(&ctx.metadata.request_id),
                history.tried.len() as u64,
            ),
        };
        let choose =
            |filter: VersionFilter<'_>| choose_endpoint(&state.fleet, &request, filter, now);
        let choice = choose_version(state, ctx, choose, now)?;
        let endpoint = choice.endpoint;
        let endpoint_state = state.fleet.get_mut(endpoint)?;
        let pending_prefill_tokens = choice.prefill_cost_tokens;
        endpoint_state.in_flight += 1;
        endpoint_state.pending_prefill_tokens += pending_prefill_tokens;
        endpoint_state.record_sent(now);
        for part in &ctx.metadata.parts {
            endpoint_state.record_part(model_hash, part.id, now);
        }
        let version = endpoint_state.entry.version.clone();
        let name = endpoint_state.entry.name.clone();
        let address = endpoint_state.entry.address;
        let instance_hash = endpoint_state.instance_hash;
        state.session_affinity.record(ctx.session, &version, now);
        if let Some(roll_out) = state.roll_outs.get_mut(&ctx.service) {
            roll_out.record_request(&version, now);
        }
        let priority = if prompt.is_some() {
            let ranks = state.work_ranks.entry(ctx.service.clone()).or_default();
            ranks.record(pending_prefill_tokens);
            ranks.urgency(pending_prefill_tokens)
        } else {
            ctx.priority()
        };
        Some(Self {
            node_context: node_context.clone(),
            endpoint,
            name,
            address,
            instance_hash,
            priority,
            version,
            model_hash,
            pending_prefill_tokens,
            acquired_mono_ms: now.mono_ms,
            may_be_free: true,
            prefilled_mono_ms: now.mono_ms,
        })
    }

    /// Records that the endpoint has prefilled the prompt.
    pub(super) fn finish_prefill(&mut self) {
        let pending_prefill_tokens = std::mem::take(&mut self.pending_prefill_tokens);
        if let Some(endpoint_state) = self.node_context.state().fleet.get_mut(self.endpoint) {
            endpoint_state.pending_prefill_tokens = endpoint_state
                .pending_prefill_tokens
                .saturating_sub(pending_prefill_tokens);
        }
        self.prefilled_mono_ms = self.node_context.now().mono_ms;
    }

    /// Records the outcome of an attempt in the endpoint's circuit breaker and, up to
    /// the response or its first event, for the endpoint's version.
    pub(super) fn record_outcome(&self, sign: Sign, ctx: &RequestContext<D, C>) {
        self.update_circuit_breaker(sign);
        if sign == Sign::Unreachable {
            return;
        }
        let now = self.node_context.now();
        let observation = Observation {
            work_kind_hash: mix(hash_bytes(&ctx.route.name), self.model_hash),
            work_units: ctx.cost_tokens(),
            is_target: false,
            failed: sign == Sign::Bad,
            took_ms: now.mono_ms.saturating_sub(self.acquired_mono_ms),
            never_slow_below_ms: ctx.route.slo_ms / NEVER_SLOW_SLO_DIVISOR,
        };
        self.record_observation(observation, ctx, now);
    }

    /// Records how long a stream with this number of events took after its first one.
    pub(super) fn record_inter_event_latency(&self, events: u64, ctx: &RequestContext<D, C>) {
        self.update_circuit_breaker(Sign::Good);
        if events < MIN_COMPARED_EVENTS {
            return;
        }
        let now = self.node_context.now();
        let observation = Observation {
            work_kind_hash: mix(hash_bytes(&ctx.route.name), !self.model_hash),
            work_units: events,
            is_target: false,
            failed: false,
            took_ms: now.mono_ms.saturating_sub(self.prefilled_mono_ms),
            never_slow_below_ms: EVENTS_NEVER_SLOW_MS,
        };
        self.record_observation(observation, ctx, now);
    }

    fn update_circuit_breaker(&self, sign: Sign) {
        let now = self.node_context.now();
        let mut state = self.node_context.state();
        if let Some(endpoint_state) = state.fleet.get_mut(self.endpoint)
            && endpoint_state.circuit_breaker.record(sign, now)
        {
            let name = &self.name;
            let failing_ratio = endpoint_state.circuit_breaker.failure_ratio();
            tracing::warn!(event = "HH1221", %name, failing_ratio, ?sign, "circuit breaker opened");
        }
    }

    fn record_observation(&self, observation: Observation, ctx: &RequestContext<D, C>, now: Now) {
        let mut state = self.node_context.state();
        let state = &mut *state;
        let roll_out = state.roll_outs.get_mut(&ctx.service);
        let Some(roll_out) = roll_out.filter(|roll_out| !roll_out.stage().is_final()) else {
            let baseline = state.baselines.entry(ctx.service.clone()).or_default();
            return baseline.record(observation, now);
        };
        let is_target = roll_out.order().target == self.version;
        roll_out.evidence().record(
            Observation {
                is_target,
                ..observation
            },
            now,
        );
    }

    /// Returns how long the slot has been held, in milliseconds.
    pub(super) fn held_ms(&self) -> u64 {
        let now = self.node_context.now();
        now.mono_ms.saturating_sub(self.acquired_mono_ms)
    }
}

impl<D: Dialect, C: Clock> Drop for EndpointSlot<D, C> {
    fn drop(&mut self) {
        self.finish_prefill();
        let held_ms = self.held_ms();
        let mut state = self.node_context.state();
        let Some(endpoint_state) = state.fleet.get_mut(self.endpoint) else {
            return;
        };
        endpoint_state.in_flight = endpoint_state.in_flight.saturating_sub(1);
        let service = endpoint_state.entry.service.clone();
        let queue = state.slot_queues.entry(service.clone()).or_default();
        queue.requests.record_held(held_ms);
        if queue.requests.is_waiting() {
            queue.freed.notify_one();
        }
        if self.may_be_free && self.node_context.settings().shares {
            let nodes = u64::from(state.node_count());
            let endpoints = state.fleet.eligible(&service);
            let used = endpoints.map(|(_, known)| (known.in_flight, known.entry.slots));
            let (in_flight, slots) = used.fold((0, 0), |(in_flight, slots), used| {
                (in_flight + u64::from(used.0), slots + u64::from(used.1))
            });
            let has_own_part = in_flight * nodes >= 2 * slots;
            state
                .fair_shares
                .hand_over(&service, self.endpoint, held_ms, has_own_part);
        }
    }
}

/// Chooses an endpoint of the version that the roll-out selects, or of another version
/// if that one has none.
fn choose_version<D: Dialect, C: Clock>(
    state: &State,
    ctx: &RequestContext<D, C>,
    choose: impl Fn(VersionFilter<'_>) -> Option<Choice>,
    now: Now,
) -> Option<Choice> {
    let Some(roll_out) = state.roll_outs.get(&ctx.service) else {
        return choose(VersionFilter::Any);
    };
    let served_by = state.session_affinity.version(ctx.session, now);
    let filter = roll_out.version_filter(ctx.session, served_by, now);
    choose(filter).or_else(|| fall_back(roll_out, filter).and_then(&choose))
}

/// Returns the versions to fall back to. A new version never replaces the others during
/// its trial, nor after a rollback.
fn fall_back<'a>(roll_out: &RollOut, filter: VersionFilter<'a>) -> Option<VersionFilter<'a>> {
    match (roll_out.stage(), filter) {
        (Stage::Completed | Stage::RolledBack, _) | (Stage::Trial, VersionFilter::Except(_)) => {
            None
        }
        (_, VersionFilter::Only(version)) => Some(VersionFilter::Except(version)),
        (_, VersionFilter::Except(version)) => Some(VersionFilter::Only(version)),
        (_, VersionFilter::Any) => None,
    }
}
