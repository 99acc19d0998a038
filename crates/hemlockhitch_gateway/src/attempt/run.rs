//! Tries endpoints until a request has a response.

use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_routing::retry::{Final, Seen, Verdict, decide_retry};
use http::Response;
use tokio::time::timeout_at;

use super::Gateway;
use super::answer;
use super::context::{AttemptHistory, RequestContext};
use super::outcome::{RequestFailure, buffered_response};
use super::relay;
use super::response::ResponseBody;
use super::send::{AttemptFailure, OpenedResponse};
use super::slot::EndpointSlot;
use crate::dialect::Dialect;
use crate::telemetry;

/// Response timeout of an attempt, as a ratio of the request's timeout: it determines
/// how many attempts fit into that.
const RESPONSE_TIMEOUT_RATIO: f64 = 0.35;

/// Lower and upper bound of the response timeout, in milliseconds.
const RESPONSE_TIMEOUT_BOUNDS_MS: (u64, u64) = (300, 4_000);

/// Response timeout of a request that is limited only by its deadline.
const NO_RESPONSE_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

impl<D: Dialect, C: Clock> Gateway<D, C> {
    pub(super) async fn run(&self, ctx: RequestContext<D, C>) -> Response<ResponseBody> {
        let mut history = AttemptHistory {
            last_event_id: ctx.metadata.last_event_id,
            sent: ctx.passed.map_or(0, |passed| passed.attempts),
            ..AttemptHistory::default()
        };
        if let Some(passed) = ctx.passed {
            history.model_size = passed.model_size;
        } else if ctx.metadata.last_event_id.is_some() {
            // The model that produced the first part is not known, so the largest is
            // used.
            history.model_size = ctx.route.sizes.len().saturating_sub(1);
        } else {
            history.model_size = self.first_model_size(&ctx);
        }
        match timeout_at(ctx.deadline, self.run_attempts(&ctx, &mut history)).await {
            Ok(Ok(OpenedResponse::Buffered(buffered))) => buffered_response(buffered),
            Ok(Ok(OpenedResponse::Relayed(answer))) => answer::start(self.clone(), ctx, *answer),
            Ok(Ok(OpenedResponse::Stream(stream))) => {
                relay::start(self.clone(), ctx, history, *stream)
            }
            Ok(Err(failure)) => self.final_response(&ctx, &history, failure),
            Err(_) => {
                let verdict = decide_retry(ctx.route.kind, Seen::TimeOver, history.summary(false));
                let outcome = match verdict {
                    Verdict::End(outcome) => outcome,
                    Verdict::Again | Verdict::Resume => Final::TimeOver,
                };
                self.final_response(
                    &ctx,
                    &history,
                    RequestFailure {
                        outcome,
                        error_response: None,
                    },
                )
            }
        }
    }

    /// Tries endpoints until one has responded or started a stream.
    pub(super) async fn run_attempts(
        &self,
        ctx: &RequestContext<D, C>,
        history: &mut AttemptHistory,
    ) -> Result<OpenedResponse<D, C>, RequestFailure> {
        loop {
            self.wait_for_admission(ctx, history).await?;
            if self.node_context.needs_helper(&ctx.service) {
                match self.pass_once(ctx, history).await? {
                    Some(response) => return Ok(response),
                    None => continue,
                }
            }
            if !history.is_counted {
                history.is_counted = true;
                self.record_request(ctx);
            }
            if !self.wait_for_room(ctx, history).await {
                return Err(self.no_endpoint_available(ctx, history));
            }
            self.probe_work_time(ctx, history).await;
            let slot = if self.is_behind_others(ctx, history) {
                None
            } else {
                EndpointSlot::acquire(&self.node_context, ctx, history)
            };
            let Some(slot) = slot else {
                if self.wait_for_slot(ctx, history).await {
                    continue;
                }
                self.record_crowded(ctx, history);
                return Err(self.no_endpoint_available(ctx, history));
            };
            if history.sent > 0 {
                self.record_retry(ctx);
            }
            telemetry::record_attempt(ctx.route.kind, ctx.remaining_ms(self.node_context.now()));
            history.tried.push(slot.endpoint);
            history.start_attempt();
            let response_timeout = response_timeout(ctx, history);
            let (result, mut slot) = self.send(ctx, history, slot, response_timeout).await;
            match result {
                Ok(accepted) => {
                    history.in_progress = false;
                    self.record_success(ctx, history, &accepted, slot.as_ref());
                    let confidence_percent = accepted.confidence_percent;
                    if let Some(larger) = self.larger_model_size(ctx, history, confidence_percent) {
                        history.escalated_from =
                            confidence_percent.map(|percent| (history.model_size, percent));
                        history.model_size = larger;
                        history.may_have_run = true;
                        continue;
                    }
                    self.record_share_served(ctx);
                    if !matches!(accepted.response, OpenedResponse::Stream(_)) {
                        self.node_context.record_served(ctx.traits());
                    }
                    return Ok(accepted.response);
                }
                Err(failure) => {
                    if let Some(slot) = &mut slot {
                        slot.may_be_free = false;
                        self.record_failure(ctx, history, slot, &failure);
                    }
                    if failure.seen == Seen::NotRun {
                        self.record_crowded(ctx, history);
                    }
                    drop(slot);
                    history.end_attempt(failure.seen);
                    self.continue_after_failure(ctx, history, failure)?;
                }
            }
        }
    }

    /// Returns whether a request is sent to no endpoint, because endpoints crashed under
    /// it or a part of its prompt.
    pub(super) fn is_blocked(&self, ctx: &RequestContext<D, C>) -> bool {
        let state = self.node_context.state();
        state.crash_tracker.is_blocked(ctx.traits())
    }

    /// Decides whether to try another endpoint after a failed attempt.
    pub(super) fn continue_after_failure(
        &self,
        ctx: &RequestContext<D, C>,
        history: &AttemptHistory,
        failure: AttemptFailure,
    ) -> Result<(), RequestFailure> {
        let may_retry = self.may_retry(ctx, history, failure.seen);
        let verdict = decide_retry(ctx.route.kind, failure.seen, history.summary(may_retry));
        telemetry::count_failed_attempt(failure.seen);
        tracing::info!(
            event = "HH1224",
            request = ctx.metadata.request_id,
            route = ctx.route.name,
            endpoint = ?history.tried.last(),
            seen = ?failure.seen,
            sent = history.sent,
            ?verdict,
            "attempt failed"
        );
        match verdict {
            Verdict::Again | Verdict::Resume => Ok(()),
            Verdict::End(outcome) => Err(RequestFailure {
                outcome,
                error_response: failure.error_response,
            }),
        }
    }

    fn may_retry(&self, ctx: &RequestContext<D, C>, history: &AttemptHistory, seen: Seen) -> bool {
        let now = self.node_context.now();
        let state = self.node_context.state();
        let within_budget = seen == Seen::NotSent
            || state.retry_budgets.get(&ctx.service).is_none_or(|budget| {
                budget.allows(
                    self.node_context.settings().retry_budget,
                    state.node_count(),
                    now,
                )
            });
        within_budget
            && history.has_attempts_left(ctx.route.max_attempts)
            && !state.crash_tracker.is_blocked(ctx.traits())
    }
}

/// Returns how long an attempt waits for a response before another endpoint is tried.
/// Requests that must not run twice wait until their deadline.
fn response_timeout<D: Dialect, C: Clock>(
    ctx: &RequestContext<D, C>,
    history: &AttemptHistory,
) -> Duration {
    if !ctx.route.kind.may_run_again() || !history.has_attempts_left(ctx.route.max_attempts) {
        return NO_RESPONSE_TIMEOUT;
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[allow(clippy::cast_precision_loss)]
    let timeout_ms = (ctx.timeout_ms as f64 * RESPONSE_TIMEOUT_RATIO) as u64;
    Duration::from_millis(
        timeout_ms.clamp(RESPONSE_TIMEOUT_BOUNDS_MS.0, RESPONSE_TIMEOUT_BOUNDS_MS.1),
    )
}
