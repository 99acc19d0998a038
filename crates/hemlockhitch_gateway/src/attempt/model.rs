//! The model size that a request is sent to, for routes that leave it open.

use hemlockhitch_model::Clock;
use hemlockhitch_routing::cascade::EscalationInput;

use super::Gateway;
use super::context::{AttemptHistory, RequestContext};
use crate::dialect::Dialect;
use crate::telemetry;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Returns the index of the model size that a request is sent to first.
    pub(super) fn first_model_size(&self, ctx: &RequestContext<D, C>) -> usize {
        let size_count = ctx.route.sizes.len();
        if size_count < 2 {
            return 0;
        }
        let mut state = self.node_context.state();
        let choice = state.model_choices.entry(ctx.service.clone()).or_default();
        choice.first_size(size_count, ctx.metadata.prompt_tokens)
    }

    /// Returns the index of a larger size to try instead of relaying a response with this
    /// confidence.
    pub(super) fn larger_model_size(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
        confidence_percent: Option<u8>,
    ) -> Option<usize> {
        let may_escalate = ctx.route.kind.may_run_again() && !history.response_started;
        if !may_escalate || history.sent >= ctx.route.max_attempts {
            return None;
        }
        let now = self.node_context.now();
        let settings = self.node_context.settings();
        let state = self.node_context.state();
        let choice = state.model_choices.get(&ctx.service)?;
        let used_budget_ratio = state.retry_budgets.get(&ctx.service).map_or(0.0, |budget| {
            budget.used_ratio(settings.retry_budget, state.node_count(), now)
        });
        let input = EscalationInput {
            size: history.model_size,
            size_count: ctx.route.sizes.len(),
            confidence_percent,
            cost_tokens: ctx.cost_tokens(),
            remaining_to_slo_ms: ctx.remaining_to_slo_ms(now),
            used_budget_ratio,
            model_price: settings.model_price,
        };
        let larger = choice.next_size(input, now)?;
        tracing::info!(
            event = "HH1223",
            request = ctx.metadata.request_id,
            endpoint = ?history.tried.last(),
            confidence_percent,
            used_budget_ratio,
            nearly_late_ratio = choice.nearly_late_ratio(),
            size = larger,
            "escalation to a larger model"
        );
        telemetry::count_escalation();
        Some(larger)
    }
}
