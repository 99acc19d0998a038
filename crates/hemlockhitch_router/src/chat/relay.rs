//! The relay of an answer from engines to the caller, over resumes.

use std::ops::RangeInclusive;
use std::time::Duration;

use hemlockhitch_endpoint::engine::{Answer, Chunk, EngineError, EngineErrorKind, Usage};
use hemlockhitch_model::{EndpointName, Now};
use hemlockhitch_peer::slots::SlotReport;
use hemlockhitch_policy::guard::Observation;
use tokio::time::sleep;

use super::dispatch::{Dispatch, NotStarted, dispatch};
use super::ending::{CANCELLED, WHOLE};
use super::plan::Plan;
use crate::backend::Backend;
use crate::explain::Step;
use crate::refusal::{Refusal, RefusalKind};
use crate::router::{Router, Work};
use crate::suspect::{MAX_CRASHES, Suspects};

/// The pause before endpoints are asked for room again, in milliseconds.
const ROOM_PAUSE_MS: RangeInclusive<u64> = 20..=60;

/// Relays one answer; dropping it before the end cancels the work and bills
/// what was relayed.
pub struct Relay<B: Backend> {
    pub(super) router: Router<B>,
    pub(super) plan: Plan,
    pub(super) started: Now,
    pub(super) dispatch: Option<Dispatch<B>>,
    pub(super) offset_tokens: u32,
    pub(super) first_token_ms: Option<u64>,
    pub(super) avoided: Vec<EndpointName>,
    pub(super) steps: Vec<Step>,
    pub(super) cost_micros: u64,
    pub(super) ended: Option<&'static str>,
    _work: Work<B>,
}

impl<B: Backend> Relay<B> {
    pub(super) fn new(router: Router<B>, plan: Plan, work: Work<B>) -> Self {
        let started = router.now();
        Self {
            router,
            plan,
            started,
            dispatch: None,
            offset_tokens: 0,
            first_token_ms: None,
            avoided: Vec::new(),
            steps: Vec::new(),
            cost_micros: 0,
            ended: None,
            _work: work,
        }
    }

    /// Starts the first dispatch that an endpoint takes.
    pub(super) async fn start(&mut self) -> Result<(), Refusal> {
        let dispatched = self.dispatch_until_started().await;
        dispatched.map_err(|refusal| self.end_with(refusal))
    }

    /// Returns the next chunk, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails with a final answer when the rest cannot be had from any endpoint.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Refusal> {
        if self.ended.is_some() {
            return Ok(None);
        }
        loop {
            let Some(dispatch) = self.dispatch.as_mut() else {
                return Ok(None);
            };
            match dispatch.answer.next().await {
                Ok(Some(chunk)) => return Ok(Some(self.relay(chunk).await)),
                Ok(None) => self.resume_after(EngineErrorKind::Truncated).await?,
                Err(error) => self.resume_after_error(&error).await?,
            }
        }
    }

    async fn relay(&mut self, chunk: Chunk) -> Chunk {
        self.offset_tokens = chunk.offset_tokens + chunk.tokens;
        if self.first_token_ms.is_none() {
            let now = self.router.now();
            self.first_token_ms = Some(now.mono_ms - self.started.mono_ms);
            self.record_first_token();
        }
        if chunk.finish_reason.is_some() {
            self.complete(chunk.usage).await;
        }
        chunk
    }

    async fn complete(&mut self, usage: Option<Usage>) {
        let now = self.router.now();
        let usage = usage.unwrap_or_else(|| self.usage_so_far());
        let Some(dispatch) = self.dispatch.take() else {
            return;
        };
        let endpoint = dispatch.endpoint.clone();
        let first_token_ms = self.first_token_ms.unwrap_or_default();
        dispatch.finish(SlotReport::Served { first_token_ms }, now);
        self.router
            .parts
            .suspects
            .served(self.plan.fingerprint, now);
        let bill = self.bill(endpoint.clone(), usage, now);
        self.note_step(endpoint, WHOLE);
        self.end(WHOLE);
        self.router.billing.deliver(bill).await;
    }

    async fn resume_after_error(&mut self, error: &EngineError) -> Result<(), Refusal> {
        tracing::info!(event = "HH0703", request = %self.plan.request_id, %error, "answer broke off");
        self.resume_after(error.kind()).await
    }

    /// Goes on at another endpoint of the same version.
    async fn resume_after(&mut self, kind: EngineErrorKind) -> Result<(), Refusal> {
        let Some(failed) = self.dispatch.take() else {
            return Ok(());
        };
        let endpoint = failed.endpoint.clone();
        failed.finish(SlotReport::Failed, self.router.now());
        let crash = matches!(kind, EngineErrorKind::Truncated | EngineErrorKind::Broken);
        let resumed = match self.after_failure(endpoint, crash).await {
            Ok(()) => self.dispatch_until_started().await,
            Err(refusal) => Err(refusal),
        };
        resumed.map_err(|refusal| self.end_with(refusal))
    }

    /// Notes a failed dispatch; fails when the request must not run again.
    async fn after_failure(&mut self, endpoint: EndpointName, crash: bool) -> Result<(), Refusal> {
        self.note_step(endpoint.clone(), "failed");
        self.avoided.push(endpoint);
        let roll_outs = &self.router.parts.roll_outs;
        let now = self.router.now();
        roll_outs.observe(&self.plan.version_name, Observation::Failed, now);
        if crash && self.crashes().await >= MAX_CRASHES {
            return Err(Refusal::may_have_run(
                RefusalKind::CrashesEndpoints,
                "this request has crashed the endpoints that ran it",
                "change the request; it will not be run again",
            ));
        }
        if self.steps.len() >= self.router.parts.settings.dispatches {
            return Err(endpoints_failed());
        }
        Ok(())
    }

    async fn crashes(&mut self) -> u32 {
        let now = self.router.now();
        let suspects = &self.router.parts.suspects;
        suspects.crashed(self.plan.fingerprint, now).await
    }

    async fn dispatch_until_started(&mut self) -> Result<(), Refusal> {
        let asked = self.router.now();
        loop {
            self.check_gate()?;
            let started =
                dispatch(&self.router, &self.plan, self.offset_tokens, &self.avoided).await;
            match started {
                Ok(dispatch) => {
                    self.dispatch = Some(dispatch);
                    return Ok(());
                }
                Err(NotStarted::Broke { endpoint, crash }) => {
                    self.after_failure(endpoint, crash).await?;
                }
                Err(NotStarted::Full) if self.may_wait(asked) => sleep(room_pause()).await,
                Err(not_started) => return Err(self.refuse(not_started)),
            }
        }
    }

    /// Refuses to start work on a node that was cut off or frozen meanwhile; an
    /// answer that has started is resumed.
    fn check_gate(&self) -> Result<(), Refusal> {
        if self.steps.is_empty() {
            self.router.check_gate(self.router.now())?;
        }
        Ok(())
    }

    /// Returns whether the request may wait for an endpoint with room, after it
    /// first asked for one at `asked`.
    fn may_wait(&self, asked: Now) -> bool {
        let waited_ms = self.router.now().mono_ms - asked.mono_ms;
        waited_ms < self.router.parts.settings.queue_ms
    }

    fn refuse(&self, not_started: NotStarted) -> Refusal {
        let retry_after_ms = self.router.parts.settings.retry_after_ms;
        let refusal = match not_started {
            NotStarted::BadRequest(error) => Refusal::not_run(
                RefusalKind::BadRequest,
                error.to_string(),
                "correct the request",
            ),
            NotStarted::Full => Refusal::not_run(
                RefusalKind::Overloaded,
                "every endpoint of the version is full",
                "send the request again later",
            )
            .retry_after_ms(retry_after_ms),
            NotStarted::NoEndpoint | NotStarted::Broke { .. } => Refusal::not_run(
                RefusalKind::NoEndpoint,
                "no endpoint of the version takes work now",
                "send the request again later",
            )
            .retry_after_ms(retry_after_ms),
        };
        Refusal {
            not_run: refusal.not_run && self.steps.is_empty(),
            ..refusal
        }
    }

    fn note_step(&mut self, endpoint: EndpointName, ended: &str) {
        self.steps.push(Step {
            at_unix_ms: self.router.now().unix_ms,
            endpoint,
            resume_offset_tokens: self.offset_tokens,
            ended: ended.to_owned(),
        });
    }

    fn end_with(&mut self, refusal: Refusal) -> Refusal {
        if self.offset_tokens > 0 {
            self.bill_relayed();
        }
        self.end(refusal.kind.code());
        refusal.request(self.plan.request_id)
    }
}

impl<B: Backend> Drop for Relay<B> {
    fn drop(&mut self) {
        if self.ended.is_some() {
            return;
        }
        if self.offset_tokens > 0 {
            self.bill_relayed();
        }
        self.end(CANCELLED);
    }
}

/// Draws the pause before endpoints are asked for room again.
fn room_pause() -> Duration {
    Duration::from_millis(fastrand::u64(ROOM_PAUSE_MS))
}

fn endpoints_failed() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::EndpointFailed,
        "the endpoints that ran the request failed",
        "send the request again",
    )
}
