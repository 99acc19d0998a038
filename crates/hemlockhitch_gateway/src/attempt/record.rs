//! What attempts show about endpoints, models and the retry budget.

use hemlockhitch_model::Clock;
use hemlockhitch_routing::cascade::{FirstEventSample, Step};
use hemlockhitch_routing::crash_tracker::RequestTraits;
use hemlockhitch_routing::fleet::Sign;
use hemlockhitch_routing::retry::Seen;

use super::Gateway;
use super::context::{AttemptHistory, RequestContext};
use super::send::{AcceptedResponse, AttemptFailure, OpenedResponse};
use super::slot::EndpointSlot;
use crate::dialect::Dialect;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Records what an accepted response shows about its endpoint.
    pub(super) fn record_success(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
        accepted: &AcceptedResponse<D, C>,
        slot: Option<&EndpointSlot<D, C>>,
    ) {
        match (&accepted.response, slot) {
            (OpenedResponse::Stream(stream), _) => {
                if let Some(slot) = &stream.slot {
                    slot.record_outcome(Sign::Good, ctx);
                    self.record_first_event(ctx, history, slot.held_ms());
                }
                self.record_gain(ctx, history, accepted.confidence_percent);
            }
            (OpenedResponse::Relayed(answer), _) => {
                if let Some(slot) = &answer.slot {
                    slot.record_outcome(Sign::Good, ctx);
                }
            }
            (OpenedResponse::Buffered(_), Some(slot)) => slot.record_outcome(Sign::Good, ctx),
            (OpenedResponse::Buffered(_), None) => {}
        }
    }

    fn record_first_event(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
        took_ms: u64,
    ) {
        let mut state = self.node_context.state();
        let choice = state.model_choices.entry(ctx.service.clone()).or_default();
        choice.record_first_event(FirstEventSample {
            size: history.model_size,
            cost_tokens: ctx.cost_tokens(),
            took_ms,
            slo_ms: ctx.route.slo_ms,
        });
    }

    /// Records what an escalation gained.
    fn record_gain(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
        confidence_percent: Option<u8>,
    ) {
        let (Some((from, from_percent)), Some(to_percent)) =
            (history.escalated_from, confidence_percent)
        else {
            return;
        };
        let step = Step {
            from,
            to: history.model_size,
        };
        let now = self.node_context.now();
        let mut state = self.node_context.state();
        let choice = state.model_choices.entry(ctx.service.clone()).or_default();
        choice.record_escalation(step, from_percent, to_percent, now);
    }

    pub(super) fn record_failure(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
        slot: &EndpointSlot<D, C>,
        failure: &AttemptFailure,
    ) {
        match failure.seen {
            Seen::NotSent | Seen::Silent => slot.record_outcome(Sign::Unreachable, ctx),
            Seen::Failed | Seen::Broken | Seen::Spoilt => slot.record_outcome(Sign::Bad, ctx),
            Seen::NotRun | Seen::TimeOver => {}
        }
        if failure.seen == Seen::Broken {
            tracing::info!(
                event = "HH1235",
                request = ctx.metadata.request_id,
                name = %slot.name,
                held_ms = slot.held_ms(),
                model_size = history.model_size,
                parts = ?ctx.metadata.parts.iter().map(|part| part.id).collect::<Vec<_>>(),
                "attempt broken off before its first event"
            );
            self.record_disconnection(ctx, slot);
        }
    }

    /// Records that an endpoint disconnected before it had begun its response, and as a
    /// crash at that time if it takes no connection any more.
    fn record_disconnection(&self, ctx: &RequestContext<D, C>, slot: &EndpointSlot<D, C>) {
        let node_context = self.node_context.clone();
        if node_context.is_cut_off(&ctx.service) {
            return;
        }
        let disconnected = node_context.now();
        node_context.record_disconnection(ctx.traits(), slot.instance_hash);
        let (fingerprint, parts) = (ctx.fingerprint, ctx.metadata.parts.clone());
        if parts.len() < 2 {
            return;
        }
        let (address, instance_hash) = (slot.address, slot.instance_hash);
        let service = ctx.service.clone();
        tokio::spawn(async move {
            let pool = node_context.connection_pool();
            if pool.is_listening(address).await {
                return;
            }
            let traits = RequestTraits {
                fingerprint,
                parts: &parts,
            };
            node_context.record_crash(traits, instance_hash, disconnected);
            // An endpoint that this node alone does not reach has not crashed.
            let reaches_others = node_context.has_responded_since(&service, disconnected)
                || node_context.reaches_any(&service).await;
            node_context.resolve_crash(traits, instance_hash, reaches_others);
        });
    }

    /// Records that an endpoint responded, so that this node reaches it.
    pub(super) fn record_reached(&self, ctx: &RequestContext<D, C>) {
        let now = self.node_context.now();
        let mut state = self.node_context.state();
        state.reach.record_response(&ctx.service, now);
    }

    pub(super) fn record_request(&self, ctx: &RequestContext<D, C>) {
        let now = self.node_context.now();
        let settings = self.node_context.settings().retry_budget;
        let mut state = self.node_context.state();
        let budget = state.retry_budgets.entry(ctx.service.clone()).or_default();
        budget.record_request(settings, now);
    }

    pub(super) fn record_retry(&self, ctx: &RequestContext<D, C>) {
        let now = self.node_context.now();
        let settings = self.node_context.settings().retry_budget;
        let mut state = self.node_context.state();
        let budget = state.retry_budgets.entry(ctx.service.clone()).or_default();
        budget.record_retry(settings, now);
    }
}
