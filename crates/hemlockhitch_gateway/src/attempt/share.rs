//! Applies the shares of a service by organisation to a request.

use std::time::Duration;

use hemlockhitch_model::{Clock, EndpointKey, OrganisationName, ServiceName};
use hemlockhitch_routing::shares::{
    Arrival, Decision, FleetSize, Standing, WaitKey, organisation_hash,
};
use hemlockhitch_routing::{hash_bytes, mix};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::Gateway;
use super::context::{AttemptHistory, RequestContext};
use super::response::Refusal;
use crate::dialect::Dialect;
use crate::state::NodeContext;
use crate::telemetry;

/// Removes a request from those that wait when it is dropped.
struct Waiting<D: Dialect, C: Clock> {
    node_context: NodeContext<D, C>,
    service: ServiceName,
    key: WaitKey,
}

impl<D: Dialect, C: Clock> Drop for Waiting<D, C> {
    fn drop(&mut self) {
        let mut state = self.node_context.state();
        state.fair_shares.waiters(&self.service).leave(self.key);
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Decides whether the request fits into the share of its organisation. The node that
    /// received a passed request has decided that.
    pub(super) fn apply_share(&self, ctx: &mut RequestContext<D, C>) -> Result<(), Refusal> {
        if !self.node_context.settings().shares {
            return Ok(());
        }
        if ctx.passed.is_some() {
            ctx.standing = Some(Standing::WithinShare);
            return Ok(());
        }
        let now = self.node_context.now();
        let organisation = ctx.organisation.as_ref();
        let organisation = organisation.map(|organisation| &organisation.name);
        // Requests without a body or a session may be alike without being repeats.
        let session = ctx.metadata.session.as_ref();
        let has_identity = session.is_some() || !ctx.body.is_empty();
        let request_key = mix(ctx.fingerprint, session.map_or(0, hash_bytes));
        let arrival = Arrival {
            service: hash_bytes(ctx.service.as_str()),
            organisation: organisation_hash(organisation.map(OrganisationName::as_str)),
            priority: ctx.priority(),
            request_key: has_identity.then_some(request_key),
        };
        let mut state = self.node_context.state();
        let endpoints = state.fleet.eligible(&ctx.service);
        let fleet = FleetSize {
            nodes: state.nodes.len(),
            slots: endpoints.map(|(_, endpoint)| endpoint.entry.slots).sum(),
        };
        let fair_shares = &mut state.fair_shares;
        let decision = fair_shares.decide(&arrival, &ctx.service, organisation, fleet, now);
        match decision {
            Decision::Admit(standing) => {
                ctx.standing = Some(standing);
                Ok(())
            }
            Decision::Refuse { retry_after_ms } => {
                let label = state.organisation_labels.label(organisation);
                drop(state);
                telemetry::count_share_refused(label);
                Err(Refusal::not_run_until(
                    "the organisation has its share of the service; come back later",
                    retry_after_ms,
                ))
            }
        }
    }

    /// Records that the endpoints had no room for the request, once it has no more than one
    /// attempt left or others found none: a single full endpoint says little.
    pub(super) fn record_crowded(&self, ctx: &RequestContext<D, C>, history: &mut AttemptHistory) {
        if history.found_no_room || !self.node_context.settings().shares {
            return;
        }
        let is_last = history.sent + 1 >= ctx.route.max_attempts;
        let now = self.node_context.now();
        let mut state = self.node_context.state();
        if is_last || state.fair_shares.is_crowded(&ctx.service, now) {
            history.found_no_room = true;
            state.fair_shares.record_crowded(&ctx.service, now);
        }
    }

    /// Records that the request was served.
    pub(super) fn record_share_served(&self, ctx: &RequestContext<D, C>) {
        if self.node_context.settings().shares && ctx.passed.is_none() {
            let now = self.node_context.now();
            let organisation = ctx.organisation.as_ref();
            let organisation = organisation.map(|organisation| &organisation.name);
            let mut state = self.node_context.state();
            state
                .fair_shares
                .record_served(&ctx.service, organisation, now);
        }
    }

    /// Lets the request wait while the endpoints have no room, until this node releases a
    /// slot: attempts at full endpoints would use up the retry budget. A request of an
    /// organisation within its share waits before its last attempt and any but the first,
    /// one of a limited organisation before its only attempt. Returns whether the request
    /// may be sent.
    pub(super) async fn wait_for_room(
        &self,
        ctx: &RequestContext<D, C>,
        history: &mut AttemptHistory,
    ) -> bool {
        let Some(standing) = ctx.standing else {
            return true;
        };
        let is_last = history.sent + 1 >= ctx.route.max_attempts;
        if history.sent == 0 && !is_last && standing == Standing::WithinShare {
            return true;
        }
        let Some((waiting, max_wait_ms, freed)) = self.join_waiters(ctx, standing) else {
            return true;
        };
        if standing != Standing::WithinShare && history.sent > 0 {
            return false;
        }
        let mut freed = freed;
        let endpoint = match timeout(Duration::from_millis(max_wait_ms), &mut freed).await {
            Ok(endpoint) => endpoint.ok(),
            Err(_) => {
                drop(waiting);
                freed.try_recv().ok()
            }
        };
        history.released = endpoint;
        endpoint.is_some() || history.sent == 0 || standing == Standing::WithinShare
    }

    fn join_waiters(
        &self,
        ctx: &RequestContext<D, C>,
        standing: Standing,
    ) -> Option<(Waiting<D, C>, u64, oneshot::Receiver<EndpointKey>)> {
        let now = self.node_context.now();
        let remaining_ms = ctx.remaining_to_slo_ms(now);
        let mut state = self.node_context.state();
        // Requests to brittle endpoints have a queue of their own.
        let is_crowded = state.fair_shares.is_crowded(&ctx.service, now)
            && !state.fleet.is_brittle(&ctx.service, now);
        if !is_crowded {
            return None;
        }
        // Where this node holds no slot, the wait would end by its time limit.
        let holds_slot = state
            .fleet
            .of_service(&ctx.service)
            .any(|(_, endpoint)| endpoint.in_flight > 0);
        if standing == Standing::WithinShare && !holds_slot {
            return None;
        }
        let waiters = state.fair_shares.waiters(&ctx.service);
        let max_wait_ms = waiters.max_wait_ms(standing, remaining_ms)?;
        let (sender, freed) = oneshot::channel();
        let key = waiters.join(standing, ctx.priority(), remaining_ms, sender, now);
        let waiting = Waiting {
            node_context: self.node_context.clone(),
            service: ctx.service.clone(),
            key,
        };
        Some((waiting, max_wait_ms, freed))
    }
}
