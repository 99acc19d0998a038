//! Waits for a slot of this node at brittle endpoints.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_model::{Clock, ServiceName};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::Gateway;
use super::context::{AttemptHistory, RequestContext};
use crate::dialect::Dialect;
use crate::state::NodeContext;

/// Counts a request as waiting until it is dropped.
struct Waiting<D: Dialect, C: Clock> {
    node_context: NodeContext<D, C>,
    service: ServiceName,
}

impl<D: Dialect, C: Clock> Drop for Waiting<D, C> {
    fn drop(&mut self) {
        if let Some(queue) = self.node_context.state().slot_queues.get_mut(&self.service) {
            queue.requests.leave();
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Returns whether the request must let others go first that wait for a slot.
    pub(super) fn is_behind_others(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
    ) -> bool {
        let now = self.node_context.now();
        let state = self.node_context.state();
        let queue = state.slot_queues.get(&ctx.service);
        !history.has_waited
            && queue.is_some_and(|queue| queue.requests.is_waiting())
            && state.fleet.is_brittle(&ctx.service, now)
    }

    /// Waits until a slot is released, if the request can still be in time then; returns
    /// whether one was.
    pub(super) async fn wait_for_slot(
        &self,
        ctx: &RequestContext<D, C>,
        history: &mut AttemptHistory,
    ) -> bool {
        let Some((freed, max_wait_ms)) = self.join_queue(ctx) else {
            return false;
        };
        history.has_waited = true;
        let _waiting = Waiting {
            node_context: self.node_context.clone(),
            service: ctx.service.clone(),
        };
        timeout(Duration::from_millis(max_wait_ms), freed.notified())
            .await
            .is_ok()
    }

    fn join_queue(&self, ctx: &RequestContext<D, C>) -> Option<(Arc<Notify>, u64)> {
        let now = self.node_context.now();
        let mut state = self.node_context.state();
        if !state.fleet.is_brittle(&ctx.service, now) {
            return None;
        }
        let nodes = state.node_shares(self.node_context.settings());
        let slots = state.fleet.own_slots(&ctx.service, nodes);
        let remaining_ms = ctx.remaining_to_slo_ms(now);
        let queue = state.slot_queues.get_mut(&ctx.service)?;
        let max_wait_ms = queue.requests.join(slots, remaining_ms)?;
        Some((Arc::clone(&queue.freed), max_wait_ms))
    }
}
