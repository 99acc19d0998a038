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

/// What a request without a slot does.
enum Place {
    /// It is refused.
    None,
    /// A slot is free again.
    Free,
    /// It waits until a slot is released.
    Waiting {
        freed: Arc<Notify>,
        max_wait_ms: u64,
    },
}

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
        let is_first_wait = !std::mem::replace(&mut history.has_waited, true);
        match self.join_queue(ctx, is_first_wait) {
            Place::None => false,
            Place::Free => true,
            Place::Waiting { freed, max_wait_ms } => {
                let _waiting = Waiting {
                    node_context: self.node_context.clone(),
                    service: ctx.service.clone(),
                };
                let max_wait = Duration::from_millis(max_wait_ms);
                timeout(max_wait, freed.notified()).await.is_ok()
            }
        }
    }

    /// Adds the request to the queue. On its first wait, a slot that was released since none
    /// was found is taken at once.
    fn join_queue(&self, ctx: &RequestContext<D, C>, is_first_wait: bool) -> Place {
        let now = self.node_context.now();
        let mut state = self.node_context.state();
        if !state.fleet.is_brittle(&ctx.service, now) {
            return Place::None;
        }
        let nodes = state.node_shares(self.node_context.settings());
        let slots = state.fleet.own_slots(&ctx.service, nodes);
        let has_free_slot = state.fleet.has_free_slot(&ctx.service, nodes);
        let remaining_ms = ctx.remaining_to_slo_ms(now);
        let Some(queue) = state.slot_queues.get_mut(&ctx.service) else {
            return Place::None;
        };
        if is_first_wait && has_free_slot && !queue.requests.is_waiting() {
            return Place::Free;
        }
        match queue.requests.join(slots, remaining_ms) {
            Some(max_wait_ms) => Place::Waiting {
                freed: Arc::clone(&queue.freed),
                max_wait_ms,
            },
            None => Place::None,
        }
    }
}
